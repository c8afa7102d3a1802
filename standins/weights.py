"""Stand-in for the rate-limited weight store."""

import asyncio
import time

from aiohttp import web

from standins import registry

__all__ = ["WeightStore"]


class WeightStore:
    """Hands out weights, so many bytes a second for everybody.

    Parameters
    ----------
    rate : float
        Bytes a second.
    """

    def __init__(self, *, rate):
        self._rate = rate
        self._free_at = 0.0
        self.loads = 0

    def routes(self):
        """Return the routes of the service."""
        return [
            web.get("/weights/{model}/{version}", self.get),
            web.get("/counts", self.counts),
        ]

    async def get(self, http):
        """Answer once the bytes would have come."""
        size = float(http.query.get("size", "1000"))
        now = time.monotonic()
        start = max(now, self._free_at)
        self._free_at = start + size / self._rate
        self.loads += 1
        await asyncio.sleep(self._free_at - now)
        return web.json_response({"size": size})

    async def counts(self, _http):
        """Answer with how many loads there were."""
        return web.json_response({"loads": self.loads})


@registry.KINDS.register("weights")
def weights(spec, faults):
    """Make a weight store."""
    return WeightStore(rate=spec.get("rate", 1e6))
