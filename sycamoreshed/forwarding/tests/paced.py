"""Endpoints that answer at a pace, in simulated time."""

import asyncio

import multidict

from sycamoreshed.catalog import types
from sycamoreshed.engineload import speeds
from sycamoreshed.forwarding import engineloads
from sycamoreshed.forwarding import placement
from sycamoreshed.forwarding.tests import builders
from sycamoreshed.platform import names

__all__ = ["CallSender", "Sender", "Sink", "parts"]

EVENTS = 10


class _Protocol:
    was_reset = False


class _Stream:
    """An answer whose events come one by one."""

    status = 200
    protocol = _Protocol()
    content_length = None

    def __init__(self, first_s, interval_s):
        self.content = self
        self.headers = multidict.CIMultiDict({names.REQUEST_ID: builders.ID})
        self._first_s = first_s
        self._interval_s = interval_s
        self._sent_at = asyncio.get_running_loop().time()
        self._count = 0

    async def readany(self):
        """Return the next event; one that is due already at once."""
        if self._count == EVENTS:
            return b""
        due_at = self._sent_at + self._first_s
        due_at += self._count * self._interval_s
        now = asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, due_at - now))
        self._count += 1
        return b"id: %d\ndata: a\n\n" % self._count

    def close(self):
        """Do nothing."""


class Sender:
    """Answers with streams.

    Parameters
    ----------
    first_s, interval_s : dict of str to float
        Seconds to the first event, and between events, by endpoint.
    """

    def __init__(self, *, first_s, interval_s):
        self._first_s = first_s
        self._interval_s = interval_s

    async def send(self, _method, endpoint, *_args, **_kwargs):
        """Return the head of a stream."""
        return _Stream(
            self._first_s[endpoint.id], self._interval_s[endpoint.id]
        )


class CallSender(builders.ScriptedSender):
    """Answers calls after some time.

    Parameters
    ----------
    call_s : dict of str to float
        By endpoint.
    """

    def __init__(self, *, call_s):
        super().__init__(())
        self._call_s = call_s

    async def send(self, method, endpoint, *args, **kwargs):
        """Return an answer, late."""
        await asyncio.sleep(self._call_s[endpoint.id])
        return await super().send(method, endpoint, *args, **kwargs)


class Sink:
    """A caller.

    Parameters
    ----------
    reading_s : float
        Seconds that it takes to read an event.
    """

    def __init__(self, *, reading_s=0.0):
        self._reading_s = reading_s

    async def begin(self, _response):
        """Do nothing."""

    async def send(self, _data):
        """Take an event."""
        await asyncio.sleep(self._reading_s)


def parts(sender):
    """Return shared components of engines; the clock is the loop's.

    Engines are chosen evenly, whatever is learnt of them.
    """
    result = builders.parts(sender, endpoints=len(sender._first_s))
    configuration = result.catalog.configuration
    service = configuration.services[builders.SERVICE]._replace(
        engine=types.EngineSpec(64, 100_000)
    )
    result.catalog.configuration = configuration._replace(
        services={builders.SERVICE: service}
    )
    placer = placement.Placer(
        zone="north-a",
        regions={},
        health=result.health,
        engines=engineloads.EngineLoads(
            view=result.engine_load, speeds=speeds.Speeds()
        ),
    )
    return result._replace(
        clock=asyncio.get_running_loop().time, placer=placer
    )
