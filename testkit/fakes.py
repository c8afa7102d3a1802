"""Fakes of a daemon's components, for tests of a single stage."""

import asyncio
import time

from sycamoreshed.adapters import endpoints
from sycamoreshed.admission import budget
from sycamoreshed.errors import kinds
from sycamoreshed.observe import metrics
from sycamoreshed.pipeline import requests
from sycamoreshed.routing import loads
from testkit import builders

__all__ = [
    "Client",
    "Membership",
    "Router",
    "chunks",
    "request",
    "stage_parts",
]


class Client:
    """Answers calls from a script; ``...`` stands for a timeout.

    Parameters
    ----------
    script : list
        One item for each call.  For a unary call, a `StageAnswer`, a
        `Failure` or ``...``; for a stream, a list of these with `Chunk`
        in place of `StageAnswer`.

    Attributes
    ----------
    calls : list of Call
    cancelled : list of str
        Attempts cancelled.
    cancel_hangs : bool
        Whether cancellations never return.
    """

    def __init__(self, *script):
        self._script = list(script)
        self.calls = []
        self.cancelled = []
        self.cancel_hangs = False

    async def call(self, _endpoint, call, *, timeout):
        """Answer a unary call."""
        self.calls.append(call)
        result = self._script.pop(0)
        if result is ...:
            await asyncio.sleep(timeout)
            return kinds.Failure(kinds.Kind.LATE, "no answer", sent=True)
        return result

    async def stream(self, _endpoint, call, *, timeout):
        """Answer a streamed call."""
        self.calls.append(call)
        for item in self._script.pop(0):
            if item is ...:
                await asyncio.sleep(timeout)
                item = kinds.Failure(kinds.Kind.LATE, "no answer", sent=True)
            yield item

    async def cancel(self, _endpoint, call):
        """Record a cancellation."""
        self.cancelled.append(call.attempt)
        if self.cancel_hangs:
            await asyncio.Event().wait()


class Membership:
    """Records the reported call outcomes."""

    def __init__(self):
        self.reports = []

    def report(self, endpoint, *, ok, now, seconds=None):
        """Record the outcome of one call."""
        self.reports.append((endpoint.name, ok))


class Router:
    """Chooses the first endpoint not in `avoid`, or the first if all are."""

    def __init__(self, *, names):
        self._config = builders.config(
            {name: builders.endpoint_spec() for name in names}
        )
        self.loads = loads.Loads()

    def record_result(self, endpoint, call, result, started_at, now):
        """Record the end of a call."""
        self.loads.record_end(endpoint)

    def choose(self, _request, _stage, _now, *, avoid=(), prefix=None):
        """Choose an endpoint for a stage."""
        candidates = self._config.endpoints.get("encoder", ())
        untried = [item for item in candidates if item.name not in avoid]
        return next(iter(untried or candidates), None)


def request(*, seconds=60.0, config=None, pipeline="summary", key=None):
    """Return a request whose deadline is `seconds` from now."""
    return requests.Request(
        id="r1",
        team="gaucho",
        pipeline=pipeline,
        config=config or builders.config(),
        deadline=time.monotonic() + seconds,
        body="input",
        key=key,
    )


def stage_parts(*script, names=("encoder-1", "encoder-2")):
    """Return the constructor arguments of a stage, with fakes.

    Parameters
    ----------
    *script
        Script of the `Client`.
    names : iterable of str
        Names of the endpoints.
    """
    return {
        "clock": time.monotonic,
        "client": Client(*script),
        "router": Router(names=names),
        "membership": Membership(),
        "budget": budget.RetryBudget(),
        "metrics": metrics.Metrics(region="north"),
    }


def chunks(first, last, *, finish=None):
    """Return chunks for tokens `first` to `last - 1`.

    Parameters
    ----------
    finish : int, optional
        Offset of a final chunk that ends the stream.
    """
    result = [
        endpoints.Chunk(number, f"{number} ") for number in range(first, last)
    ]
    if finish is not None:
        result.append(endpoints.Chunk(finish, None, "stop"))
    return result
