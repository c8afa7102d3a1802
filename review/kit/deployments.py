"""A small deployment: processes in three zones, the store, and links."""

import asyncio

from review.kit import network
from review.kit import processes
from standins import platformstore
from testkit import wiredata

__all__ = ["REGIONS", "SERVICE", "ZONES", "Deployment", "configuration"]

ZONES = {
    "edge-1": "north-a",
    "edge-2": "south-a",
    "edge-3": "east-a",
}
REGIONS = {"north-a": "north", "south-a": "south", "east-a": "east"}
SERVICE = "writer"
PREFIX = "/notes/"
START_S = 20.0


def configuration(**route):
    """Return the operator's configuration: one route of streams.

    Parameters
    ----------
    **route
        Changes to the route.
    """
    document = wiredata.route(
        name="notes",
        prefix=PREFIX,
        route_kind="streaming",
        service=SERVICE,
        sticky=True,
        **route,
    )
    service = wiredata.service(
        SERVICE,
        max_connections=370,
        engine={"slots": 64, "kv_capacity": 454255},
    )
    return wiredata.configuration(3, routes=[document], services=[service])


def _settings(name, links, store_link):
    """Return the settings of a process, as the template writes them."""
    return wiredata.settings(
        instance=name,
        zone=ZONES[name],
        region=REGIONS[ZONES[name]],
        zones=REGIONS,
        public=processes.free_address(),
        ready=processes.free_address(),
        control=processes.free_address(),
        table=store_link.address,
        peers=[each.address for each in links.values()],
        grace_s=8,
        stable_ms=4000,
        apply_ms=2500,
        max_descriptors=4100,
        memory_mb=300,
        core_share=0.537,
        core_speed=2,
        retry_ratio=0.2,
        retry_slack=58,
        retry_window_s=10,
    )


class Deployment:
    """Three processes, the store, and the links between them.

    Parameters
    ----------
    folder : pathlib.Path
    """

    def __init__(self, folder):
        self.store = platformstore.PlatformStore()
        self.running = {}
        self._folder = folder
        self._links = {}
        self._store_links = {}

    async def start(self):
        """Start the store, the links and the processes."""
        await self.store.start()
        controls = {}
        for name in ZONES:
            links = {
                other: network.PeerLink() for other in ZONES if other != name
            }
            for link in links.values():
                await link.start()
            store_link = network.StoreLink(
                store=self.store.address, links=links
            )
            await store_link.start()
            self._links[name] = links
            self._store_links[name] = store_link
            document = _settings(name, links, store_link)
            controls[name] = document["control"]
            self.running[name] = processes.Process(
                folder=self._folder, document=document
            )
        for links in self._links.values():
            for other, link in links.items():
                link.target = controls[other]
        for each in self.running.values():
            await each.start()

    async def wait_known(self, session):
        """Wait until all processes are ready and have registered."""
        await processes.wait_ready(self.running.values(), session)
        async with asyncio.timeout(START_S):
            while len(self.store.rows(network.INSTANCE_TABLE)) < len(ZONES):
                await asyncio.sleep(0.1)

    def cut(self, name):
        """Cut one process off from the store and from all others."""
        self._store_links[name].cut()
        for link in self._links[name].values():
            link.cut()
        for other, links in self._links.items():
            if other != name:
                links[name].cut()

    async def stop(self):
        """End all processes and stand-ins."""
        for each in self.running.values():
            await each.end()
        for link in self._store_links.values():
            await link.stop()
        for links in self._links.values():
            for link in links.values():
                await link.stop()
        await self.store.stop()
