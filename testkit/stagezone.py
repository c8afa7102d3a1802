"""Simulates a zone's stages in virtual time.

Coordinator, scheduler and batchers are those of the product.  The simulated
endpoints process one call at a time, store results in limited memory, and
reject pieces that are late or whose results do not fit.
"""

import asyncio
import typing

from sycamoreshed.catalog import types
from sycamoreshed.forwarding import client
from sycamoreshed.forwarding import health
from sycamoreshed.kernel import tasks
from sycamoreshed.staging import batching
from sycamoreshed.staging import coordinator
from sycamoreshed.staging import pieces
from sycamoreshed.stopping import deadline
from sycamoreshed.stopping import durations
from testkit import crashes
from testkit import journals
from testkit import limiters
from testkit import retries

__all__ = ["JobRecord", "Zone", "simulate"]


class JobRecord(typing.NamedTuple):
    """Outcome of a job of a simulated load.

    Parameters
    ----------
    kind : str
        Kind of the job in the load.
    arrived_at, ended_at : float
        Simulated seconds.
    is_done : bool
        Whether there were results.
    met_target : bool
        Whether they were available by the job's target time.
    """

    kind: str
    arrived_at: float
    ended_at: float
    is_done: bool
    met_target: bool


class _Response:
    status = 200
    headers: typing.ClassVar = {"Content-Length": "1"}
    reason = "OK"
    content_length = 1

    def __init__(self, body):
        self._body = body
        self.content = self

    async def iter_any(self):
        """Yield the body."""
        yield self._body

    def close(self):
        """Do nothing."""


class _Codec:
    """Passes calls and results as Python objects, without encoding."""

    @staticmethod
    def rate_limit(_headers):
        """Return None: no endpoint names a limit."""
        return None

    @staticmethod
    def tolerated_rejections(_status, _headers):
        """Return None: endpoints survive any number of rejections."""
        return None

    @staticmethod
    def piece_call(items, *, endpoint, now):
        """Return path, headers and body of a call."""
        return "run", {}, list(items)

    @staticmethod
    def decode_piece_results(raw):
        """Return the results of a call."""
        return raw

    @staticmethod
    def free_call(handles, *, endpoint):
        """Return path, headers and body of a call that frees results."""
        return "free", {}, list(handles)


class _Endpoint:
    """Processes one call at a time and stores results until they are freed."""

    def __init__(self, *, name, spec, sizes, clock):
        self._name = name
        self._spec = spec
        self._sizes = sizes
        self._clock = clock
        self._lock = asyncio.Lock()
        self._stored = {}

    @property
    def stored_count(self):
        """Number of results that are stored."""
        return len(self._stored)

    async def process(self, items):
        """Process a call; return its results."""
        async with self._lock:
            now = self._clock()
            results = [self._store(each, now) for each in items]
            count = sum(each.handle is not None for each in results)
            duration_s = self._spec.call_s + count * self._spec.piece_s
            await asyncio.sleep(duration_s)
            return results

    def _store(self, item, now):
        if now > item.deadline:
            return _Result(None, "late")
        size = self._sizes[item.stage]
        if sum(self._stored.values()) + size > self._spec.memory_bytes:
            return _Result(None, "room")
        handle = f"{self._name}/{item.request}/{item.stage}/{item.index}"
        self._stored[handle] = size
        return _Result(handle, None)

    def free(self, handles):
        """Free results."""
        for handle in handles:
            self._stored.pop(handle, None)


class _Result(typing.NamedTuple):
    handle: str | None
    reason: str | None


class Zone:
    """The endpoints of a zone, and the coordinator that uses them.

    Parameters
    ----------
    specs : dict of str to PieceSpec
        By service.
    endpoints : dict of str to int
        Number of endpoints by service.
    sizes : dict of int to int
        Bytes of a result, by the index of the stage.
    name : str
    """

    def __init__(self, *, specs, endpoints, sizes, name="north-a"):
        loop = asyncio.get_running_loop()
        self._clock = loop.time
        self._specs = specs
        self._tasks = tasks.BackgroundTasks(clock=loop.time)
        self.endpoints = {}
        self._listed = {}
        for service, count in endpoints.items():
            for number in range(count):
                key = f"{name}/{service}-{number}"
                self._listed[key] = types.Endpoint(key, service, key, name, 1)
                self.endpoints[key] = _Endpoint(
                    name=key,
                    spec=specs[service],
                    sizes=sizes,
                    clock=loop.time,
                )
        self.coordinator = coordinator.Coordinator(
            zone=name,
            find_service=self._service,
            endpoints=self._endpoints_of,
            make_batcher=self._batcher,
            crashes=crashes.Crashes(),
            budget=retries.Spending(ratio=0.2, slack=50, clock=loop.time),
            stop_deadline=deadline.StopDeadline(
                known=durations.Durations(),
                journal=journals.Journal(),
                clock=loop.time,
            ),
            journal=journals.Journal(),
            clock=loop.time,
        )

    @property
    def listed(self):
        """All endpoints by id, as the catalog has them."""
        return self._listed

    async def send(
        self,
        _method,
        endpoint,
        _path,
        _headers,
        body,
        *,
        timeout_s,
        context=None,
    ):
        """Answer a call that runs pieces."""
        return _Response(await self.endpoints[endpoint.id].process(body))

    async def post_idempotent(
        self, endpoint, _path, _headers, body, *, timeout_s
    ):
        """Answer a call that frees results."""
        self.endpoints[endpoint.id].free(body)
        return client.FullAnswer(200, "OK", {}, b"")

    def _service(self, name):
        return types.Service(name, "/", 100, None, self._specs[name])

    def _endpoints_of(self, name, _now):
        return [e for e in self._listed.values() if e.service == name]

    def _batcher(self, service, endpoints, scheduler):
        journal = journals.Journal()
        return batching.Batcher(
            service=service,
            endpoints=endpoints,
            allows=lambda _regions, _zone: True,
            find_endpoint=self._listed.get,
            scheduler=scheduler,
            sender=self,
            codec=_Codec(),
            health=health.Health(journal=journal),
            crashes=crashes.Crashes(),
            limiter=limiters.Limiter(),
            journal=journal,
            clock=self._clock,
            tasks=self._tasks,
        )


async def simulate(zone, load, *, fetch_s):
    """Run the jobs of a load in a zone; return a list of `JobRecord`.

    Parameters
    ----------
    zone : Zone
    load : iterable of (float, str, Job)
        Time of arrival, kind and job; in order of time.
    fetch_s : float
        Seconds from the end of a job until an engine has fetched the
        results, so that they can be freed.
    """
    clock = asyncio.get_running_loop().time

    async def run_one(arrived_at, kind, job):
        await asyncio.sleep(arrived_at - clock())
        outcome = await zone.coordinator.run(job)
        ended_at = clock()
        record = JobRecord(
            kind,
            arrived_at,
            ended_at,
            outcome.results is not None,
            outcome.results is not None
            and ended_at <= arrived_at + job.target_s,
        )
        if outcome.results:
            await asyncio.sleep(fetch_s)
            final = pieces.final_stages(job.stages)
            services = [
                job.stages[index].service
                for index in final
                for _ in range(job.stages[index].count)
            ]
            zone.coordinator.free(
                list(zip(services, outcome.results, strict=True))
            )
        return record

    return await asyncio.gather(*(run_one(*each) for each in load))
