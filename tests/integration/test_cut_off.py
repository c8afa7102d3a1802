"""Instances whose links to all endpoints are cut."""

import asyncio

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
