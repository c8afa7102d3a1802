"""A request that crashes each endpoint that begins to run it."""

import asyncio
import contextlib
import itertools

import aiohttp

from standins import crashing
from standins import platformstore
from standins import scripted
from testkit import wiredata
from tests.integration import harness

POISON = b"poison"
# Crashes that reveal a request, and the retries that the service allows its
# callers after them.
MAX_RUNS = 3 + 3
RUN_S = 0.05
REPETITIONS = 16
# Within which what a crash tells is in the store.
STORED_S = 1.0

_request_ids = itertools.count()


def script(received):
    """Crash under the poisonous request, and answer all others."""
    yield RUN_S
    if received.body == POISON:
        yield scripted.CRASH
        return
    yield scripted.stream_head(**{harness.SEAL: "proof"})
    yield harness.event(0)


@contextlib.asynccontextmanager
async def system(store, folder, *, engines=6):
    """Run instances in two zones before endpoints that may crash.

    Yields the instances, a client session and the endpoints.
    """
    route = {"resumable": True, "max_attempts": 3}
    store.put("op", "config", harness.stream_route(**route))
    fleet = crashing.Fleet(
        store=store,
        zones=[
            harness.ZONES[number % len(harness.ZONES)]
            for number in range(engines)
        ],
        script=script,
        entry=lambda address, zone: wiredata.beat(address, zone=zone),
    )
    await fleet.start()
    document = {"retry_slack": 1000.0}
    async with harness.serving_in_zones(store, folder, **document) as running:
        instances, session = running
        yield instances, session, fleet
    await fleet.stop()


async def send(session, instance, body):
    """Send a request under a new id; return its status and headers."""
    headers = wiredata.head(f"r-{next(_request_ids)}")
    status, answer_headers, _ = await harness.call(
        session, instance, "POST", headers=headers, data=body
    )
    return status, answer_headers


async def send_repeatedly(session, instances):
    """Send the poisonous request to each instance in turn."""
    for number in range(REPETITIONS):
        instance = instances[number % len(instances)]
        status, headers = await send(session, instance, POISON)
        # Endpoints that crashed start again meanwhile.
        await asyncio.sleep(0.3)
    return status, headers


async def restart_all(instances):
    """Kill all instances, and start them again."""
    for each in instances:
        await each.kill()
    for each in instances:
        await each.start()
    for each in instances:
        await each.wait_ready()


def runs(fleet):
    """Return how often an endpoint received the poisonous request."""
    return sum(each.body == POISON for each in fleet.seen)


async def test_repeated_request_does_not_crash_endpoints_without_end(
    store, tmp_path
):
    """Each instance sent the repetitions of a request that crashes."""
    async with system(store, tmp_path) as (instances, session, fleet):
        status, headers = await send_repeatedly(session, instances)
        assert runs(fleet) <= MAX_RUNS
        assert status == 503
        assert float(headers["Retry-After"]) > 60
        for each in instances:
            assert (await send(session, each, b"note"))[0] == 200


async def test_crashing_request_is_known_without_the_store(store, tmp_path):
    """Instances did not learn of a crashing request during an outage."""
    # Those that crash cannot register again meanwhile.
    async with system(store, tmp_path, engines=18) as deployment:
        instances, session, fleet = deployment
        store.mood = platformstore.Mood(status=503)
        await send_repeatedly(session, instances)
        assert runs(fleet) <= MAX_RUNS


async def test_crashes_before_a_rejection_outlast_all_instances(
    store, tmp_path
):
    """All instances are killed before the request comes once more.

    Those that started again crashed as many endpoints as before.
    """
    async with system(store, tmp_path, engines=12) as deployment:
        instances, session, fleet = deployment
        await send(session, instances[0], POISON)
        crashed = runs(fleet)
        await asyncio.sleep(STORED_S)
        await restart_all(instances)
        await send_repeatedly(session, instances)
        assert crashed == 3
        assert runs(fleet) == crashed


async def test_crashing_request_is_known_after_all_instances_restart(
    store, tmp_path
):
    """Instances that started again crashed more endpoints."""
    async with system(store, tmp_path) as (instances, session, fleet):
        await send_repeatedly(session, instances)
        await restart_all(instances)
        before = runs(fleet)
        await send_repeatedly(session, instances)
        assert runs(fleet) == before <= MAX_RUNS


async def test_request_beside_a_crashing_one_is_served(store, tmp_path):
    """A request was given up that only shared endpoints with a crashing one.

    It is in flight wherever the endpoints crash, and repeated as often.
    """
    async with system(store, tmp_path, engines=3) as deployment:
        instances, session, _ = deployment

        async def repeat(body):
            for number in range(REPETITIONS):
                instance = instances[number % len(instances)]
                with contextlib.suppress(aiohttp.ClientError):
                    await send(session, instance, body)

        await asyncio.gather(*map(repeat, (POISON, b"note", POISON, b"bill")))
        await asyncio.sleep(1.0)
        for each in instances:
            for body in (b"note", b"bill"):
                assert (await send(session, each, body))[0] == 200
