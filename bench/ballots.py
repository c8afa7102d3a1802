"""Measurements of non-repeatable requests (ballots) and random fault runs.

``python -m bench.ballots cost``, ``outage``, ``rate`` or ``random``.
"""

import asyncio
import collections
import contextlib
import json
import statistics
import time

import cyclopts

from bench import chaos
from testkit import ballots
from testkit import processes

__all__ = ["app"]

app = cyclopts.App(help="Figures of requests that may not be repeated.")

WARM_UP = 20
WRITE_S = 1 / 300
# Half the store's timeout: a slower call has waited for the store.
SLOW_S = 0.25


def _ms(seconds, share):
    ordered = sorted(seconds)
    return round(1000 * ordered[int(share * (len(ordered) - 1))], 2)


async def _call_timed(coro):
    start = time.perf_counter()
    result = await coro
    return result, time.perf_counter() - start


async def _read(cluster, index):
    status, headers, _ = await cluster.call(index, "catalogue", {"input": 1})
    return ballots.Told(status, headers.get("Outcome"), None)


@app.command
def cost(count: int = 300):
    """Measure what a ballot costs the store, and the time it adds."""
    asyncio.run(_cost(count))


async def _cost(count):
    async with processes.cluster(log_level="WARNING") as cluster:
        for number in range(WARM_UP):
            await ballots.cast(cluster, 0, f"w{number}")
            await _read(cluster, 0)
        # Background work uses the store too; an idle period measures it.
        idle = await _store_use(cluster, asyncio.sleep(3), 3)
        reads = await _times(_read(cluster, 0) for _ in range(count))
        start = time.perf_counter()
        before = await cluster.get("table", "/counts")
        ballots_s = await _times(
            ballots.cast(cluster, 0, f"k{number}") for number in range(count)
        )
        after = await cluster.get("table", "/counts")
        elapsed_s = time.perf_counter() - start
        replays = await _times(
            ballots.cast(cluster, 0, f"k{number}") for number in range(count)
        )
        last = await cluster.get("table", "/counts")
    for name in ("writes", "reads"):
        net_use = after[name] - before[name] - idle[name] * elapsed_s
        replay_use = last[name] - after[name]
        print(
            f"{name} a ballot: {net_use / count:.2f};"
            f" a repeat: {replay_use / count:.2f} (others' not taken off)"
        )
    for name, times in (
        ("read", reads),
        ("ballot", ballots_s),
        ("repeat", replays),
    ):
        print(f"{name}: p50 {_ms(times, 0.5)} ms, p95 {_ms(times, 0.95)} ms")
    added = statistics.median(ballots_s) - statistics.median(reads)
    print(f"added at p50: {1000 * added:.2f} ms")


async def _store_use(cluster, coro, seconds):
    before = await cluster.get("table", "/counts")
    await coro
    after = await cluster.get("table", "/counts")
    return {
        name: (after[name] - before[name]) / seconds
        for name in ("reads", "writes")
    }


async def _times(calls):
    return [(await _call_timed(call))[1] for call in calls]


@app.command
def outage(seconds: float = 20, rate: float = 30, fault: str = "freeze"):
    """Measure ballots before, during and after a store outage.

    ``freeze`` lets the store answer nothing, ``refuse`` closes its
    connections.
    """
    asyncio.run(_outage(seconds, rate, fault))


async def _outage(seconds, rate, fault):
    async with ballots.cluster(daemons=3, log_level="WARNING") as cluster:
        phases = (("before", 5), ("during", seconds), ("after", 10))
        for phase, length in phases:
            is_active = phase == "during"
            setattr(cluster.proxies["table"], fault, is_active)
            cast, reads = await _load(cluster, phase, length, rate)
            _print_phase(phase, cast, reads)
        runs = await ballots.log(cluster)
        print(f"most runs of one key: {_max_runs(runs)}")


def _max_runs(runs):
    return max(collections.Counter(run["key"] for run in runs).values())


async def _load(cluster, phase, length, rate):
    cast, reads = [], []
    size = len(cluster.daemons)
    for number in range(int(length * rate)):
        index = number % size
        call = ballots.cast(cluster, index, f"{phase}-{number}")
        cast.append(asyncio.create_task(_call_timed(call)))
        reads.append(asyncio.create_task(_call_timed(_read(cluster, index))))
        await asyncio.sleep(1 / rate)
    return await asyncio.gather(*cast), await asyncio.gather(*reads)


def _print_phase(phase, cast, reads):
    for name, results in (("ballots", cast), ("reads", reads)):
        outcomes = collections.Counter(
            str(answer.outcome) for answer, _ in results
        )
        shares = ", ".join(
            f"{outcome} {100 * number / len(results):.1f}%"
            for outcome, number in outcomes.most_common()
        )
        times = [call_s for _, call_s in results]
        slow = sum(call_s > SLOW_S for call_s in times)
        print(
            f"{phase}: {len(results)} {name}: {shares};"
            f" p50 {_ms(times, 0.5)} ms, p99 {_ms(times, 0.99)} ms,"
            f" {slow} over {SLOW_S} s"
        )


@app.command
def rate(seconds: float = 8, callers: int = 120, daemons: int = 3):
    """Measure the highest ballot rate on a store with a write limit.

    The stand-in serves 300 transactions a second, one after another,
    whatever the number of rows in each.
    """
    for group in (1, 64):
        asyncio.run(_rate(seconds, callers, daemons, group))


async def _rate(seconds, callers, daemons, group):
    async with processes.cluster(
        daemons=daemons,
        log_level="WARNING",
        store_timeout_s=3.0,
        record_group=group,
    ) as cluster:
        await cluster.faults("table", serial_s=WRITE_S, paths=["/transact"])
        outcomes = collections.Counter()
        times = []
        before = await cluster.get("table", "/counts")
        end = time.perf_counter() + seconds

        async def work(name):
            number = 0
            while time.perf_counter() < end:
                number += 1
                call = ballots.cast(
                    cluster, number % daemons, f"{name}-{number}"
                )
                answer, call_s = await _call_timed(call)
                outcomes[str(answer.outcome)] += 1
                times.append(call_s)

        start = time.perf_counter()
        await asyncio.gather(*(work(name) for name in range(callers)))
        elapsed_s = time.perf_counter() - start
        after = await cluster.get("table", "/counts")
    writes = after["writes"] - before["writes"]
    print(
        f"group of {group}: {outcomes['complete'] / elapsed_s:.0f} ballots/s,"
        f" {writes / elapsed_s:.0f} transactions/s, {dict(outcomes)},"
        f" p50 {_ms(times, 0.5)} ms, p95 {_ms(times, 0.95)} ms"
    )


@app.command(name="random")
def random_runs(first: int = 1, last: int = 10, count: int = 300):
    """Run seeds `first` to `last` under random faults and check each."""
    asyncio.run(_random_runs(range(first, last + 1), count))


async def _random_runs(seeds, count):
    outcomes = collections.Counter()
    final = collections.Counter()
    faults = collections.Counter()
    runs = 0
    violations = []
    for seed in seeds:
        async with ballots.cluster(
            daemons=3, lookup=seed % 2 == 1, log_level="WARNING"
        ) as cluster:
            summary = await chaos.run(cluster, seed=seed, count=count)
        outcomes += summary.outcomes
        final += summary.final
        faults += summary.faults
        runs += summary.runs
        violations += [f"seed {seed}: {item}" for item in summary.violations]
        print(f"seed {seed}: {len(summary.violations)} broken promises")
    for name, counts in (
        ("answers", outcomes),
        ("keys at the end", final),
        ("faults", faults),
    ):
        print(f"{name}: {json.dumps(dict(counts.most_common()))}")
    print(f"runs at endpoints: {runs}; broken promises: {len(violations)}")
    for line in violations:
        print(line)


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        app()
