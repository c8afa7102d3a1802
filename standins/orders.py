"""How the stand-in of an engine takes orders and loads models."""

import asyncio
import collections
import time

import aiohttp
from aiohttp import web

__all__ = ["OrderBook"]


class OrderBook:
    """What an engine has loaded, and the orders it was given.

    Parameters
    ----------
    checks : bool
        Whether orders with an old fencing number are refused.
    load_s : float
        Seconds of a load beside the weight store's.
    size : float
        Bytes of a load.
    weights : str or None
        Address of the weight store.
    serves_loading : bool
        Whether calls are taken during a load.
    broken : list of str
        Versions that do not load.
    """

    def __init__(
        self, *, checks, load_s, size, weights, serves_loading, broken
    ):
        self._checks = checks
        self._load_s = load_s
        self._size = size
        self._weights = weights
        self._serves_loading = serves_loading
        self._broken = broken
        self._loaded = None
        self._loading = None
        self._load = None
        self._fence = 0
        self._config = 0
        self._history = []
        self._taken = []
        self.counters = collections.Counter()
        self._note()

    @property
    def serving(self):
        """Whether calls are taken; always before the first order."""
        if not self._fence:
            return True
        if self._loading is not None and not self._serves_loading:
            return False
        return self._loaded is not None

    @property
    def loaded(self):
        """What is loaded, or None."""
        return self._loaded

    def routes(self):
        """Return the routes of orders."""
        return [
            web.get("/state", self.state),
            web.post("/orders", self.order),
            web.get("/history", self.history),
        ]

    async def state(self, _http):
        """Report what is loaded."""
        self.counters["looks"] += 1
        return web.json_response(self._state())

    async def order(self, http):
        """Take an order; an engine that does not check takes any."""
        body = await http.json()
        stale = body["fence"] < self._fence
        self.counters["stale_orders"] += stale
        if self._checks and stale:
            self.counters["refused_orders"] += 1
            return web.json_response({"fence": self._fence}, status=409)
        self._fence = max(self._fence, body["fence"])
        self._config = body["config"]
        self._taken.append(body)
        self.counters["orders"] += 1
        self._head_for(body["target"])
        return web.json_response(self._state())

    async def history(self, _http):
        """Report what was loaded and serving since when, and the orders.

        Each entry has the time, whether calls were taken, and the
        version; times of one process of stand-ins can be compared.
        """
        return web.json_response(
            {"history": self._history, "orders": self._taken}
        )

    def _state(self):
        return {
            "loaded": self._loaded,
            "loading": self._loading,
            "serving": self.serving,
            "fence": self._fence,
            "config": self._config,
        }

    def _head_for(self, target):
        if target == self._loading and target is not None:
            return
        if self._load is not None:
            self._load.cancel()
            self._load = None
            self._loading = None
        if target is None or self._only_adapters(target):
            self._loaded = target
        elif target != self._loaded:
            self._loading = target
            self._load = asyncio.create_task(self._run_load(target))
        self._note()

    def _only_adapters(self, target):
        held = self._loaded
        return held is not None and all(
            held[name] == target[name] for name in ("model", "version")
        )

    async def _run_load(self, target):
        self.counters["loads"] += 1
        await asyncio.sleep(self._load_s)
        if self._weights is not None:
            await self._fetch(target)
        self._loading = None
        if target["version"] not in self._broken:
            self._loaded = target
        else:
            self._loaded = None
        self._note()

    async def _fetch(self, target):
        path = f"/weights/{target['model']}/{target['version']}"
        url = f"http://{self._weights}{path}?size={self._size}"
        async with (
            aiohttp.ClientSession() as session,
            session.get(url) as answer,
        ):
            await answer.read()

    def _note(self):
        version = self._loaded["version"] if self._loaded else None
        self._history.append([time.monotonic(), self.serving, version])
