"""Results of the adapter for each fault of the table service."""

import pytest

from sycamoreshed.adapters import table as tables
from sycamoreshed.adapters.tests import serving
from sycamoreshed.errors import kinds

UNAVAILABLE = kinds.Kind.STORE_AWAY
OLD = tables.Row("a", {"n": 1}, 1)
NEW = tables.Row("a", {"n": 2}, 2)
# Faults of the proxy and of the stand-in; result of a read; result of a
# write (for a failure, whether the write may have taken effect); whether
# the write did.  None if it still may, as when delayed bytes arrive after
# the proxy forwards again.  A proxy that refuses accepts a connection and
# closes it, so that the request may have been sent.
FAULTS = {
    "none": ({}, {}, OLD, "written", True),
    "refused": ({"refuse": True}, {}, UNAVAILABLE, (UNAVAILABLE, True), False),
    "closed": ({}, {"down": True}, UNAVAILABLE, (UNAVAILABLE, True), False),
    "slow": ({"delay_s": 1.0}, {}, UNAVAILABLE, (UNAVAILABLE, True), None),
    "silent": ({"freeze": True}, {}, UNAVAILABLE, (UNAVAILABLE, True), None),
    "error": ({}, {"fail": 1.0}, UNAVAILABLE, (UNAVAILABLE, True), False),
    "effect without answer": (
        {},
        {"lose": 1.0},
        UNAVAILABLE,
        (UNAVAILABLE, True),
        True,
    ),
    "answer swallowed": (
        {"lose_answers": -1},
        {},
        UNAVAILABLE,
        (UNAVAILABLE, True),
        True,
    ),
    "late effect": (
        {},
        {"late": 1.0, "late_s": 0.05, "paths": ["/transact"]},
        OLD,
        (UNAVAILABLE, True),
        None,
    ),
}


def _client(session, address, timeout=0.3):
    return tables.Table(session=session, address=address, timeout=timeout)


async def _outcome(result):
    if isinstance(result, kinds.Failure):
        return result.kind, result.sent
    return "written" if isinstance(result, tables.Written) else "conflict"


@pytest.mark.parametrize("name", FAULTS)
async def test_each_fault_has_one_outcome(name):
    """The table service refuses, is slow, does not answer or loses answers.

    If a write with an unknown outcome were reported as done or as not
    done, an operation that must run once would count not at all or twice.
    """
    proxy_faults, service_faults, read, write, effect = FAULTS[name]
    async with serving.running("table") as (session, proxy, fault):
        client = _client(session, proxy.address)
        assert await client.write(tables.Write("a", {"n": 1}, 0))
        for key, value in proxy_faults.items():
            setattr(proxy, key, value)
        fault.spec = dict(service_faults)
        read_result = await client.read("a")
        rows = await client.scan("")
        outcome = await _outcome(
            await client.write(tables.Write("a", {"n": 2}, 1))
        )
        for key in proxy_faults:
            setattr(proxy, key, 0)
        fault.spec = {}
        after = await _client(session, proxy.address, 10.0).read("a")
    assert (read_result.kind if read is UNAVAILABLE else read_result) == read
    assert (rows.kind if read is UNAVAILABLE else rows[0]) == read
    assert outcome == write
    possible = {None: (OLD, NEW), True: (NEW,), False: (OLD,)}
    assert after in possible[effect]


async def test_connection_refused_means_not_sent():
    async with serving.running("table") as (session, proxy, _):
        client = _client(session, "127.0.0.1:9")
        result = await client.write(tables.Write("a", 1, 0))
    assert result.kind is UNAVAILABLE
    assert not result.sent


async def test_stale_read_is_detected_by_the_conditional_write():
    async with serving.running("table") as (session, proxy, fault):
        client = _client(session, proxy.address)
        await client.write(tables.Write("a", {"n": 1}, 0))
        await client.write(tables.Write("a", {"n": 2}, 1))
        fault.spec = {"stale": 1.0}
        stale = await client.read("a")
        result = await client.write(tables.Write("a", 3, stale.version))
    assert stale == OLD
    assert result == tables.Conflict((NEW,))


async def test_all_writes_or_none():
    async with serving.running("table") as (session, proxy, _):
        client = _client(session, proxy.address)
        await client.write(tables.Write("a", 1, 0))
        result = await client.write(
            tables.Write("b", 1, 0), tables.Write("a", 2, 7)
        )
        row = await client.read("b")
    assert isinstance(result, tables.Conflict)
    assert row == tables.Row("b", None, tables.ABSENT)


async def test_call_over_the_rate_limit_has_no_effect():
    async with serving.running("table", writes_per_s=0) as (session, proxy, _):
        client = _client(session, proxy.address)
        result = await client.write(tables.Write("a", 1, 0))
        row = await client.read("a")
    assert (result.kind, result.sent) == (UNAVAILABLE, False)
    assert row.version == tables.ABSENT
