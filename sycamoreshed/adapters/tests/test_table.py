"""Results of the adapter for each fault of the table service."""

import pytest

from sycamoreshed.adapters import positions
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


async def _restore(session, proxy, lost):
    """Keep a copy, write `lost` rows, and come back from the copy."""
    url = f"http://{proxy.address}"
    other = _client(session, proxy.address)
    async with session.post(f"{url}/backup"):
        pass
    for number in range(lost):
        await other.write(tables.Write(f"lost-{number}", 1, tables.ABSENT))
    async with session.post(f"{url}/restore"):
        pass


async def test_versions_of_two_eras_differ():
    """A version is given out again; a row would count as unchanged."""
    async with serving.running("table", era=3) as (session, proxy, _):
        client = _client(session, proxy.address)
        await client.write(tables.Write("a", 1, tables.ABSENT))
        before = await client.read("a")
        absent = await client.read("b")
        await _restore(session, proxy, 2)
        after = await client.read("a")
        still_absent = await client.read("b")
    assert after.value == before.value
    assert after.version > before.version
    assert not positions.has_advanced(before.version, after.version)
    assert still_absent.version > absent.version


@pytest.mark.parametrize("is_era_known", [False, True])
async def test_write_on_a_version_that_was_given_out_again_has_not_succeeded(
    is_era_known,
):
    """An instance would take another writer's row for its own.

    If the era is learnt only from the answer to the write, its outcome is
    told as unknown.
    """
    async with serving.running("table", era=3) as (session, proxy, _):
        client, other = (
            _client(session, proxy.address),
            _client(session, proxy.address),
        )
        async with session.post(f"http://{proxy.address}/backup"):
            pass
        (version,) = (
            await client.write(tables.Write("a", "own", tables.ABSENT))
        ).versions
        async with session.post(f"http://{proxy.address}/restore"):
            pass
        await other.write(tables.Write("a", "other's", tables.ABSENT))
        if is_era_known:
            await client.read("b")
        result = await client.write(tables.Write("a", "next", version))
    if is_era_known:
        (row,) = result.rows
        assert row.value == "other's"
    else:
        assert (result.kind, result.sent) == (UNAVAILABLE, True)


async def test_answer_of_an_earlier_era_is_a_failure():
    """A call was under way as the store came back; its rows are lost ones."""
    async with serving.running("table", era=3) as (session, proxy, _):
        client = _client(session, proxy.address)
        await client.read("a")
        client._observe(4)
        row = await client.read("a")
    assert (row.kind, row.sent) == (UNAVAILABLE, True)


@pytest.mark.parametrize("era", [None, "", "third", "-1", "9" * 40])
async def test_service_that_tells_no_era_is_used_as_before(era):
    """The header is missing or malformed."""
    async with serving.running("table", era=era) as (session, proxy, _):
        client = _client(session, proxy.address)
        result = await client.write(tables.Write("a", 1, tables.ABSENT))
        row = await client.read("a")
    assert result == tables.Written((1,))
    assert row == tables.Row("a", 1, 1)
    assert client.era == 0


async def test_return_from_a_copy_is_told_to_those_who_wrote():
    """Otherwise nobody would write again what the store lost."""
    told = []
    async with serving.running("table", era=3) as (session, proxy, _):
        client = _client(session, proxy.address)
        client.on_restored(lambda: told.append(client.era))
        await client.read("a")
        await _restore(session, proxy, 1)
        await client.read("a")
        await client.read("a")
    assert told == [4]
