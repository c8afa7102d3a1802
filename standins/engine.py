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

REPORT_LAG_S = 0.5
ENDING_FAULTS = {"no_finish", "wrong_finish"}
STREAM_FAULTS = ("break_", "skip", "garble", "repeat", "stray", *ENDING_FAULTS)


class Engine:
    """Streams tokens with limited concurrency and a prefix cache.

    Parameters
    ----------
    faults : Faults
    slots : int
        Maximum concurrent streams; others queue by priority.
    token_s : float
        Seconds for each token.
    prefill_s : float
        Seconds before the first token when the prefix is not cached.
    tokens : int
        Number of tokens in an answer.
    cache : int
        Maximum number of cached prefixes.
    book : OrderBook
        Handles load orders and tracks the loaded model.
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
        self._load_report = {"running": 0, "waiting": 0, "at": 0.0}
        self._order_book = book
        self.counters = collections.Counter()

    def routes(self):
        """Return the routes of the engine."""
        return [
            *self._order_book.routes(),
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
        if not self._order_book.serving:
            self.counters["refused_calls"] += 1
            return web.json_response({"error": "loading"}, status=429)
        await self._acquire_slot(body["priority"])
        try:
            await self._prefill(body)
            return await self._stream_tokens(http, body)
        finally:
            self._release_slot()

    async def cancel(self, http):
        """Cancel an attempt; its stream checks this before each token."""
        body = await http.json()
        self._cancelled.add(body["attempt"])
        self.counters["cancelled"] += 1
        return web.json_response({"cancelled": True})

    async def load(self, _http):
        """Report the load from a snapshot up to `REPORT_LAG_S` old."""
        now = time.monotonic()
        if now - self._load_report["at"] > REPORT_LAG_S:
            self._load_report = {
                "running": self._running,
                "waiting": self._waiting.qsize(),
                "slots": self._slots,
                "at": now,
            }
        report = {
            **self._load_report,
            "age_s": now - self._load_report["at"],
            "loaded": self._order_book.loaded,
        }
        return web.json_response(report)

    async def cache_events(self, http):
        """Report cache changes with a lag, omitting every tenth."""
        after = int(http.query.get("after", "0"))
        visible_at = time.monotonic() - REPORT_LAG_S
        events = [
            event
            for event in self._events
            if event["sequence"] > after
            and event["at"] <= visible_at
            and event["sequence"] % 10
        ]
        return web.json_response({"events": events[:1000]})

    async def kv_export(self, http):
        """Simulate an export; report whether the prefix is cached."""
        body = await http.json()
        is_cached = body["prefix"] in self._cache
        return web.json_response({"prefix": body["prefix"], "held": is_cached})

    async def kv_import(self, http):
        """Simulate an import; add the prefix to the cache."""
        body = await http.json()
        self._cache_prefix(body["prefix"])
        return web.json_response({"imported": True})

    async def counts(self, _http):
        """Report counters, for tests and benchmarks."""
        return web.json_response(
            {
                **self.counters,
                "orders": 0,
                **self._order_book.counters,
                "running": self._running,
            }
        )

    async def _acquire_slot(self, priority):
        if self._running < self._slots:
            self._running += 1
            return
        self._sequence += 1
        slot_granted = asyncio.get_running_loop().create_future()
        self._waiting.put_nowait((priority, self._sequence, slot_granted))
        try:
            await slot_granted
        except asyncio.CancelledError:
            # The slot was granted before the cancellation arrived; pass it
            # on, or it would leak.
            if slot_granted.done() and not slot_granted.cancelled():
                self._release_slot()
            raise

    def _release_slot(self):
        while not self._waiting.empty():
            _, _, slot_granted = self._waiting.get_nowait()
            if not slot_granted.done():
                slot_granted.set_result(None)
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
            self._cache_prefix(prefix)

    def _cache_prefix(self, prefix):
        self._cache[prefix] = True
        self._record_event("stored", prefix)
        while len(self._cache) > self._cache_size:
            evicted, _ = self._cache.popitem(last=False)
            self._record_event("evicted", evicted)

    def _record_event(self, change, prefix):
        sequence = len(self._events) + 1
        self._events.append(
            {
                "sequence": sequence,
                "what": change,
                "prefix": prefix,
                "at": time.monotonic(),
            }
        )

    async def _stream_tokens(self, http, body):
        identity = services.identity(body)
        answer = web.StreamResponse()
        answer.content_type = "application/x-ndjson"
        await answer.prepare(http)
        active_faults = self._faults.draw(STREAM_FAULTS)
        middle = self._tokens // 2
        for offset in range(body.get("offset", 0), self._tokens):
            if body["attempt"] in self._cancelled:
                return answer
            await asyncio.sleep(self._token_s * self._faults.slow)
            token = f"{body['request'][:6]}-{offset} "
            lines = [{**identity, "offset": offset, "token": token}]
            if offset == middle and active_faults:
                self.counters["faulted"] += 1
                lines = _apply_faults(
                    lines, identity, offset, self._tokens, active_faults
                )
                if lines is None:
                    http.transport.abort()
                    return answer
            for line in lines:
                await answer.write(_encode(line))
            self.counters["tokens"] += 1
            if offset == middle and active_faults & ENDING_FAULTS:
                return answer
        line = {**identity, "offset": self._tokens, "finish": "stop"}
        await answer.write(_encode(line))
        return answer


def _apply_faults(lines, identity, offset, length, active_faults):
    """Return the faulty lines to send; None closes the connection."""
    if "break_" in active_faults:
        return None
    if "skip" in active_faults:
        return []
    if "garble" in active_faults:
        return [b'{"request": "']
    if "repeat" in active_faults:
        lines = [{**lines[0], "offset": offset - 1}, *lines]
    if "stray" in active_faults:
        other = {**lines[0], "attempt": "other", "token": "STRAY "}
        lines = [other, *lines]
    if "wrong_finish" in active_faults:
        lines = [{**identity, "offset": length, "finish": "stop"}]
    return lines


def _encode(line):
    raw = line if isinstance(line, bytes) else msgspec.json.encode(line)
    return raw + b"\n"


@registry.KINDS.register("engine")
def engine(spec, faults):
    """Create an engine."""
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
