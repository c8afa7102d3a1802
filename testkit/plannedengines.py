"""Endpoints whose answers last, or fail, as it is planned for a request."""

import collections
import json
import time
import typing

from standins import scripted
from testkit import processes
from testkit import wiredata

__all__ = ["Answer", "Engines", "Fault", "Run", "event"]

SEAL = "X-Sycamoreshed-Response-Seal"
NOT_RUN = "X-Sycamoreshed-Not-Executed"
EVENT_S = 0.25
HOST = "127.0.0.1"
SLOTS = 100


class Fault:
    """What the first endpoint that gets a request does instead."""

    RESET = "reset"
    NOT_RUN = "not run"
    BREAK = "break"


class Answer(typing.NamedTuple):
    """How a request is answered.

    Parameters
    ----------
    seconds : float
    is_stream : bool
    fault : str or None
        One of `Fault`.
    size : int
        Additional bytes of an answer, or of each event.
    stage_s : float
        How long each piece of the request's stage takes.
    """

    seconds: float
    is_stream: bool = False
    fault: str | None = None
    size: int = 0
    stage_s: float = 0.0

    @property
    def events(self):
        """Number of events of a stream."""
        return 1 + int(self.seconds / EVENT_S)

    def body(self, request):
        """Return the whole body of the answer to a request."""
        if self.is_stream:
            each = range(self.events)
            return b"".join(event(n, request, self.size) for n in each)
        return request.encode() + b"." * self.size


class Run(typing.NamedTuple):
    """An arrival of a request at an endpoint.

    Parameters
    ----------
    endpoint : int
    at : float
        Monotonic time.
    is_run : bool
        Whether the endpoint has not said that it did not run the request.
    """

    endpoint: int
    at: float
    is_run: bool


def event(number, request, size=0):
    """Return an event of the stream that answers a request."""
    text = f"id: {number}\ndata: {request} {'.' * size}\n\n"
    return text.encode()


class Engines:
    """Endpoints that answer as planned.

    Parameters
    ----------
    store : PlatformStore
        Where they are registered.
    count : int
    stages : bool
        Whether there is one more that runs pieces of a stage.
    refusing : int
        Further ones that are registered, but refuse connections.

    Attributes
    ----------
    answers : dict of str to Answer
        By the ids of requests.
    runs : dict of str to list of Run
    """

    def __init__(self, *, store, count=3, stages=False, refusing=0):
        self._store = store
        self._count = count
        self._refusing = refusing
        self._has_stages = stages
        self._endpoints = []
        # Those that refuse connections, as nothing listens on them.
        self._ports = processes.Ports()
        self.answers = {}
        self.runs = collections.defaultdict(list)

    async def __aenter__(self):
        for number in range(self._count):
            await self._start(number, self._script(number), "desk")
        for number in range(self._refusing):
            port = self._ports.reserve(HOST)
            self._register(self._count + number, f"{HOST}:{port}", "desk")
        if self._has_stages:
            await self._start(99, self._run_pieces, "first")
        return self

    async def __aexit__(self, *_):
        for endpoint in self._endpoints:
            await endpoint.stop()
        self._ports.close()

    async def _start(self, number, script, service):
        endpoint = scripted.Endpoint(script)
        await endpoint.start()
        self._endpoints.append(endpoint)
        self._register(number, endpoint.address, service)

    def _register(self, number, address, service):
        beat = wiredata.beat(address, service=service, slots=SLOTS)
        self._store.put("servers", f"i-{number}", beat)

    def _script(self, number):
        def script(received):
            request = received.headers.get("x-sycamoreshed-request-id")
            if request not in self.answers:
                # A health check.
                yield scripted.answer(200)
                return
            answer = self.answers[request]
            runs = self.runs[request]
            fault = None if runs else answer.fault
            is_run = fault != Fault.NOT_RUN
            runs.append(Run(number, time.monotonic(), is_run))
            if fault == Fault.NOT_RUN:
                yield scripted.answer(503, **{NOT_RUN: "1"})
            elif answer.is_stream:
                last = received.headers.get("last-event-id")
                begin = 0 if last is None else int(last) + 1
                yield from _stream(request, answer, begin, fault)
            else:
                if fault:
                    yield answer.seconds / 2
                    yield scripted.RESET
                yield answer.seconds
                body = answer.body(request)
                yield scripted.answer(200, body, **{SEAL: "proof"})

        return script

    def _run_pieces(self, received):
        if received.target != "/v1/stage-run":
            yield scripted.answer(200)
            return
        items = json.loads(received.body)["items"]
        yield max(self.answers[each["id"]].stage_s for each in items)
        body = json.dumps({"items": [{"handle": "h"} for _ in items]})
        yield scripted.answer(200, body.encode())


def _stream(request, answer, begin, fault):
    yield scripted.stream_head(**{SEAL: "proof"})
    events = answer.events
    for number in range(begin, events):
        if fault and number >= events // 2:
            yield scripted.RESET
            return
        yield event(number, request, answer.size)
        yield answer.seconds / events
