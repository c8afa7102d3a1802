"""Fault injection for stand-ins."""

import asyncio
import random
import typing

from aiohttp import web
import msgspec

__all__ = ["FaultSpec", "Faults"]


class FaultSpec(typing.TypedDict):
    """Faults to inject; all keys are optional.

    A share is a probability between 0 and 1.

    ``delay_s``: seconds added before each call.  ``jitter_s``: maximum
    random delay added to that.  ``busy``: share of calls refused with
    status 429.  ``fail``: share of calls answered with status 500 and
    without effect.  ``lose``: share of calls whose connection is closed
    after taking effect.  ``lose_next``: number of next calls whose answer
    is lost.  ``late``: share of calls whose connection is closed at once,
    and that take effect ``late_s`` later.  ``serial_s``: calls wait in
    turn, each for this long, before they are handled.  ``swap``: share of
    calls that get the answer to the previous call.  ``other_attempt``:
    share of answers that name another attempt of the same call.
    ``down``: close every connection at once.  ``paths``: path prefixes
    that the faults are limited to.  ``delay_from``: seconds added by
    source address.  ``slow``: factor on processing time.  ``stale``:
    share of reads answered with the value before the last write.

    Faults of streams, each a share, injected in the middle of a stream:
    ``break_``: the connection is closed.  ``skip``: a token is omitted.
    ``repeat``: a line with the previous offset is inserted.  ``no_finish``:
    the stream ends early without its finish line.  ``wrong_finish``: it ends
    early, with a finish line for the full length.  ``stray``: a line of
    another attempt is inserted.  ``garble``: a line is replaced by
    invalid JSON.
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
    """The faults of one stand-in, and the middleware that injects them."""

    def __init__(self, *, seed=0):
        self._random = random.Random(seed)
        self._late_tasks = set()
        self._serial_lock = asyncio.Lock()
        self.spec = {}

    @property
    def slow(self):
        """Factor on processing time."""
        return self.spec.get("slow", 1.0)

    def occurs(self, share):
        """Return True with the given probability."""
        return self._random.random() < share

    def draw(self, names):
        """Draw which of the named faults one call gets."""
        return {
            name for name in names if self.occurs(self.spec.get(name, 0.0))
        }

    def applies(self, path):
        """Return whether faults are injected on this path."""
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
                return _abort_connection(http)
            delay_s = spec.get("delay_s", 0.0)
            delay_s += self._random.uniform(0, spec.get("jitter_s", 0.0))
            delay_s += spec.get("delay_from", {}).get(http.remote, 0.0)
            if delay_s:
                await asyncio.sleep(delay_s)
            if "serial_s" in spec:
                async with self._serial_lock:
                    await asyncio.sleep(spec["serial_s"])
            if self.occurs(spec.get("busy", 0.0)):
                return web.json_response({"error": "busy"}, status=429)
            if self.occurs(spec.get("fail", 0.0)):
                return web.json_response({"error": "fault"}, status=500)
            if "late" in spec and self.occurs(spec["late"]):
                await http.read()
                self._run_later(handler, http, spec.get("late_s", 0.5))
                return _abort_connection(http)
            answer = await handler(http)
            if self._is_answer_lost(spec):
                return _abort_connection(http)
            return answer

        return inject

    def _run_later(self, handler, http, delay_s):
        async def later():
            await asyncio.sleep(delay_s)
            await handler(http)

        task = asyncio.create_task(later())
        self._late_tasks.add(task)
        task.add_done_callback(self._late_tasks.discard)

    def _is_answer_lost(self, spec):
        if spec.get("lose_next", 0) > 0:
            spec["lose_next"] -= 1
            return True
        return self.occurs(spec.get("lose", 0.0))


def _abort_connection(http):
    if http.transport is not None:
        http.transport.abort()
    return web.Response(status=500)
