"""Load orders and simulated model loading of a stand-in engine."""

import asyncio
import collections
import time

import aiohttp
from aiohttp import web

__all__ = ["OrderBook"]


class OrderBook:
    """The loaded model of an engine, and the load orders it received.

    Parameters
    ----------
    checks : bool
        Whether orders with an outdated fencing token are refused.
    load_s : float
        Seconds of a load in addition to the weight transfer.
    size : float
        Bytes of weights per load.
    weights : str or None
        Address of the weight store.
    serves_loading : bool
        Whether calls are accepted during a load.
    broken : list of str
        Versions that fail to load.
    """

    def __init__(
        self, *, checks, load_s, size, weights, serves_loading, broken
    ):
        self._checks_fence = checks
        self._load_s = load_s
        self._size = size
        self._weights = weights
        self._serves_loading = serves_loading
        self._broken_versions = broken
        self._loaded = None
        self._loading = None
        self._load_task = None
        self._fence = 0
        self._config = 0
        self._history = []
        self._accepted_orders = []
        self.counters = collections.Counter()
        self._record_history()

    @property
    def serving(self):
        """Whether calls are accepted; always true before the first order."""
        if not self._fence:
            return True
        if self._loading is not None and not self._serves_loading:
            return False
        return self._loaded is not None

    @property
    def loaded(self):
        """The loaded target, or None."""
        return self._loaded

    def routes(self):
        """Return the routes for orders and state."""
        return [
            web.get("/state", self.state),
            web.post("/orders", self.order),
            web.get("/history", self.history),
        ]

    async def state(self, _http):
        """Report what is loaded and loading."""
        self.counters["looks"] += 1
        return web.json_response(self._state())

    async def order(self, http):
        """Apply an order; refuse an outdated one if fences are checked."""
        body = await http.json()
        stale = body["fence"] < self._fence
        self.counters["stale_orders"] += stale
        if self._checks_fence and stale:
            self.counters["refused_orders"] += 1
            return web.json_response({"fence": self._fence}, status=409)
        self._fence = max(self._fence, body["fence"])
        self._config = body["config"]
        self._accepted_orders.append(body)
        self.counters["orders"] += 1
        self._set_target(body["target"])
        return web.json_response(self._state())

    async def history(self, _http):
        """Report the history of loaded versions, and the orders applied.

        Each entry has the time, whether calls were accepted, and the
        loaded version.  Times are comparable between stand-ins of the
        same process.
        """
        return web.json_response(
            {"history": self._history, "orders": self._accepted_orders}
        )

    def _state(self):
        return {
            "loaded": self._loaded,
            "loading": self._loading,
            "serving": self.serving,
            "fence": self._fence,
            "config": self._config,
        }

    def _set_target(self, target):
        if target == self._loading and target is not None:
            return
        if self._load_task is not None:
            self._load_task.cancel()
            self._load_task = None
            self._loading = None
        if target is None or self._differs_only_in_adapters(target):
            self._loaded = target
        elif target != self._loaded:
            self._loading = target
            self._load_task = asyncio.create_task(self._run_load(target))
        self._record_history()

    def _differs_only_in_adapters(self, target):
        loaded = self._loaded
        return loaded is not None and all(
            loaded[name] == target[name] for name in ("model", "version")
        )

    async def _run_load(self, target):
        self.counters["loads"] += 1
        await asyncio.sleep(self._load_s)
        if self._weights is not None:
            await self._fetch(target)
        self._loading = None
        if target["version"] not in self._broken_versions:
            self._loaded = target
        else:
            self._loaded = None
        self._record_history()

    async def _fetch(self, target):
        path = f"/weights/{target['model']}/{target['version']}"
        url = f"http://{self._weights}{path}?size={self._size}"
        async with (
            aiohttp.ClientSession() as session,
            session.get(url) as answer,
        ):
            await answer.read()

    def _record_history(self):
        version = self._loaded["version"] if self._loaded else None
        self._history.append([time.monotonic(), self.serving, version])
