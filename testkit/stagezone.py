"""A zone's stages in simulated time: the product's queue, endpoints' work.

What decides is the product's own; endpoints work on one call at a time, hold
results in limited room, and refuse pieces that find none.
"""

import asyncio
import typing

from sycamoreshed.catalog import types
from sycamoreshed.forwarding import budget
from sycamoreshed.forwarding import client
from sycamoreshed.forwarding import health
from sycamoreshed.staging import batching
from sycamoreshed.staging import coordinator
from sycamoreshed.staging import pieces
from testkit import journals

__all__ = ["Told", "Zone", "play"]


class Told(typing.NamedTuple):
    """How a job of a played load ended.

    Parameters
    ----------
    kind : str
        As the load names it.
    at, ended : float
        Simulated seconds.
    is_done : bool
        Whether there were results.
    in_time : bool
        Whether they were there by the job's aim.
    """

    kind: str
    at: float
    ended: float
    is_done: bool
    in_time: bool


class _Response:
    status = 200
    headers: typing.ClassVar = {"Content-Length": "1"}
    reason = "OK"

    def __init__(self, body):
        self._body = body

    async def read(self):
        """Return the body."""
        return self._body

    def close(self):
        """Do nothing."""


class _Codec:
    """Calls of endpoints as plain values."""

    @staticmethod
    def piece_call(items, *, endpoint, now):
        """Return path, headers and body of a call."""
        return "run", {}, list(items)

    @staticmethod
    def read_pieces(raw):
        """Return the results of a call."""
        return raw

    @staticmethod
    def free_call(handles, *, endpoint):
        """Return path, headers and body of a call that frees results."""
        return "free", {}, list(handles)


class _Endpoint:
    """Works on one call at a time and holds results until they are freed."""

    def __init__(self, *, name, spec, sizes, clock):
        self._name = name
        self._spec = spec
        self._sizes = sizes
        self._clock = clock
        self._turn = asyncio.Lock()
        self._held = {}

    async def work(self, items):
        """Work on a call; return its results."""
        async with self._turn:
            now = self._clock()
            made = [self._take(each, now) for each in items]
            count = sum(each.handle is not None for each in made)
            took = self._spec.call_s + count * self._spec.piece_s
            await asyncio.sleep(took)
            return made

    def _take(self, item, now):
        if now > item.deadline:
            return _Made(None, "late")
        size = self._sizes[item.stage]
        if sum(self._held.values()) + size > self._spec.room_bytes:
            return _Made(None, "room")
        handle = f"{self._name}/{item.request}/{item.stage}/{item.index}"
        self._held[handle] = size
        return _Made(handle, None)

    def free(self, handles):
        """Give up results."""
        for handle in handles:
            self._held.pop(handle, None)


class _Made(typing.NamedTuple):
    handle: str | None
    why: str | None


class Zone:
    """The endpoints of a zone, and the coordinator that feeds them.

    Parameters
    ----------
    specs : dict of str to PieceSpec
        Of each service.
    endpoints : dict of str to int
        How many each service has.
    sizes : dict of int to int
        Bytes of a result, by the stage's index.
    """

    def __init__(self, *, specs, endpoints, sizes):
        loop = asyncio.get_running_loop()
        self._clock = loop.time
        self._specs = specs
        self._tasks = set()
        self.endpoints = {}
        self._known = {}
        for service, count in endpoints.items():
            for number in range(count):
                name = f"{service}-{number}"
                self._known[name] = types.Endpoint(
                    name, service, name, "north-a", 1
                )
                self.endpoints[name] = _Endpoint(
                    name=name,
                    spec=specs[service],
                    sizes=sizes,
                    clock=loop.time,
                )
        self.coordinator = coordinator.Coordinator(
            zone="north-a",
            services=self._service,
            endpoints=self._of,
            make_batcher=self._batcher,
            budget=budget.RetryBudget(ratio=0.2, slack=50, window_s=10),
            instances=lambda: 1,
            journal=journals.Journal(),
            clock=loop.time,
        )

    async def send(
        self, _method, address, _path, _headers, body, *, timeout_s
    ):
        """Answer a call with pieces."""
        return _Response(await self.endpoints[address].work(body))

    async def post_idempotent(
        self, address, _path, _headers, body, *, timeout_s
    ):
        """Answer a call that frees results."""
        self.endpoints[address].free(body)
        return client.FullAnswer(200, "OK", {}, b"")

    def _service(self, name):
        return types.Service(name, "/", 100, None, self._specs[name])

    def _of(self, name, _now):
        return [e for e in self._known.values() if e.service == name]

    def _spawn(self, call, name):
        task = asyncio.get_running_loop().create_task(call, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _batcher(self, service, endpoints, plans):
        journal = journals.Journal()
        return batching.Batcher(
            service=service,
            endpoints=endpoints,
            lookup=self._known.get,
            plans=plans,
            client=self,
            codec=_Codec(),
            health=health.Health(journal=journal),
            journal=journal,
            clock=self._clock,
            spawn=self._spawn,
        )


async def play(zone, load, *, fetch_s):
    """Have a zone run the jobs of a load; return a list of `Told`.

    Parameters
    ----------
    zone : Zone
    load : iterable of (float, str, Job)
        When each comes, and what it is called; in order of time.
    fetch_s : float
        How long an engine takes until the results may be given up.
    """
    clock = asyncio.get_running_loop().time

    async def one(at, kind, job):
        await asyncio.sleep(at - clock())
        done = await zone.coordinator.run(job)
        ended = clock()
        told = Told(
            kind,
            at,
            ended,
            done.results is not None,
            done.results is not None and ended <= at + job.target_s,
        )
        if done.results:
            await asyncio.sleep(fetch_s)
            final = pieces.final_stages(job.stages)
            services = [
                job.stages[index].service
                for index in final
                for _ in range(job.stages[index].count)
            ]
            zone.coordinator.free(
                list(zip(services, done.results, strict=True))
            )
        return told

    return await asyncio.gather(*(one(*each) for each in load))
