"""A deployment of three zones in two regions, with scripted endpoints."""

import asyncio
import collections
import contextlib
import itertools
import time

import aiohttp

from standins import scripted
from testkit import gateways
from testkit import wiredata
from tests.integration import harness

__all__ = ["APPLY_S", "REGIONS", "SETTINGS", "Deployment", "deployment"]

REGIONS = {"north-a": "north", "north-b": "north", "south-a": "south"}
# After which a change of operators has to hold at all instances.
APPLY_S = 2.5
SETTINGS = {
    "zones": REGIONS,
    "apply_ms": 2500,
    "evacuate_ms": 2500,
    "cold_overrun": 1.5,
    "cold_tolerance": 5,
}
START_TIMEOUT_S = 15.0
_request_ids = itertools.count()


class Deployment:
    """An instance and endpoints in each zone, and a caller of all of them.

    Attributes
    ----------
    seen : list of (float, str, str)
        Time, zone and service of each request or call with pieces that an
        endpoint received.
    """

    def __init__(self, store, instances, session):
        self._session = session
        self.store = store
        self.instances = instances
        self.seen = []
        self.endpoints = []

    async def start_endpoint(self, zone, service, script, **entry):
        """Start an endpoint and register it; return its id."""

        def recorded(request):
            if request.target != "/v1/stage-free":
                self.seen.append((time.monotonic(), zone, service))
            yield from script(request)

        endpoint = scripted.Endpoint(recorded)
        await endpoint.start()
        self.endpoints.append(endpoint)
        key = f"i-{len(self.endpoints)}"
        self.register(key, endpoint, zone, service, **entry)
        return key, endpoint

    def register(self, key, endpoint, zone, service, **entry):
        """Write an endpoint's entry."""
        entry = wiredata.beat(
            endpoint.address, zone=zone, service=service, **entry
        )
        self.store.put("servers", key, entry)

    def configure(self, version, **route):
        """Write a configuration with changes to its route."""
        team = {
            "name": "team-a",
            "api_keys": [wiredata.KEY],
            "allowed_regions": route.pop("team_regions", []),
        }
        service = wiredata.service(cold_start_s=0.0, cold_per_s=2.0)
        self.store.put(
            "op",
            "config",
            wiredata.configuration(
                version,
                routes=[wiredata.route(**route)],
                services=[service, wiredata.piece_service("first")],
                tenants=[team],
            ),
        )

    async def call(self, instance, *, method="GET", **head):
        """Send a request; return status, `Retry-After` and seconds."""
        started_at = time.monotonic()
        status, headers, _ = await harness.call(
            self._session,
            instance,
            method,
            headers=wiredata.head(f"r-{next(_request_ids)}", **head),
        )
        took_s = time.monotonic() - started_at
        return status, headers.get("Retry-After"), took_s

    async def load(self, seconds, *, per_s=30, **head):
        """Send requests to all instances in turn; return their results."""
        tasks = []
        for number in range(int(seconds * per_s)):
            instance = self.instances[number % len(self.instances)]
            tasks.append(asyncio.create_task(self.call(instance, **head)))
            await asyncio.sleep(1 / per_s)
        return await asyncio.gather(*tasks)

    def zones_since(self, at):
        """Return how much each zone's endpoints received since a time."""
        return collections.Counter(
            zone for seen_at, zone, _ in self.seen if seen_at >= at
        )


@contextlib.asynccontextmanager
async def deployment(
    store, folder, *, stage=False, program=gateways.PROGRAM, **route
):
    """Run an instance and an endpoint in each zone."""
    documents = [
        {
            "instance": f"edge-{zone}",
            "zone": zone,
            "region": region,
            "table": store.address,
            **SETTINGS,
        }
        for zone, region in REGIONS.items()
    ]
    async with (
        gateways.gateways(folder, documents, program=program) as instances,
        aiohttp.ClientSession() as session,
    ):
        running = Deployment(store, instances, session)
        running.configure(2, **route)
        for zone in REGIONS:
            await running.start_endpoint(zone, "desk", harness.answer_ok)
            if stage:
                script = harness.pieces_script(
                    lambda item: {"handle": f"h/{item['id']}"}
                )
                await running.start_endpoint(zone, "first", script)
        for each in instances:
            await each.wait_ready()
        async with asyncio.timeout(START_TIMEOUT_S):
            for each in instances:
                while len((await each.status())["peers"]) < len(REGIONS):
                    await asyncio.sleep(0.05)
        yield running
    for each in running.endpoints:
        await each.stop()
