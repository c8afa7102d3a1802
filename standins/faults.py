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
    more.  ``busy``: share of calls refused with status 429.  ``fail``:
    share of calls answered with status 500 and without effect.
    ``lose``: share of calls whose connection is closed after taking
    effect.  ``lose_next``: that many next calls lose their answer.
    ``late``: share of calls whose connection is closed at once, and that
    take effect ``late_s`` later.  ``serial_s``: calls are served one
    after another, each for so long.  ``swap``: share of answers that name
    another call.  ``other_attempt``: share of answers that name another
    attempt of the same call.  ``down``: close every connection at once.
    ``paths``: only paths with one of these beginnings.  ``delay_from``:
    seconds added by source address.  ``slow``: factor on the time that
    work takes.  ``stale``: share of reads of rows that are answered with
    the row as it was before its last write.

    Of streams, each a share and shown in the middle of a stream:
    ``break_``: the connection is cut.  ``skip``: a token is left out.
    ``repeat``: the token before is sent again.  ``no_finish``: the
    stream ends early and without its finishing mark.  ``wrong_finish``:
    it ends early, with a finishing mark of the full length.  ``stray``:
    a line of another attempt comes between.  ``garble``: a line that is
    no JSON.
    """

    delay_s: typing.NotRequired[float]
    jitter_s: typing.NotRequired[float]
    busy: typing.NotRequired[float]
    fail: typing.NotRequired[float]
    lose: typing.NotRequired[float]
    lose_next: typing.NotRequired[int]
    late: typing.NotRequired[float]
    late_s: typing.NotRequired[float]
    serial_s: typing.NotRequired[float]
    swap: typing.NotRequired[float]
    other_attempt: typing.NotRequired[float]
    break_: typing.NotRequired[float]
    skip: typing.NotRequired[float]
    repeat: typing.NotRequired[float]
    no_finish: typing.NotRequired[float]
    wrong_finish: typing.NotRequired[float]
    stray: typing.NotRequired[float]
    garble: typing.NotRequired[float]
    down: typing.NotRequired[bool]
    paths: typing.NotRequired[list[str]]
    delay_from: typing.NotRequired[dict[str, float]]
    slow: typing.NotRequired[float]
    stale: typing.NotRequired[float]


class Faults:
    """The faults of one stand-in, and the middleware that shows them."""

    def __init__(self, *, seed=0):
        self._random = random.Random(seed)
        self._late = set()
        self._serial = asyncio.Lock()
        self.spec = {}

    @property
    def slow(self):
        """Factor on the time that work takes."""
        return self.spec.get("slow", 1.0)

    def hits(self, share):
        """Draw whether something of this share happens."""
        return self._random.random() < share

    def draw(self, names):
        """Return those of the named faults that one call shows."""
        return {name for name in names if self.hits(self.spec.get(name, 0.0))}

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
            if "serial_s" in spec:
                async with self._serial:
                    await asyncio.sleep(spec["serial_s"])
            if self.hits(spec.get("busy", 0.0)):
                return web.json_response({"error": "busy"}, status=429)
            if self.hits(spec.get("fail", 0.0)):
                return web.json_response({"error": "fault"}, status=500)
            if "late" in spec and self.hits(spec["late"]):
                await http.read()
                self._put_off(handler, http, spec.get("late_s", 0.5))
                return _cut(http)
            answer = await handler(http)
            if self._loses(spec):
                return _cut(http)
            return answer

        return inject

    def _put_off(self, handler, http, seconds):
        async def later():
            await asyncio.sleep(seconds)
            await handler(http)

        task = asyncio.create_task(later())
        self._late.add(task)
        task.add_done_callback(self._late.discard)

    def _loses(self, spec):
        if spec.get("lose_next", 0) > 0:
            spec["lose_next"] -= 1
            return True
        return self.hits(spec.get("lose", 0.0))


def _cut(http):
    if http.transport is not None:
        http.transport.abort()
    return web.Response(status=500)
