"""The forwarding daemon when the store comes back from an older copy."""

import asyncio
import contextlib

import pytest

from standins import platformstore
from testkit import wiredata
from tests.integration import harness

# Transactions that the store loses, besides those of the operator.
LOST_VERSIONS = [2, 41]
APPLY_TIMEOUT_S = 8.0
NEW_URL = "http://{}/added/"


def configuration(version):
    """Return a configuration with one route more than the first."""
    routes = [
        wiredata.route(),
        wiredata.route(name="added", prefix="/added/"),
    ]
    return wiredata.configuration(version, routes=routes)


async def wait_version(instances, version):
    """Wait until the instances have a version of the configuration."""
    async with asyncio.timeout(APPLY_TIMEOUT_S):
        for each in instances:
            while (await each.status())["version"] != version:
                await asyncio.sleep(0.05)


async def wait_leaving(instances, endpoint):
    """Wait until the instances know that an endpoint leaves."""
    async with asyncio.timeout(APPLY_TIMEOUT_S):
        for each in instances:
            while not any(
                line["endpoint"] == endpoint
                for line in each.events("endpoint_leaving")
            ):
                await asyncio.sleep(0.05)


@contextlib.asynccontextmanager
async def restored(store, folder, lost):
    """Run instances that know what the store loses, and come back without it.

    Yields the instances, a client session and the running endpoints.
    """
    store.era = 4
    async with (
        harness.endpoints(
            store, harness.answer_ok, harness.answer_ok
        ) as endpoints,
        harness.serving_in_zones(store, folder) as (instances, session),
    ):
        backup = store.backup()
        for number in range(lost):
            store.put("others", f"row-{number}", {})
        gone = wiredata.beat("127.0.0.1:9", state="draining")
        store.put("servers", "i-gone", gone)
        store.put("op", "config", wiredata.configuration(11))
        await wait_version(instances, 11)
        await wait_leaving(instances, "i-gone")
        store.mood = platformstore.Mood(status=503)
        store.restore(backup)
        await asyncio.sleep(1.0)
        store.mood = platformstore.Mood()
        store.put("op", "config", wiredata.configuration(11))
        yield instances, session, endpoints


@pytest.mark.parametrize("lost", LOST_VERSIONS)
async def test_route_added_after_the_store_came_back_is_served(
    store, tmp_path, lost
):
    """Versions below those of the copies held: no change was taken."""
    async with restored(store, tmp_path, lost) as (instances, session, _):
        await asyncio.sleep(1.0)
        store.put("op", "config", configuration(14))
        await wait_version(instances, 14)
        for each in instances:
            assert (await each.status())["store_era"] == 5
            status, _, _ = await harness.call(session, each, url=NEW_URL)
            assert status == 200


@pytest.mark.parametrize("lost", LOST_VERSIONS)
async def test_endpoint_that_leaves_after_the_store_came_back_gets_no_requests(
    store, tmp_path, lost
):
    """Versions below those of the copies held: the leaving was not taken."""
    async with restored(store, tmp_path, lost) as (
        instances,
        session,
        (leaving, staying),
    ):
        await asyncio.sleep(1.0)
        beat = wiredata.beat(leaving.address, state="draining")
        store.put("servers", "i-0", beat)
        await wait_leaving(instances, "i-0")
        seen = len(leaving.seen)
        for _ in range(8):
            for each in instances:
                await harness.call(session, each)
    assert len(leaving.seen) == seen
    assert len(staying.seen) >= 24


async def test_instance_that_starts_has_the_configuration_in_force(
    store, tmp_path
):
    """It read the older one of the store's copy, and accepted revoked keys.

    The operator has not written the lost configuration again yet.
    """
    store.era = 4
    async with harness.serving_in_zones(store, tmp_path) as (instances, _):
        backup = store.backup()
        store.put("op", "config", configuration(11))
        await wait_version(instances, 11)
        store.restore(backup)
        await instances[0].kill()
        await instances[0].start()
        await instances[0].wait_ready()
        await wait_version(instances[:1], 11)
        store.put("op", "config", wiredata.configuration(12))
        await wait_version(instances, 12)
