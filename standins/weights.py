"""Stand-in for the rate-limited weight store."""

import asyncio
import time

from aiohttp import web

from standins import registry

__all__ = ["WeightStore"]


class WeightStore:
    """Simulates transfers of weights at a rate shared by all callers.

    Parameters
    ----------
    rate : float
        Total bytes per second.
    """

    def __init__(self, *, rate):
        self._rate = rate
        self._free_at = 0.0
        self._running = 0
        self.loads = 0
        self.bytes = 0.0
        self.max_running = 0
        self.max_wait_s = 0.0

    def routes(self):
        """Return the routes of the service."""
        return [
            web.get("/weights/{model}/{version}", self.get),
            web.get("/counts", self.counts),
        ]

    async def get(self, http):
        """Answer after the time that the transfer would take."""
        size = float(http.query.get("size", "1000"))
        now = time.monotonic()
        start = max(now, self._free_at)
        self._free_at = start + size / self._rate
        self.loads += 1
        self.bytes += size
        self._running += 1
        self.max_running = max(self.max_running, self._running)
        self.max_wait_s = max(self.max_wait_s, self._free_at - now)
        try:
            await asyncio.sleep(self._free_at - now)
        finally:
            self._running -= 1
        return web.json_response({"size": size})

    async def counts(self, _http):
        """Answer with loads, bytes, peak concurrency and longest wait."""
        return web.json_response(
            {
                "loads": self.loads,
                "bytes": self.bytes,
                "most": self.max_running,
                "worst_s": self.max_wait_s,
            }
        )


@registry.KINDS.register("weights")
def weights(spec, faults):
    """Create a weight store."""
    return WeightStore(rate=spec.get("rate", 1e6))
