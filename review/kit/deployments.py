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
# One way, between regions.
REGION_DELAY_S = 0.02


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


def _delay_s(zone, other):
    return 0.0 if REGIONS[zone] == REGIONS[other] else REGION_DELAY_S


def _settings(name, zone, links, store_link, addresses):
    """Return the settings of a process, as the template writes them."""
    return wiredata.settings(
        instance=name,
        zone=zone,
        region=REGIONS[zone],
        zones=REGIONS,
        public=addresses.take(),
        ready=addresses.take(),
        control=addresses.take(),
        table=store_link.address,
        peers=[each.address for each in links.values()][:3],
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
    """Processes, the store, and the links between all of them.

    Parameters
    ----------
    folder : pathlib.Path
    zones : dict of str to str
        Zone of each process, by its name.
    """

    def __init__(self, folder, zones=ZONES):
        self.store = platformstore.PlatformStore()
        self.running = {}
        self.zones = zones
        self._folder = folder
        self._addresses = processes.Addresses()
        self._links = {}
        self._store_links = {}

    async def start(self):
        """Start the store, the links and the processes."""
        await self.store.start()
        controls = {}
        for name, zone in self.zones.items():
            delays = {each: _delay_s(zone, each) for each in REGIONS}
            links = {
                other: network.Link(delay_s=delays[self.zones[other]])
                for other in self.zones
                if other != name
            }
            for link in links.values():
                await link.start()
            store_link = network.StoreLink(
                store=self.store.address, links=links, zone_delays=delays
            )
            await store_link.start()
            self._links[name] = links
            self._store_links[name] = store_link
            document = _settings(
                name, zone, links, store_link, self._addresses
            )
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
            while len(self.store.rows(network.INSTANCE_TABLE)) < len(
                self.zones
            ):
                await asyncio.sleep(0.1)

    def cut(self, name):
        """Cut one process off from the store and from all others."""
        self._store_links[name].cut()
        for link in self._links[name].values():
            link.cut()
        for other, links in self._links.items():
            if other != name:
                links[name].cut()

    async def close_engine(self, engine):
        """Refuse connections to an engine that is gone, on all links."""
        for link in self._store_links.values():
            await link.close_engine(engine.address)

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
        self._addresses.close()
