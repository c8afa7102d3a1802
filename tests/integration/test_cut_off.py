"""Instances whose links to all endpoints are cut."""

import asyncio
import signal
import time

import pytest

from testkit import partitioned
from tests.integration import deployments
from tests.integration import harness

# After which callers at cut-off instances are to be served like others.
STABLE_S = 4.0
LOAD_S = 5.0
# Their share of answers, of that at other instances; and how many of all
# requests may fail at them: a number, and a part.
MIN_SHARE = 2 / 3
MAX_FAILED = 10
MAX_FAILED_PART = 1 / 50
# Of an endpoint whose requests are in flight as links are cut.
SLOW_S = 0.5
# A rejection that does not wait for the deadline, 3 s.
AT_ONCE_S = 0.5
STAGES = [{"service": "first", "after": [], "size_bytes": 8000}]
KINDS = {
    "safe": {"route_kind": "safe"},
    "once": {"route_kind": "unsafe"},
    "stages": {"route_kind": "safe", "stages": STAGES},
}


def answer_slowly(received):
    """Answer a request after a time."""
    yield SLOW_S
    yield from harness.answer_ok(received)


def cut_off(running, zones, how):
    """Cut the instances of some zones off from all endpoints."""
    addresses = [each.address for each in running.endpoints]
    for instance in running.instances:
        if instance.document["zone"] in zones:
            partitioned.Partition(instance.settings).cut(addresses, how)


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("how", ["hang", "refuse", "live"])
@pytest.mark.parametrize("zones", ["north-a", "north-a north-b"])
async def test_callers_of_instances_cut_off_from_endpoints_are_served(
    store, tmp_path, zones, how, kind
):
    """Instances without links to endpoints failed nearly all requests."""
    route = {"target_latency_ms": 2000, "max_attempts": 3, **KINDS[kind]}
    head = {"pieces": "2", "piece_key": "k"} if kind == "stages" else {}
    cut_zones = zones.split()
    async with deployments.deployment(
        store, tmp_path, stage=True, program=partitioned.PROGRAM, **route
    ) as running:
        cut_off(running, cut_zones, how)
        await running.load(STABLE_S, **head)
        answers = await running.load(LOAD_S, **head)
    served = {True: [], False: []}
    for number, (status, *_) in enumerate(answers):
        instance = running.instances[number % len(running.instances)]
        is_cut = instance.document["zone"] in cut_zones
        served[is_cut].append(status == 200)
    failed = served[True].count(False)
    assert failed <= MAX_FAILED + MAX_FAILED_PART * len(answers)
    shares = {key: sum(each) / len(each) for key, each in served.items()}
    assert shares[True] >= MIN_SHARE * shares[False]
    assert shares[False] >= 1 - MAX_FAILED_PART


async def test_a_cut_is_no_evidence_of_crashes(store, tmp_path):
    """Requests in flight as links were reset were rejected everywhere."""
    async with deployments.deployment(
        store, tmp_path, program=partitioned.PROGRAM, max_attempts=3
    ) as running:
        for _ in range(6):
            await running.start_endpoint("north-a", "desk", answer_slowly)
        await asyncio.sleep(deployments.APPLY_S)
        instance = running.instances[0]
        for _ in range(3):
            calls = [
                asyncio.create_task(running.call(instance, method="POST"))
                for _ in range(8)
            ]
            await asyncio.sleep(SLOW_S / 2)
            cut_off(running, ["north-a"], "refuse")
            await asyncio.gather(*calls)
            partitioned.Partition(instance.settings).heal()
            await asyncio.sleep(1.0)
        status, *_ = await running.call(running.instances[2], method="POST")
    assert not instance.events("endpoint_crashed")
    assert status == 200


async def test_a_cut_off_instance_keeps_to_regions_and_evacuations(
    store, tmp_path
):
    """Requests that others send went where their own would not have gone."""
    route = {"allowed_regions": ["north"], "target_latency_ms": 2000}
    async with deployments.deployment(
        store, tmp_path, program=partitioned.PROGRAM, **route
    ) as running:
        cut_off(running, ["north-a"], "hang")
        await running.load(STABLE_S)
        store.put("op", "evacuate/north-a", {})
        evacuated_at = time.monotonic()
        await running.load(deployments.APPLY_S)
        answers = await running.load(1.0)
        zones = running.zones_since(evacuated_at + deployments.APPLY_S)
        south = running.instances[2]
    assert {status for status, *_ in answers} == {200}
    assert zones.keys() == {"north-b"}
    assert not south.events("sent_for_other")
    assert not south.events("not_sent_for_other")


async def test_an_instance_stops_after_it_has_sent_the_calls_of_others(
    store, tmp_path
):
    """A request was lost with the instance that sent it for another one."""
    async with deployments.deployment(
        store, tmp_path, program=partitioned.PROGRAM, route_kind="unsafe"
    ) as running:
        for zone in deployments.REGIONS:
            await running.start_endpoint(zone, "desk", answer_slowly)
        await asyncio.sleep(deployments.APPLY_S)
        cut_off(running, ["north-a"], "live")
        await running.load(STABLE_S)
        cut, *helpers = running.instances
        calls = [
            asyncio.create_task(running.call(cut, method="POST"))
            for _ in range(20)
        ]
        await asyncio.sleep(SLOW_S / 2)
        helpers[0].process.send_signal(signal.SIGTERM)
        calls += [
            asyncio.create_task(running.call(cut, method="POST"))
            for _ in range(20)
        ]
        answers = await asyncio.gather(*calls)
        code = await helpers[0].stop()
    assert {status for status, *_ in answers} == {200}
    assert code == 0
    assert helpers[0].events("sent_for_other")


async def test_direct_links_are_used_again_after_a_cut(store, tmp_path):
    """An instance went on to use others, or to avoid endpoints."""
    async with deployments.deployment(
        store, tmp_path, program=partitioned.PROGRAM
    ) as running:
        cut_off(running, ["north-a"], "refuse")
        await running.load(STABLE_S)
        instance = running.instances[0]
        partitioned.Partition(instance.settings).heal()
        await asyncio.sleep(1.0)
        before = len(instance.events("sent_indirectly"))
        answers = await running.load(2.0)
        after = len(instance.events("sent_indirectly"))
    assert {status for status, *_ in answers} == {200}
    assert before > 0
    assert after == before


async def test_requests_are_rejected_at_once_if_all_instances_are_cut_off(
    store, tmp_path
):
    """Callers waited until their deadline while no endpoint was reached."""
    async with deployments.deployment(
        store, tmp_path, stage=True, program=partitioned.PROGRAM
    ) as running:
        cut_off(running, deployments.REGIONS, "hang")
        await running.load(STABLE_S)
        answers = await running.load(2.0)
        for instance in running.instances:
            partitioned.Partition(instance.settings).heal()
        await asyncio.sleep(1.0)
        afterwards = await running.load(1.0)
    assert {status for status, *_ in answers} == {503}
    assert all(float(retry_after) > 0 for _, retry_after, _ in answers)
    assert max(took_s for *_, took_s in answers) < AT_ONCE_S
    assert {status for status, *_ in afterwards} == {200}
