"""Stand-in for a model engine."""

import asyncio
import collections
import time

from aiohttp import web
import msgspec

from standins import orders
from standins import registry
from standins import services

__all__ = ["Engine"]

EVENT_LAG_S = 0.5
ENDINGS = {"no_finish", "wrong_finish"}
STREAM_FAULTS = ("break_", "skip", "garble", "repeat", "stray", *ENDINGS)


class Engine:
    """Streams tokens under a slot limit, with a prefix cache.

    Parameters
    ----------
    faults : Faults
    slots : int
        Streams served at a time; more wait, by priority.
    token_s : float
        Seconds between tokens.
    prefill_s : float
        Seconds before the first token when the prefix is not cached.
    tokens : int
        Length of an answer.
    cache : int
        Prefixes held.
    book : OrderBook
        What is loaded.
    """

    def __init__(
        self, *, faults, slots, token_s, prefill_s, tokens, cache, book
    ):
        self._faults = faults
        self._slots = slots
        self._token_s = token_s
        self._prefill_s = prefill_s
        self._tokens = tokens
        self._cache = collections.OrderedDict()
        self._cache_size = cache
        self._waiting = asyncio.PriorityQueue()
        self._running = 0
        self._sequence = 0
        self._cancelled = set()
        self._events = []
        self._report = {"running": 0, "waiting": 0, "at": 0.0}
        self._book = book
        self.counters = collections.Counter()

    def routes(self):
        """Return the routes of the engine."""
        return [
            *self._book.routes(),
            web.post("/generate", self.generate),
            web.post("/cancel", self.cancel),
            web.get("/load", self.load),
            web.get("/cache-events", self.cache_events),
            web.post("/kv/export", self.kv_export),
            web.post("/kv/import", self.kv_import),
            web.get("/counts", self.counts),
        ]

    async def generate(self, http):
        """Stream an answer as JSON lines."""
        body = await http.json()
        if not self._book.serving:
            self.counters["refused_calls"] += 1
            return web.json_response({"error": "loading"}, status=429)
        await self._enter(body["priority"])
        try:
            await self._prefill(body)
            return await self._write(http, body)
        finally:
            self._leave()

    async def cancel(self, http):
        """Stop an attempt."""
        body = await http.json()
        self._cancelled.add(body["attempt"])
        self.counters["cancelled"] += 1
        return web.json_response({"cancelled": True})

    async def load(self, _http):
        """Report the load as it was up to a lag ago."""
        now = time.monotonic()
        if now - self._report["at"] > EVENT_LAG_S:
            self._report = {
                "running": self._running,
                "waiting": self._waiting.qsize(),
                "slots": self._slots,
                "at": now,
            }
        report = {
            **self._report,
            "age_s": now - self._report["at"],
            "loaded": self._book.loaded,
        }
        return web.json_response(report)

    async def cache_events(self, http):
        """Report cache changes late, every tenth left out."""
        after = int(http.query.get("after", "0"))
        due = time.monotonic() - EVENT_LAG_S
        events = [
            event
            for event in self._events
            if event["sequence"] > after
            and event["at"] <= due
            and event["sequence"] % 10
        ]
        return web.json_response({"events": events[:1000]})

    async def kv_export(self, http):
        """Hand out a cached prefix."""
        body = await http.json()
        held = body["prefix"] in self._cache
        return web.json_response({"prefix": body["prefix"], "held": held})

    async def kv_import(self, http):
        """Take a cached prefix."""
        body = await http.json()
        self._remember(body["prefix"])
        return web.json_response({"imported": True})

    async def counts(self, _http):
        """Report counters, for tests and the bench."""
        return web.json_response(
            {
                **self.counters,
                "orders": 0,
                **self._book.counters,
                "running": self._running,
            }
        )

    async def _enter(self, priority):
        if self._running < self._slots:
            self._running += 1
            return
        self._sequence += 1
        woken = asyncio.get_running_loop().create_future()
        self._waiting.put_nowait((priority, self._sequence, woken))
        try:
            await woken
        except asyncio.CancelledError:
            # Woken and cancelled at once: the slot would be lost.
            if woken.done() and not woken.cancelled():
                self._leave()
            raise

    def _leave(self):
        while not self._waiting.empty():
            _, _, woken = self._waiting.get_nowait()
            if not woken.done():
                woken.set_result(None)
                return
        self._running -= 1

    async def _prefill(self, body):
        self.counters["served"] += 1
        prefix = body.get("prefix")
        if prefix in self._cache:
            self.counters["prefix_hits"] += 1
            self._cache.move_to_end(prefix)
            return
        await asyncio.sleep(self._prefill_s * self._faults.slow)
        if prefix is not None:
            self._remember(prefix)

    def _remember(self, prefix):
        self._cache[prefix] = True
        self._event("stored", prefix)
        while len(self._cache) > self._cache_size:
            gone, _ = self._cache.popitem(last=False)
            self._event("evicted", gone)

    def _event(self, what, prefix):
        sequence = len(self._events) + 1
        self._events.append(
            {
                "sequence": sequence,
                "what": what,
                "prefix": prefix,
                "at": time.monotonic(),
            }
        )

    async def _write(self, http, body):
        names = services.identity(body)
        answer = web.StreamResponse()
        answer.content_type = "application/x-ndjson"
        await answer.prepare(http)
        faulty = self._faults.draw(STREAM_FAULTS)
        middle = self._tokens // 2
        for offset in range(body.get("offset", 0), self._tokens):
            if body["attempt"] in self._cancelled:
                return answer
            await asyncio.sleep(self._token_s * self._faults.slow)
            token = f"{body['request'][:6]}-{offset} "
            lines = [{**names, "offset": offset, "token": token}]
            if offset == middle and faulty:
                self.counters["faulted"] += 1
                lines = _spoil(lines, names, offset, self._tokens, faulty)
                if lines is None:
                    http.transport.abort()
                    return answer
            for line in lines:
                await answer.write(_encode(line))
            self.counters["tokens"] += 1
            if offset == middle and faulty & ENDINGS:
                return answer
        line = {**names, "offset": self._tokens, "finish": "stop"}
        await answer.write(_encode(line))
        return answer


def _spoil(lines, names, offset, length, faulty):
    """Return the lines that faults make of one; None cuts the stream."""
    if "break_" in faulty:
        return None
    if "skip" in faulty:
        return []
    if "garble" in faulty:
        return [b'{"request": "']
    if "repeat" in faulty:
        lines = [{**lines[0], "offset": offset - 1}, *lines]
    if "stray" in faulty:
        other = {**lines[0], "attempt": "other", "token": "STRAY "}
        lines = [other, *lines]
    if "wrong_finish" in faulty:
        lines = [{**names, "offset": length, "finish": "stop"}]
    return lines


def _encode(line):
    raw = line if isinstance(line, bytes) else msgspec.json.encode(line)
    return raw + b"\n"


@registry.KINDS.register("engine")
def engine(spec, faults):
    """Make an engine."""
    return Engine(
        faults=faults,
        slots=spec.get("slots", 8),
        token_s=spec.get("token_s", 0.002),
        prefill_s=spec.get("prefill_s", 0.01),
        tokens=spec.get("tokens", 16),
        cache=spec.get("cache", 64),
        book=orders.OrderBook(
            checks=spec.get("checks_orders", True),
            load_s=spec.get("load_s", 0.02),
            size=spec.get("weight_bytes", 1000),
            weights=spec.get("weights_address"),
            serves_loading=spec.get("serves_loading", False),
            broken=spec.get("broken", []),
        ),
    )
