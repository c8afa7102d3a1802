"""Instances know what all of them have at engines."""

import asyncio
import contextlib
import re

from standins import scripted
from testkit import wiredata
from tests.integration import harness

SETTLED_S = 10.0
_GAUGE = re.compile(r"^sycamoreshed_gateway_engine_requests (\S+)$", re.M)


async def _requests_at_engines(session, instance):
    """Return the requests of all instances, as far as one of them knows."""
    url = f"http://{instance.control}/metrics"
    async with session.get(url) as answer:
        return float(_GAUGE.search(await answer.text())[1])


async def _until_known(session, instances, count):
    """Wait until instances know of a number of requests at engines."""
    async with asyncio.timeout(SETTLED_S):
        for each in instances:
            while await _requests_at_engines(session, each) != count:
                await asyncio.sleep(0.05)


@contextlib.asynccontextmanager
async def _deployment(store, folder, released, **settings):
    """Run three instances before an engine that answers once released."""

    def script(_seen):
        while not released.is_set():
            yield 0.02
        yield scripted.answer(200, b"whole", **{harness.SEAL: "proof"})

    service = wiredata.service(engine={"slots": 8, "kv_capacity": 9000})
    route = wiredata.route(timeout_ms=30_000, max_attempts=1)
    store.put(
        "op",
        "config",
        wiredata.configuration(2, routes=[route], services=[service]),
    )
    async with harness.endpoints(store, script):
        async with harness.serving_in_zones(store, folder, **settings) as each:
            yield each


def _send(session, instance, name):
    headers = wiredata.head(name, deadline_ms="30000")
    return asyncio.create_task(
        harness.call(session, instance, headers=headers)
    )


async def test_instances_of_all_zones_count_each_others_requests(
    store, tmp_path
):
    """Instances that died left counts, or the others never had them."""
    released = asyncio.Event()
    async with _deployment(store, tmp_path, released) as (instances, session):
        calls = [
            _send(session, each, f"r-{number}-{again}")
            for number, each in enumerate(instances)
            for again in range(2)
        ]
        await _until_known(session, instances, 6)
        await instances[0].kill()
        await _until_known(session, instances[1:], 4)
        released.set()
        await asyncio.wait(calls)
        await _until_known(session, instances[1:], 0)
        status = await instances[1].status()
    assert status["engine_load_collector"] == "edge-1"
    assert [call.result()[0] for call in calls[2:]] == [200] * 4
    for each in instances:
        assert not each.events("engine_load_bad")


async def test_sharing_can_be_switched_off(store, tmp_path):
    """An instance told its load though it was switched off."""
    released = asyncio.Event()
    async with _deployment(
        store, tmp_path, released, share_engine_load=False
    ) as (instances, session):
        calls = [_send(session, each, each.public) for each in instances]
        await _until_known(session, instances, 1)
        released.set()
        await asyncio.wait(calls)
        await _until_known(session, instances, 0)
    assert [call.result()[0] for call in calls] == [200] * 3
