"""Fakes of a daemon's parts, for tests of one stage."""

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
    """Answers calls from a script; hangs on ``...``.

    Parameters
    ----------
    script : list
        For unary calls a `StageAnswer`, `Failure` or ``...`` each; for
        streams a list of `Chunk`, `Failure` or ``...`` each.

    Attributes
    ----------
    calls : list of Call
    cancelled : list of str
        Attempts cancelled.
    cancel_hangs : bool
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
        """Take a cancel."""
        self.cancelled.append(call.attempt)
        if self.cancel_hangs:
            await asyncio.Event().wait()


class Membership:
    """Keeps what was reported."""

    def __init__(self):
        self.reports = []

    def report(self, endpoint, *, ok, now, seconds=None):
        """Take in the outcome of one call."""
        self.reports.append((endpoint.name, ok))


class Router:
    """Chooses the first endpoint not tried."""

    def __init__(self, *, names):
        self._config = builders.config(
            {name: builders.endpoint_spec() for name in names}
        )
        self.loads = loads.Loads()

    def record_result(self, endpoint, call, result, started_at, now):
        """Take in how a call ended."""
        self.loads.record_end(endpoint)

    def choose(self, _request, _stage, _now, *, avoid=(), prefix=None):
        """Choose an endpoint for a stage."""
        every = self._config.endpoints.get("encoder", ())
        fresh = [item for item in every if item.name not in avoid]
        return next(iter(fresh or every), None)


def request(*, seconds=60.0, config=None, pipeline="summary", key=None):
    """Return a request whose deadline is in so many seconds."""
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
    """Return the parts a stage is made of, with fakes.

    Parameters
    ----------
    *script
        Of the `Client`.
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
    """Return the chunks of tokens `first` to `last`, then the mark."""
    result = [
        endpoints.Chunk(number, f"{number} ") for number in range(first, last)
    ]
    if finish is not None:
        result.append(endpoints.Chunk(finish, None, "stop"))
    return result
