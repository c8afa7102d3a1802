"""Stand-in for the platform's eventually consistent instance list."""

import collections
import time

from aiohttp import web

from standins import registry

__all__ = ["LaggingList"]


class LaggingList:
    """Instance list that shows each change only after a lag.

    Parameters
    ----------
    lag_s : float
        Seconds until a change becomes visible.
    """

    def __init__(self, *, lag_s):
        self._lag_s = lag_s
        self._visible = []
        self._pending = collections.deque()

    def routes(self):
        """Return the routes of the service."""
        return [
            web.get("/instances", self.get),
            web.put("/instances", self.put),
        ]

    async def get(self, _http):
        """Answer with the list as it was `lag_s` ago."""
        now = time.monotonic()
        while self._pending and self._pending[0][0] <= now:
            self._visible = self._pending.popleft()[1]
        return web.json_response({"instances": self._visible})

    async def put(self, http):
        """Replace the list."""
        body = await http.json()
        visible_at = time.monotonic() + self._lag_s
        self._pending.append((visible_at, body["instances"]))
        return web.json_response({"pending": len(self._pending)})


@registry.KINDS.register("instances")
def instances(spec, faults):
    """Create a lagging list."""
    return LaggingList(lag_s=spec.get("lag_s", 0.0))
