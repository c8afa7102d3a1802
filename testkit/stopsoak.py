"""A soak of stops: signals, restarts and changes that overlap, with callers.

``python -m testkit.stopsoak --seeds 1..50`` plays many of them.
"""

import asyncio
import collections
import contextlib
import math
import pathlib
import random
import signal
import tempfile
import time
import typing

import cyclopts

from standins import platformstore
from testkit import gateways
from testkit import plannedengines
from testkit import stopcallers
from testkit import wiredata

__all__ = ["Report", "play", "violations"]

INSTANCES = 3
GRACE_S = 8.0
# Nothing that is sent later than this after SIGTERM may be cut.
EARLY_S = 3.0
# What an engine still works on in the last part of the grace may be cut.
LAST_SHARE = 5 / 6
TARGET_S = 1.2
TIMEOUT_S = 15.0
MEDIAN_S = 0.9
LONGEST_S = 6.0
SIGMA = 0.7
# Connections of each kind to each instance.
CONNECTIONS = 4
FAULT_SHARE = 0.05
CROSSING_S = 0.1
MAX_CALM_S = 2.5
MAX_AWAY_S = 3.0
# A start takes longer if the machine is busy.
START_S = 20.0
KINDS = {
    "safe": {"route_kind": "safe"},
    "unsafe": {"route_kind": "unsafe"},
    "stream": {"route_kind": "streaming"},
    "resumable": {"route_kind": "streaming", "resumable": True},
}
FAULTS = (
    plannedengines.Fault.NOT_RUN,
    plannedengines.Fault.RESET,
    plannedengines.Fault.BREAK,
)


class Stop(typing.NamedTuple):
    """How an instance stopped; monotonic times."""

    began_at: float
    ended_at: float
    status: int | None


class Report(typing.NamedTuple):
    """Counts of what came of requests, and of what happened.

    Notes
    -----
    Cut is what an endpoint got and did not break off, and whose connection
    ended without a whole answer: late if it was sent late in a stop, early
    if its endpoint still worked on it near the end, in time if it did not,
    and in calm if its instance did not stop.
    """

    requests: int = 0
    served: int = 0
    rejected: int = 0
    failed: int = 0
    broken: int = 0
    unread: int = 0
    early_cut: int = 0
    late_cut: int = 0
    cut_in_time: int = 0
    cut_in_calm: int = 0
    unanswered: int = 0
    untrue_503: int = 0
    twice: int = 0
    stops: int = 0
    killed: int = 0
    bad_exits: int = 0
    changes: int = 0


_FORBIDDEN = (
    "late_cut",
    "cut_in_time",
    "cut_in_calm",
    "unanswered",
    "untrue_503",
    "twice",
    "killed",
    "bad_exits",
)


def violations(found):
    """Return the counts of a `Report` that must be zero, if they are not."""
    counts = {name: getattr(found, name) for name in _FORBIDDEN}
    return {name: count for name, count in counts.items() if count}


def configuration(version, target_s, more_routes):
    """Return a configuration with a route of each kind, and some more."""
    routes = [
        wiredata.route(
            name=kind,
            prefix=f"/{kind}/",
            timeout_ms=int(1000 * TIMEOUT_S),
            target_latency_ms=int(1000 * target_s),
            itl_target_ms=2000,
            **changes,
        )
        for kind, changes in KINDS.items()
    ]
    routes += [
        wiredata.route(name=f"other-{number}", prefix=f"/other-{number}/")
        for number in range(more_routes)
    ]
    services = [wiredata.service(max_connections=1000)]
    return wiredata.configuration(version, routes=routes, services=services)


class _Soak:
    def __init__(self, *, seed, instances, engines, store):
        self._rng = random.Random(seed)
        self._instances = instances
        self._engines = engines
        self._store = store
        self._version = 2
        self.changes = 0
        self.kinds = {}
        self.stops = collections.defaultdict(list)
        self.callers = {}

    async def run(self, seconds):
        """Disturb the instances for some seconds while callers send."""
        ends_at = time.monotonic() + seconds
        calling = [
            asyncio.create_task(self._callers(number, kind).run())
            for number in range(len(self._instances))
            for kind in KINDS
        ]
        try:
            async with asyncio.TaskGroup() as group:
                for number in range(len(self._instances)):
                    group.create_task(self._stop_repeatedly(number, ends_at))
                group.create_task(self._change_repeatedly(ends_at))
        finally:
            for task in calling:
                task.cancel()
            await asyncio.wait(calling)

    def _callers(self, number, kind):
        def head(request):
            named = _name(number, kind, request)
            self.kinds[named] = kind
            seconds = self._rng.lognormvariate(math.log(MEDIAN_S), SIGMA)
            fault = None
            if self._rng.random() < FAULT_SHARE:
                fault = self._rng.choice(FAULTS)
            self._engines.answers[named] = plannedengines.Answer(
                seconds=min(seconds, LONGEST_S),
                is_stream=KINDS[kind]["route_kind"] == "streaming",
                fault=fault,
            )
            fields = wiredata.head(
                named, deadline_ms=str(int(1000 * TIMEOUT_S))
            )
            lines = [f"{name}: {value}\r\n" for name, value in fields.items()]
            return "".join([f"POST /{kind}/1 HTTP/1.1\r\n", *lines]).encode()

        callers = stopcallers.StopCallers(
            address=self._instances[number].public,
            head=head,
            count=CONNECTIONS,
        )
        self.callers[number, kind] = callers
        return callers

    async def _stop_repeatedly(self, number, ends_at):
        instance = self._instances[number]
        while True:
            await self._pause(MAX_CALM_S)
            if time.monotonic() > ends_at:
                return
            began_at = time.monotonic()
            instance.process.terminate()
            signalling = asyncio.create_task(self._signal(instance.process))
            status = None
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(
                    GRACE_S - (time.monotonic() - began_at)
                ):
                    status = await instance.process.wait()
            stop = Stop(began_at, time.monotonic(), status)
            self.stops[number].append(stop)
            signalling.cancel()
            await instance.kill()
            await instance.start()
            await instance.wait_ready()

    async def _signal(self, process):
        for _ in range(self._rng.randrange(3)):
            await self._pause(GRACE_S / 2)
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(
                    self._rng.choice((signal.SIGTERM, signal.SIGHUP))
                )

    async def _change_repeatedly(self, ends_at):
        while time.monotonic() < ends_at:
            await self._pause(MAX_CALM_S)
            self.changes += 1
            if self._rng.random() < 0.25:
                self._store.mood = platformstore.Mood(silent=True)
                await self._pause(MAX_AWAY_S)
                self._store.mood = platformstore.Mood()
                continue
            self._version += 1
            target_s = TARGET_S * self._rng.uniform(0.7, 1.5)
            more = self._rng.randrange(3)
            self._store.put(
                "op", "config", configuration(self._version, target_s, more)
            )

    async def _pause(self, longest_s):
        await asyncio.sleep(self._rng.uniform(0.0, longest_s))


def _name(number, kind, request):
    return f"{kind}-{number}-{request}"


def _report(soak, engines):
    counts = collections.Counter(changes=soak.changes)
    bad = []
    for (number, kind), callers in soak.callers.items():
        stops = soak.stops[number]
        counts["served"] += sum(
            each.status == 200 for each in callers.outcomes
        )
        for each in callers.outcomes:
            request = _name(number, kind, each.request)
            runs = [run for run in engines.runs.get(request, ()) if run.is_run]
            counts["requests"] += 1
            found = []
            if kind in ("unsafe", "stream") and len(runs) > 1:
                found.append("twice")
            if each.status == 503:
                found.append("untrue_503" if runs else "rejected")
            elif each.status is None:
                found.append(
                    _cause(each, runs, engines.answers[request], stops)
                )
            elif each.status != 200:
                found.append("failed")
            counts.update(found)
            if set(found) & set(_FORBIDDEN):
                bad.append((request, found, each, runs))
    ended = [stop for stops in soak.stops.values() for stop in stops]
    counts["stops"] = len(ended)
    counts["killed"] = sum(stop.status is None for stop in ended)
    counts["bad_exits"] = sum(stop.status not in (None, 0) for stop in ended)
    return Report(**counts), bad


def _cause(outcome, runs, answer, stops):
    """Return the name of the count of a request without an answer."""
    stop = next(
        (each for each in stops if each.ended_at >= outcome.sent_at), None
    )
    if not runs:
        # It need not have been read if its connection ended at once.
        is_crossing = outcome.ended_at - outcome.sent_at < CROSSING_S or (
            stop is not None and outcome.sent_at > stop.ended_at - CROSSING_S
        )
        return "unread" if is_crossing else "unanswered"
    if answer.fault and answer.fault != plannedengines.Fault.NOT_RUN:
        return "broken"
    if stop is None or outcome.ended_at < stop.began_at:
        return "cut_in_calm"
    if outcome.sent_at - stop.began_at > EARLY_S:
        return "late_cut"
    answered_at = runs[-1].at + answer.seconds
    if answered_at < stop.began_at + LAST_SHARE * GRACE_S:
        return "cut_in_time"
    return "early_cut"


async def play(seed, folder, *, seconds):
    """Play a soak.

    Parameters
    ----------
    seed : int
    folder : pathlib.Path
        For settings and logs.
    seconds : float

    Returns
    -------
    (Report, list)
        And each request for which a count is not zero that has to be.
    """
    store = platformstore.PlatformStore()
    await store.start()
    store.put("op", "config", configuration(2, TARGET_S, 0))
    documents = [
        {
            "instance": f"edge-{number}",
            "table": store.address,
            "grace_s": GRACE_S,
        }
        for number in range(INSTANCES)
    ]
    try:
        async with (
            plannedengines.Engines(store=store) as engines,
            gateways.gateways(folder, documents) as instances,
        ):
            for instance in instances:
                await instance.wait_ready()
            soak = _Soak(
                seed=seed, instances=instances, engines=engines, store=store
            )
            await soak.run(seconds)
            return _report(soak, engines)
    finally:
        store.mood = platformstore.Mood()
        await store.stop()


app = cyclopts.App(name="stopsoak", help=__doc__)


@app.default
def main(
    *,
    seeds: str = "1..1",
    seconds: float = 15.0,
    jobs: int = 2,
    keep: pathlib.Path | None = None,
):
    """Play soaks and print what came of the requests.

    Parameters
    ----------
    seeds
        Two numbers, as in 1..50, or one.
    seconds
        How long each one lasts, at least.
    jobs
        Soaks at the same time.
    keep
        Folder in which settings and logs are kept.
    """
    first, _, last = seeds.partition("..")
    numbers = range(int(first), int(last or first) + 1)
    keep = (keep or pathlib.Path(tempfile.mkdtemp())).resolve()
    keep.mkdir(parents=True, exist_ok=True)
    asyncio.run(_play_all(numbers, seconds, jobs, keep))


async def _play_all(numbers, seconds, jobs, keep):
    slots = asyncio.Semaphore(jobs)
    totals = collections.Counter()

    async def run(seed):
        async with slots:
            folder = keep / f"seed-{seed}"
            folder.mkdir(exist_ok=True)
            found, bad = await play(seed, folder, seconds=seconds)
            totals.update(found._asdict())
            print(seed, violations(found) or "nothing bad", found, flush=True)
            for each in bad:
                print("   ", each, flush=True)

    async with asyncio.TaskGroup() as group:
        for seed in numbers:
            group.create_task(run(seed))
    print(f"{len(numbers)} soaks:", dict(totals))


if __name__ == "__main__":
    app()
