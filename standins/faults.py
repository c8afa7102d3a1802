"""Faults a stand-in can be told to show."""

import asyncio
import random
import typing

from aiohttp import web
import msgspec

__all__ = ["FaultSpec", "Faults"]


class FaultSpec(typing.TypedDict):
    """What goes wrong; all keys are optional.

    ``delay_s``: added before each call.  ``jitter_s``: up to this much
    more.  ``fail``: share of calls answered with status 500 and without
    effect.  ``lose``: share of calls whose connection is closed after
    taking effect.  ``lose_next``: that many next calls lose their answer.
    ``swap``: share of answers that name another call.  ``down``: close
    every connection at once.  ``break_``: share
    of streams cut off in the middle.  ``paths``: only paths with one of these
    beginnings.  ``delay_from``: added by source address.
    ``slow``: factor on the time that work takes.
    """

    delay_s: typing.NotRequired[float]
    jitter_s: typing.NotRequired[float]
    fail: typing.NotRequired[float]
    lose: typing.NotRequired[float]
    lose_next: typing.NotRequired[int]
    swap: typing.NotRequired[float]
    break_: typing.NotRequired[float]
    down: typing.NotRequired[bool]
    paths: typing.NotRequired[list[str]]
    delay_from: typing.NotRequired[dict[str, float]]
    slow: typing.NotRequired[float]


class Faults:
    """The faults of one stand-in, and the middleware that shows them."""

    def __init__(self, *, seed=0):
        self._random = random.Random(seed)
        self.spec = {}

    @property
    def slow(self):
        """Factor on the time that work takes."""
        return self.spec.get("slow", 1.0)

    def hits(self, share):
        """Draw whether something of this share happens."""
        return self._random.random() < share

    def applies(self, path):
        """Return whether faults are meant for this path."""
        if path == "/faults":
            return False
        paths = self.spec.get("paths")
        return paths is None or path.startswith(tuple(paths))

    async def set(self, http):
        """Handle a request that sets the faults."""
        raw = await http.read()
        self.spec = msgspec.json.decode(raw, type=FaultSpec)
        return web.json_response(self.spec)

    def middleware(self):
        """Return the aiohttp middleware."""

        @web.middleware
        async def inject(http, handler):
            if not self.applies(http.path):
                return await handler(http)
            spec = self.spec
            if spec.get("down"):
                return _cut(http)
            seconds = spec.get("delay_s", 0.0)
            seconds += self._random.uniform(0, spec.get("jitter_s", 0.0))
            seconds += spec.get("delay_from", {}).get(http.remote, 0.0)
            if seconds:
                await asyncio.sleep(seconds)
            if self.hits(spec.get("fail", 0.0)):
                return web.json_response({"error": "fault"}, status=500)
            answer = await handler(http)
            if self._loses(spec):
                return _cut(http)
            return answer

        return inject

    def _loses(self, spec):
        if spec.get("lose_next", 0) > 0:
            spec["lose_next"] -= 1
            return True
        return self.hits(spec.get("lose", 0.0))


def _cut(http):
    if http.transport is not None:
        http.transport.abort()
    return web.Response(status=500)
