"""Instances that send requests to engines of limited memory, in virtual time.

Instances tell each other what they have at engines a moment late.
"""

import asyncio
import collections
import random
import typing

from sycamoreshed.catalog import types
from sycamoreshed.engineload import ledger as ledgers
from sycamoreshed.engineload import view as views
from sycamoreshed.engineload import work
from sycamoreshed.errors import kinds
from sycamoreshed.forwarding import engineloads
from sycamoreshed.forwarding import engineroom
from sycamoreshed.forwarding import health
from sycamoreshed.forwarding import placement
from sycamoreshed.forwarding import requests
from sycamoreshed.forwarding import roomforecast
from sycamoreshed.gateway import metrics
from sycamoreshed.stopping import deadline
from sycamoreshed.stopping import durations
from testkit import journals

__all__ = ["TOKEN_S", "Arrival", "Pool", "Record", "route"]

# Time in which an engine of usual speed reads a token of a prompt.
TOKEN_S = 2.5e-5
ZONE = "north-a"


class Arrival(typing.NamedTuple):
    """A request that arrives; `work_s` is its work besides its prompt."""

    at: float
    needed: work.Work
    work_s: float
    affinity: str | None = None
    priority: int = 0


class Record(typing.NamedTuple):
    """How a request ended.

    `reads` is the number of tokens that its engine had to read, and
    `overflow` the memory that its engine lacked when it began although
    another one had room.
    """

    arrival: Arrival
    engine: str | None
    took_s: float
    failure: typing.Any = None
    reads: int = 0
    overflow: int = 0


class _Speeds:
    def __init__(self, slowness, is_known):
        self._slowness = slowness if is_known else {}
        self._is_known = is_known

    def slowness(self, endpoint, _now):
        return self._slowness.get(endpoint.id, 1.0)

    def prompt_token_s(self, _endpoint, _now):
        return TOKEN_S if self._is_known else None


class _Engine:
    def __init__(self, spec, slowness):
        self.spec = spec
        self.slowness = slowness
        self.slots = asyncio.Semaphore(spec.slots)
        self.held_tokens = 0
        self.cached = set()

    def lacks(self, needed):
        return max(
            0,
            self.held_tokens + needed.memory_tokens - self.spec.memory_tokens,
        )

    async def run(self, arrival):
        """Serve a request; return the tokens that were read."""
        needed = arrival.needed
        reads = needed.prompt_tokens
        self.held_tokens += needed.memory_tokens
        async with self.slots:
            if arrival.affinity in self.cached:
                reads -= needed.shared_tokens
            self.cached.add(arrival.affinity)
            work_s = arrival.work_s + reads * TOKEN_S
            await asyncio.sleep(self.slowness * work_s)
        self.held_tokens -= needed.memory_tokens
        return reads


class _Instance:
    def __init__(self, *, speeds, clock, knows_load, instances):
        self.view = views.LoadView(ledger=ledgers.Ledger())
        journal = journals.Journal()
        self.engines = engineloads.EngineLoads(
            view=self.view, speeds=speeds, count_instances=lambda: instances
        )
        self.placer = placement.Placer(
            zone=ZONE,
            regions={},
            health=health.Health(journal=journal),
            engines=self.engines if knows_load else None,
        )
        self.room = engineroom.EngineRoom(
            placer=self.placer,
            engine_load=self.view,
            engine_speeds=speeds,
            stop_deadline=deadline.StopDeadline(
                known=durations.Durations(), journal=journal, clock=clock
            ),
            journal=journal,
            metrics=metrics.GatewayMetrics(),
            clock=clock,
        )


def route(priority=0):
    """Return a streaming route whose callers wait for four seconds."""
    return types.Route(
        "r",
        "h",
        "/",
        (("llm", 1.0),),
        streaming=True,
        max_event_gap_s=0.25,
        priority=priority,
    )


class Pool:
    """Engines and the instances before them.

    Parameters
    ----------
    slowness : dict of str to float
        By name of the engine.
    spec : EngineSpec
    instances : int
    knows_load : bool
        Whether instances choose by what all have, else by their own counts.
    knows_speeds : bool
    report_s : float or None
        Time between reports, which arrive as late again; None for none.
    """

    def __init__(
        self,
        *,
        slowness,
        spec,
        instances,
        knows_load=True,
        knows_speeds=True,
        report_s=0.1,
    ):
        self._clock = asyncio.get_running_loop().time
        self._spec = spec
        self._report_s = report_s
        self.endpoints = [
            types.Endpoint(name, "llm", f"{name}:80", ZONE, spec.slots)
            for name in slowness
        ]
        self.engines = {
            name: _Engine(spec, factor) for name, factor in slowness.items()
        }
        speeds = _Speeds(slowness, knows_speeds)
        self.instances = [
            _Instance(
                speeds=speeds,
                clock=self._clock,
                knows_load=knows_load,
                instances=instances,
            )
            for _ in range(instances)
        ]
        self._knows_load = knows_load

    async def play(self, arrivals, *, seed=1):
        """Serve requests at random instances; return a list of `Record`."""
        rng = random.Random(seed)
        reporting = asyncio.ensure_future(self._report())
        try:
            return await asyncio.gather(
                *(
                    self._serve(number, each, rng.choice(self.instances))
                    for number, each in enumerate(arrivals)
                )
            )
        finally:
            reporting.cancel()

    async def _report(self):
        """Tell each instance what the others have, a moment late."""
        while self._report_s is not None:
            at = self._clock()
            own = [each.view.ledger.loads() for each in self.instances]
            totals = collections.defaultdict(lambda: work.NO_LOAD)
            for loads in own:
                for boot, load in loads.items():
                    totals[boot] = totals[boot].plus(load)
            await asyncio.sleep(self._report_s)
            for each, loads in zip(self.instances, own, strict=True):
                others = {
                    boot: work.Load(
                        *(
                            a - b
                            for a, b in zip(
                                load,
                                loads.get(boot, work.NO_LOAD),
                                strict=True,
                            )
                        )
                    )
                    for boot, load in totals.items()
                }
                each.view.record_report("others", others, at)

    def _request(self, number, arrival):
        return requests.Request(
            id=f"r{number}",
            route=route(arrival.priority),
            service="llm",
            team=None,
            priority=requests.Priority(0, arrival.priority),
            head=None,
            method="POST",
            target="/",
            headers=None,
            body=b"",
            fingerprint="",
            started_at=arrival.at,
            waited_s=0.0,
            deadline=arrival.at + 10.0,
        )

    async def _find(self, number, arrival, instance):
        def find(now):
            return instance.placer.choose(
                self.endpoints,
                now + number * 1e-9,
                affinity=arrival.affinity,
                shared_tokens=arrival.needed.shared_tokens,
                needed=arrival.needed,
                engine=self._spec,
            )

        request = self._request(number, arrival)
        now = self._clock()
        choice = find(now)
        if choice is not None and not (
            self._knows_load and instance.room.is_waited_for(request, now)
        ):
            return choice
        return await instance.room.wait(
            roomforecast.Wanted(
                request,
                arrival.needed,
                self._spec,
                lambda _now: self.endpoints,
                find,
                request.answer_start_deadline,
            )
        )

    async def _serve(self, number, arrival, instance):
        await asyncio.sleep(arrival.at - self._clock())
        choice = await self._find(number, arrival, instance)
        if isinstance(choice, kinds.Failure):
            took_s = self._clock() - arrival.at
            return Record(arrival, None, took_s, choice)
        endpoint = choice.endpoint
        engine = self.engines[endpoint.id]
        overflow = engine.lacks(arrival.needed)
        if overflow and all(
            each.lacks(arrival.needed) for each in self.engines.values()
        ):
            overflow = 0
        ledger = instance.view.ledger
        instance.placer.record_start(endpoint)
        load = ledger.record_start(endpoint.boot, arrival.needed)
        sent_at = self._clock()
        reads = await engine.run(arrival)
        ledger.record_end(load)
        instance.placer.record_end(endpoint)
        instance.engines.record_held("llm", self._clock() - sent_at)
        took_s = self._clock() - arrival.at
        return Record(arrival, endpoint.id, took_s, None, reads, overflow)
