"""What an instance does for others while it stops and they do not know."""

import asyncio
import collections
import contextlib
import json
import time

import aiohttp
import pytest

from standins import platformstore
from standins import scripted
from testkit import gateways
from testkit import partitioned
from testkit import wiredata
from tests.integration import harness

# From SIGTERM to SIGKILL.
GRACE_S = 4.0
START_TIMEOUT_S = 15.0
# Of the instances of a test, all but the first and the last one stop.
INSTANCES = 6
PER_S = 8
MANY_PER_S = 150
BEFORE_S = 2.0
ANSWER_S = 1.0
STAGES = [{"service": "first", "after": [], "size_bytes": 8000}]


def answer_slowly(received):
    """Answer a request after a while."""
    yield ANSWER_S
    yield from harness.answer_ok(received)


@contextlib.asynccontextmanager
async def running(store, folder, *, count, program=gateways.PROGRAM):
    """Run instances of one zone that know each other, and open a session."""
    documents = [
        {
            "instance": f"edge-{number}",
            "table": store.address,
            "grace_s": GRACE_S,
        }
        for number in range(count)
    ]
    async with (
        gateways.gateways(folder, documents, program=program) as instances,
        aiohttp.ClientSession() as session,
    ):
        for each in instances:
            await each.wait_ready()
        async with asyncio.timeout(START_TIMEOUT_S):
            for each in instances:
                while len((await each.status())["peers"]) < count:
                    await asyncio.sleep(0.05)
        yield instances, session


async def load(session, gateway, seconds, *, per_s=PER_S, **head):
    """Send requests; return the statuses, with "cut" for cut-off ones."""

    async def call(number):
        try:
            status, *_ = await harness.call(
                session,
                gateway,
                "POST",
                headers=wiredata.head(
                    f"r-{time.monotonic_ns()}-{number}",
                    deadline_ms="9000",
                    **head,
                ),
            )
        except aiohttp.ClientError:
            return "cut"
        return status

    tasks = []
    for number in range(int(seconds * per_s)):
        tasks.append(asyncio.create_task(call(number)))
        await asyncio.sleep(1 / per_s)
    return collections.Counter(await asyncio.gather(*tasks))


async def stop(store, instances):
    """Stop instances as the platform does, unknown to others."""
    store.mood = platformstore.Mood(status=503)
    for each in instances:
        each.process.terminate()
    try:
        async with asyncio.timeout(GRACE_S):
            for each in instances:
                await each.process.wait()
    except TimeoutError:
        for each in instances:
            await each.kill()


def decisions(instances):
    """Return how often instances decided that calls end in time, or not."""
    return collections.Counter(
        line["is_allowed"]
        for each in instances
        for line in each.events("stop_checked")
    )


@pytest.mark.parametrize(
    ("script", "per_s"),
    [(answer_slowly, PER_S), (harness.answer_ok, MANY_PER_S)],
)
async def test_calls_of_others_are_served_while_many_instances_stop(
    store, tmp_path, script, per_s
):
    """A request was lost with one of the instances that were stopping."""
    route = wiredata.route(
        route_kind="unsafe", timeout_ms=9000, target_latency_ms=2000
    )
    store.put("op", "config", wiredata.configuration(2, routes=[route]))
    scripts = [script] * 3
    async with (
        harness.endpoints(store, *scripts, slots=100) as endpoints,
        running(
            store, tmp_path, count=INSTANCES, program=partitioned.PROGRAM
        ) as (instances, session),
    ):
        cut, *stopping, _ = instances
        addresses = [each.address for each in endpoints]
        partitioned.Partition(cut.settings).cut(addresses, "live")
        await load(session, cut, BEFORE_S)
        ending = asyncio.create_task(stop(store, stopping))
        statuses = await load(session, cut, GRACE_S, per_s=per_s)
        await ending
    assert statuses == {200: statuses.total()}
    assert [each.process.returncode for each in stopping] == [0] * len(
        stopping
    )
    assert True in decisions(stopping)


async def test_stages_of_others_are_not_begun_before_an_instance_ends(
    store, tmp_path
):
    """Stages were cut off with their coordinator, and begun once more."""
    seen = collections.Counter()

    def run_pieces(received):
        items = json.loads(received.body).get("items", [])
        if received.target == "/v1/stage-free":
            yield scripted.answer(200)
            return
        seen.update((item["id"], item["segment"]) for item in items)
        yield ANSWER_S
        results = [{"handle": f"h/{item['id']}"} for item in items]
        body = json.dumps({"items": results})
        yield scripted.answer(200, body.encode())

    route = wiredata.route(
        route_kind="safe",
        timeout_ms=9000,
        target_latency_ms=6000,
        stages=STAGES,
    )
    services = [
        wiredata.service(),
        wiredata.piece_service("first", call_ms=1000 * ANSWER_S, slots=16),
    ]
    store.put(
        "op",
        "config",
        wiredata.configuration(2, routes=[route], services=services),
    )
    first = scripted.Endpoint(run_pieces)
    await first.start()
    store.put("servers", "i-9", wiredata.beat(first.address, service="first"))
    pieces = {"pieces": "1", "piece_key": "k"}
    async with (
        harness.endpoints(store, harness.answer_ok, slots=100),
        running(store, tmp_path, count=3) as (instances, session),
    ):
        caller = instances[0]
        before = await load(session, caller, BEFORE_S, **pieces)
        coordinator = next(each for each in instances if each.events("staged"))
        if coordinator is caller:
            caller = instances[1]
        ending = asyncio.create_task(stop(store, [coordinator]))
        statuses = await load(session, caller, GRACE_S + ANSWER_S, **pieces)
        await ending
    await first.stop()
    total = before.total() + statuses.total()
    assert before + statuses == {200: total}
    assert coordinator.process.returncode == 0
    assert len(seen) == total
    assert set(seen.values()) == {1}
    assert coordinator.events("stage_stopped")
