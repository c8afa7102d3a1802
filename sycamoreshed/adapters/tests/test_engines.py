"""Results of the adapter for each fault of an engine's control calls."""

import pytest

from sycamoreshed.adapters import engines
from sycamoreshed.adapters.tests import serving
from sycamoreshed.config import state as configs
from sycamoreshed.errors import kinds
from sycamoreshed.observe import metrics

LATE = kinds.Kind.LATE
REFUSED = kinds.Kind.REFUSED
FAILED = kinds.Kind.STAGE_FAILED
TARGET = {"model": "m", "version": "1", "adapters": [], "role": "both"}
ORDER = {"fence": 5, "config": 3, "target": TARGET}
# Faults of the proxy and of the stand-in; failure kind of a state read;
# outcome of an order (kind, and whether it may take effect); number of
# orders the engine accepted (None: either).
FAULTS = {
    "none": ({}, {}, None, True, 1),
    "refused": ({"refuse": True}, {}, REFUSED, (REFUSED, True), 0),
    "closed": ({}, {"down": True}, REFUSED, (REFUSED, True), 0),
    "silent": ({"freeze": True}, {}, LATE, (LATE, True), None),
    "slow": ({"delay_s": 1.0}, {}, LATE, (LATE, True), None),
    "error": ({}, {"fail": 1.0}, FAILED, (FAILED, True), 0),
    "effect without answer": ({}, {"lose": 1.0}, REFUSED, (REFUSED, True), 1),
    "late effect": (
        {},
        {"late": 1.0, "late_s": 0.0, "paths": ["/orders"]},
        None,
        (REFUSED, True),
        None,
    ),
}


def _endpoint(address):
    return configs.Endpoint("e", address, "s", "z", "r", 8, True)


def _client(session):
    traffic = metrics.Metrics().control_bytes.labels("orders")
    return engines.Engines(session=session, traffic=traffic)


async def _order(client, endpoint, order=ORDER, *, allowed=True, timeout=0.3):
    result = await client.send_order(
        endpoint, order, timeout=timeout, is_allowed=lambda: allowed
    )
    if isinstance(result, kinds.Failure):
        return result.kind, result.sent
    return result


@pytest.mark.parametrize("name", FAULTS)
async def test_each_fault_has_one_outcome(name):
    """An engine is unavailable, slow, or accepts an order without answering.

    An order that is counted as lost could still arrive; if the lease were
    released by then, it could overwrite an order of the next holder.
    """
    proxy_faults, engine_faults, read_kind, order, accepted = FAULTS[name]
    async with serving.running("engine") as (session, proxy, fault):
        client = _client(session)
        endpoint = _endpoint(proxy.address)
        for key, value in proxy_faults.items():
            setattr(proxy, key, value)
        fault.spec = dict(engine_faults)
        state = await client.state(endpoint, timeout=0.3)
        result = await _order(client, endpoint)
        for key in proxy_faults:
            setattr(proxy, key, 0)
        fault.spec = {}
        after = await client.state(endpoint, timeout=10.0)
    assert getattr(state, "kind", None) == read_kind
    assert result == order
    possible = {None: (0, 5), 1: (5,), 0: (0,)}
    assert after.fence in possible[accepted]


@pytest.mark.parametrize("checks", [True, False])
async def test_old_fencing_number(checks):
    async with serving.running("engine", checks_orders=checks) as running:
        session, proxy, _ = running
        client = _client(session)
        endpoint = _endpoint(proxy.address)
        await _order(client, endpoint)
        old = {**ORDER, "fence": 4, "target": None}
        result = await _order(client, endpoint, old)
        state = await client.state(endpoint, timeout=10.0)
    assert result == (engines.Outdated(5) if checks else True)
    assert (state.loaded or state.loading) == (TARGET if checks else None)


async def test_order_is_not_sent_after_the_lease_expired():
    """The lease holder is paused between deciding on an order and sending it.

    Without the last check its order would arrive after those of the next
    holder, and an engine that ignores fencing numbers would accept it.
    """
    async with serving.running("engine") as (session, proxy, _):
        client = _client(session)
        endpoint = _endpoint(proxy.address)
        result = await _order(client, endpoint, allowed=False, timeout=5.0)
        state = await client.state(endpoint, timeout=10.0)
    assert result == (kinds.Kind.LEASE_LOST, False)
    assert state.fence == 0


@pytest.mark.parametrize("body", [None, [], {}, {"loaded": 3}, "x"])
async def test_answer_that_is_not_a_state_is_a_failure(body):
    reply = engines._convert(engines.web.Reply(200, body, 0), engines.State)
    assert reply.kind is FAILED


async def test_events_load_and_cache_are_read():
    async with serving.running("engine") as (session, proxy, _):
        client = _client(session)
        endpoint = _endpoint(proxy.address)
        load = await client.read_load(endpoint, timeout=10.0)
        events = await client.cache_events(endpoint, after=0, timeout=10.0)
        imported = await client.kv_import(endpoint, "p", timeout=10.0)
        exported = await client.kv_export(endpoint, "p", timeout=10.0)
        proxy.refuse = True
        failures = [
            await client.read_load(endpoint, timeout=0.3),
            await client.cache_events(endpoint, after=0, timeout=0.3),
            await client.kv_export(endpoint, "p", timeout=0.3),
        ]
    assert load["loaded"] is None
    assert events == []
    assert (imported["imported"], exported["held"]) == (True, True)
    assert [item.kind for item in failures] == [REFUSED] * 3
