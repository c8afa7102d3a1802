"""What the request path adds over calling an endpoint directly.

``python -m bench.overhead`` starts a daemon and stand-ins, sends the same
calls to a stand-in directly and through the daemon, in turns, and prints
medians over the repetitions with their spread.  ``--idle`` measures what
daemons use when nobody calls, ``--slopes`` what one more stage and one more
open stream cost.
"""

import argparse
import asyncio
import itertools
import json
import random
import statistics
import time
import typing

from testkit import proc
from testkit import processes

__all__ = ["main"]

IN_FLIGHT = (1, 16, 64)
# Drawn at random for each call: calls of equal length that a pause has
# delayed together would keep returning together, and the run would measure
# their queue.
SERVICE_TIMES_S = (0.05, 0.15)
TOKENS = 100
TOKEN_S = 0.01
RUN_S = 2.0
STAGES = (1, 3, 6)
OPEN = (0, 64, 256)
IDLE_S = 20.0
SLOTS = 512
HEADERS = {"Team": "gaucho", "Deadline-Ms": "60000"}
DOSSIER = "dossier " * 32


_numbers = itertools.count(1)


class Run(typing.NamedTuple):
    """One run at one number of calls in flight.

    Parameters
    ----------
    median, p95 : float
        Seconds of a call beyond the time requested of its endpoint.
    calls : int
    processor : float
        Processor seconds of the daemon for each call.
    """

    median: float
    p95: float
    calls: int
    processor: float


def specs():
    """Return stand-ins of a unary service and an engine."""
    plain = {"kind": "plain", "slots": SLOTS}
    engine = {"kind": "engine", "slots": SLOTS, "tokens": TOKENS}
    return [
        {"name": "catalogue-1", **plain},
        {"name": "language-1", "token_s": TOKEN_S, **engine},
        {"name": "encoder-1", "kind": "pool"},
        {"name": "retriever-1", "kind": "pool"},
        {"name": "reranker-1", "kind": "pool"},
    ]


def direct_body(payload):
    """Return the body the daemon would send to an endpoint."""
    number = next(_numbers)
    return {
        "request": f"r{number}",
        "stage": "read",
        "attempt": f"a{number}",
        "deadline_ms": 60000.0,
        "payload": payload,
        "priority": 1,
        "offset": 0,
        "prefix": "p",
    }


async def post(cluster, url, body):
    """Send one call and read its full answer."""
    async with cluster.session.post(url, json=body, headers=HEADERS) as answer:
        raw = await answer.read()
        answer.raise_for_status()
    if b"event: error" in raw:
        raise RuntimeError(raw.decode())


async def measure(
    cluster, url, make_body, in_flight, service_times_s=SERVICE_TIMES_S
):
    """Keep `in_flight` calls in flight for `RUN_S`; return a `Run`."""
    rng = random.Random(in_flight)
    pid = cluster.daemons[0].process.pid
    times = []
    end = time.perf_counter() + RUN_S

    async def worker(index):
        # Starting all at once would measure the queue of a burst.
        await asyncio.sleep(SERVICE_TIMES_S[1] * index / in_flight)
        while True:
            service_s = rng.uniform(*service_times_s)
            body = make_body({"text": DOSSIER, "take_s": service_s})
            start = time.perf_counter()
            await post(cluster, url, body)
            now = time.perf_counter()
            times.append(now - start - service_s)
            if now > end:
                return

    before = proc.usage(pid).seconds
    await asyncio.gather(*(worker(index) for index in range(in_flight)))
    used_s = proc.usage(pid).seconds - before
    times.sort()
    return Run(
        statistics.median(times),
        times[int(len(times) * 0.95)],
        len(times),
        used_s / len(times),
    )


async def compare(cluster, paths, in_flight, repetitions):
    """Measure both paths alternately; return pairs of runs."""
    direct, routed, service_times_s, _ = paths
    pairs = []
    for _ in range(repetitions):
        direct_run = await measure(
            cluster, *direct, in_flight, service_times_s
        )
        routed_run = await measure(
            cluster, *routed, in_flight, service_times_s
        )
        pairs.append((direct_run, routed_run))
    return pairs


def spread(values, digits=3):
    """Return median and range as a dictionary."""
    return {
        "median": round(statistics.median(values), digits),
        "least": round(min(values), digits),
        "most": round(max(values), digits),
    }


def report(kind, in_flight, pairs, pieces):
    """Print a line of figures; processor time is for each of `pieces`."""
    line = {
        "kind": kind,
        "in_flight": in_flight,
        "calls": sum(routed.calls for _, routed in pairs),
        "ratio": spread([b.median / a.median for a, b in pairs]),
        "direct_ms": spread([a.median * 1e3 for a, _ in pairs]),
        "added_ms": spread([(b.median - a.median) * 1e3 for a, b in pairs]),
        "added_p95_ms": spread([(b.p95 - a.p95) * 1e3 for a, b in pairs]),
        "processor_ms": spread(
            [b.processor * 1e3 / pieces for _, b in pairs], 4
        ),
    }
    print(json.dumps(line), flush=True)


async def busy(repetitions, program):
    """Measure unary and streamed calls."""
    async with processes.cluster(specs=specs(), program=program) as cluster:
        daemon = f"http://{cluster.daemons[0].public}/v1/pipelines"
        plain = f"http://{cluster.addresses['catalogue-1']}/call"
        engine = f"http://{cluster.addresses['language-1']}/generate"
        unary = (
            (plain, direct_body),
            (f"{daemon}/catalogue", lambda payload: {"input": payload}),
            SERVICE_TIMES_S,
            1,
        )
        streamed = (
            (engine, direct_body),
            (
                f"{daemon}/write",
                lambda payload: {"input": payload, "stream": True},
            ),
            (0.0, 0.0),
            TOKENS,
        )
        note = {
            "id": "bench",
            "base": 1,
            "author": "bench",
            "added": {"pipelines": {"write": WRITE}},
        }
        await cluster.apply(0, note)
        for kind, paths in (("unary", unary), ("streamed", streamed)):
            for in_flight in IN_FLIGHT:
                pairs = await compare(cluster, paths, in_flight, repetitions)
                report(kind, in_flight, pairs, paths[-1])


WRITE = {
    "stages": [{"name": "write", "service": "language"}],
    "deadline_ms": 60000,
}


async def slopes(repetitions, program):
    """Measure what one more stage and one more open stream cost."""
    async with processes.cluster(
        specs=specs(), program=program, slots=2 * OPEN[-1]
    ) as cluster:
        pipelines = {f"unary-{count}": chain(count) for count in STAGES}
        note = {
            "id": "bench",
            "base": 1,
            "author": "bench",
            "added": {"pipelines": {"write": WRITE, **pipelines}},
        }
        await cluster.apply(0, note)
        base = f"http://{cluster.daemons[0].public}/v1/pipelines"
        for count in STAGES:
            runs = [
                await measure(
                    cluster, f"{base}/unary-{count}", plain_input, 16, (0, 0)
                )
                for _ in range(repetitions)
            ]
            used = spread([run.processor * 1e3 for run in runs])
            line = {"kind": "stages", "stages": count, "processor_ms": used}
            print(json.dumps(line), flush=True)
        for count in OPEN:
            resident = await resident_with_streams(
                cluster, f"{base}/write", count
            )
            line = {"kind": "open streams", "open": count}
            print(json.dumps({**line, "resident_mb": resident}), flush=True)


def chain(count):
    """Return a pipeline of `count` unary stages."""
    return {
        "stages": [
            {"name": f"s{index}", "service": "catalogue"}
            for index in range(count)
        ],
        "deadline_ms": 60000,
    }


def plain_input(_payload):
    """Return a body whose stages take the stand-in's default time."""
    return {"input": DOSSIER}


async def resident_with_streams(cluster, url, count):
    """Return the resident megabytes with `count` streams open."""
    body = {"input": DOSSIER, "stream": True}
    calls = [
        asyncio.create_task(post(cluster, url, body)) for _ in range(count)
    ]
    await asyncio.sleep(TOKENS * TOKEN_S / 2)
    resident = proc.usage(cluster.daemons[0].process.pid).resident
    await asyncio.gather(*calls)
    return round(resident / 2**20, 1)


async def idle(program):
    """Measure three daemons that receive no calls."""
    async with processes.cluster(
        daemons=3, proxied=True, program=program
    ) as cluster:
        await asyncio.sleep(5)
        pids = [daemon.process.pid for daemon in cluster.daemons]
        before = [proc.usage(pid) for pid in pids]
        initial = traffic(cluster)
        await asyncio.sleep(IDLE_S)
        after = [proc.usage(pid) for pid in pids]
        transferred = traffic(cluster) - initial
    shares = [
        (b.seconds - a.seconds) / IDLE_S * 100
        for a, b in zip(before, after, strict=True)
    ]
    line = {
        "kind": "idle",
        "core_percent": spread(shares),
        "resident_mb": spread([b.resident / 2**20 for b in after], 1),
        "control_bytes_per_s": round(transferred / IDLE_S / len(pids)),
    }
    print(json.dumps(line), flush=True)


def traffic(cluster):
    """Return the bytes through all proxies, in both directions."""
    return sum(
        proxy.bytes_in + proxy.bytes_out for proxy in cluster.proxies.values()
    )


def main():
    """Run the measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--repetitions", type=int, default=5)
    parser.add_argument("--idle", action="store_true")
    parser.add_argument("--slopes", action="store_true")
    parser.add_argument("--program", nargs="+", default=processes.PROGRAM)
    args = parser.parse_args()
    if args.slopes:
        asyncio.run(slopes(args.repetitions, args.program))
    elif args.idle:
        asyncio.run(idle(args.program))
    else:
        asyncio.run(busy(args.repetitions, args.program))


if __name__ == "__main__":
    main()
