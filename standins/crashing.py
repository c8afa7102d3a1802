"""Endpoints of one service that start again some time after a crash."""

import asyncio

from standins import scripted

__all__ = ["Fleet"]


class Fleet:
    """Keeps a number of scripted endpoints registered in a store.

    An endpoint that crashed loses its entry, and starts again under another
    id, after `restart_s`.

    Parameters
    ----------
    store : PlatformStore
    zones : sequence of str
        Zone of each endpoint.
    script : callable
        See `scripted.Endpoint`.
    entry : callable
        Takes an address and a zone, returns an endpoint's entry.
    restart_s : float

    Attributes
    ----------
    crashes : int
    seen : list of ReceivedRequest
        Requests that endpoints received, of all that ever ran.
    """

    def __init__(self, *, store, zones, script, entry, restart_s=0.5):
        self._store = store
        self._zones = zones
        self._script = script
        self._entry = entry
        self._restart_s = restart_s
        self._running = {}
        self._tasks = set()
        self._started = 0
        self.crashes = 0
        self.seen = []

    async def start(self):
        """Start and register all endpoints."""
        for zone in self._zones:
            await self._start_one(zone)

    async def stop(self):
        """Stop all endpoints."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for endpoint in self._running:
            await endpoint.stop()

    async def _start_one(self, zone):
        endpoint = scripted.Endpoint(self._recorded, on_crash=self._crashed)
        await endpoint.start()
        name = f"i-{self._started}"
        self._started += 1
        self._running[endpoint] = name, zone
        self._store.put("servers", name, self._entry(endpoint.address, zone))

    def _recorded(self, received):
        self.seen.append(received)
        return self._script(received)

    def _crashed(self, endpoint):
        self.crashes += 1
        name, zone = self._running.pop(endpoint)
        task = asyncio.create_task(self._restart(name, zone))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _restart(self, name, zone):
        await asyncio.sleep(self._restart_s)
        self._store.remove("servers", name)
        await self._start_one(zone)
