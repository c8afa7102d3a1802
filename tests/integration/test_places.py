"""Allowed regions, evacuated zones and cold endpoints, with real instances."""

import asyncio
import time

import pytest

from tests.integration import deployments

# A rejection that does not wait for the deadline, 3 s.
AT_ONCE_S = 0.5
STAGES = [{"service": "first", "after": [], "size_bytes": 8000}]


@pytest.mark.parametrize(
    "regions",
    [
        {"allowed_regions": ["south"]},
        {"team_regions": ["south"]},
        {"allowed_regions": ["south", "north"], "team_regions": ["south"]},
    ],
)
async def test_requests_and_their_pieces_stay_in_allowed_regions(
    store, tmp_path, regions
):
    """Requests of a route that only one region may serve went to all."""
    # A target that a busy machine meets as well: no job is rejected for it.
    route = {"target_latency_ms": 2000, "stages": STAGES, **regions}
    async with deployments.deployment(
        store, tmp_path, stage=True, **route
    ) as running:
        answers = await running.load(2.0, per_s=15, pieces="2", piece_key="k")
    assert {status for status, *_ in answers} == {200}
    assert running.zones_since(0.0).keys() == {"south-a"}


async def test_a_change_of_allowed_regions_holds_in_time(store, tmp_path):
    """An instance went by the regions that were allowed before."""
    async with deployments.deployment(
        store, tmp_path, allowed_regions=["south"]
    ) as running:
        running.configure(3, allowed_regions=["north"])
        changed_at = time.monotonic()
        answers = await running.load(deployments.APPLY_S + 1.0)
    assert {status for status, *_ in answers} == {200}
    assert "south-a" not in running.zones_since(
        changed_at + deployments.APPLY_S
    )


async def test_a_request_that_no_region_may_serve_is_not_invited_again(
    store, tmp_path
):
    """Its caller was told to come again, and again."""
    async with deployments.deployment(
        store, tmp_path, allowed_regions=["south"], team_regions=["north"]
    ) as running:
        status, retry_after, took_s = await running.call(running.instances[0])
    assert (status, retry_after) == (403, None)
    assert took_s < AT_ONCE_S
    assert not running.seen


async def test_nothing_is_sent_to_an_evacuated_zone(store, tmp_path):
    """An instance went on to use the endpoints of an evacuated zone."""
    async with deployments.deployment(store, tmp_path) as running:
        store.put("op", "evacuate/north-a", {})
        evacuated_at = time.monotonic()
        answers = await running.load(deployments.APPLY_S + 1.0)
        zones = running.zones_since(evacuated_at + deployments.APPLY_S)
        status = await running.instances[0].status()
        store.remove("op", "evacuate/north-a")
        restored_at = time.monotonic()
        answers += await running.load(deployments.APPLY_S + 1.0)
    assert {status for status, *_ in answers} == {200}
    assert "north-a" not in zones
    assert status["evacuated_s"].keys() == {"north-a"}
    assert "north-a" in running.zones_since(restored_at + deployments.APPLY_S)


@pytest.mark.parametrize(
    ("evacuated", "regions"),
    [(deployments.REGIONS, []), (["south-a"], ["south"])],
)
async def test_requests_are_rejected_at_once_if_their_zones_are_evacuated(
    store, tmp_path, evacuated, regions
):
    """Callers waited for endpoints that nothing may be sent to."""
    async with deployments.deployment(
        store, tmp_path, stage=True, stages=STAGES, allowed_regions=regions
    ) as running:
        for zone in evacuated:
            store.put("op", f"evacuate/{zone}", {})
        await asyncio.sleep(deployments.APPLY_S)
        answers = await running.load(1.0, pieces="2", piece_key="k")
    assert {status for status, *_ in answers} == {503}
    assert all(float(after) >= AT_ONCE_S for _, after, _ in answers)
    assert max(took_s for *_, took_s in answers) < AT_ONCE_S
    assert not running.seen


async def test_an_evacuation_reaches_an_instance_that_starts_later(
    store, tmp_path
):
    """A restarted instance used a zone that was evacuated before."""
    async with deployments.deployment(store, tmp_path) as running:
        store.put("op", "evacuate/north-a", {})
        await asyncio.sleep(deployments.APPLY_S)
        restarted = running.instances[0]
        await restarted.kill()
        await restarted.start()
        await restarted.wait_ready()
        since = time.monotonic()
        for _ in range(10):
            await running.call(restarted)
    assert "north-a" not in running.zones_since(since)


async def test_a_cold_endpoint_gets_no_more_than_its_rate(store, tmp_path):
    """Endpoints that came back cold got the load of warm ones, and crashed."""
    async with deployments.deployment(store, tmp_path) as running:
        endpoint = running.endpoints[0]
        running.register("i-1", endpoint, "north-a", "desk", cold_ms=60000)
        await asyncio.sleep(deployments.APPLY_S)
        since = time.monotonic()
        answers = await running.load(4.0, per_s=45)
    assert {status for status, *_ in answers} == {200}
    times = [at for at, zone, _ in running.seen if zone == "north-a"]
    times = [at for at in times if at >= since]
    most = max(sum(a <= at < a + 1.0 for at in times) for a in times)
    assert (
        most
        <= 2.0 * deployments.SETTINGS["cold_overrun"]
        + deployments.SETTINGS["cold_tolerance"]
    )
