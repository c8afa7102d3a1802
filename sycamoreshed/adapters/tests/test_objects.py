"""Results of the adapter for each fault of the object store."""

import pytest

from sycamoreshed.adapters import objects
from sycamoreshed.adapters.tests import serving
from sycamoreshed.errors import kinds

UNAVAILABLE = kinds.Kind.STORE_AWAY
OLD, NEW = {"n": 1}, {"n": 2}
# Faults of the proxy and of the stand-in; result of a read; result of a
# put; object stored afterwards (None: either).
FAULTS = {
    "none": ({}, {}, OLD, True, NEW),
    "refused": ({"refuse": True}, {}, UNAVAILABLE, UNAVAILABLE, OLD),
    "closed": ({}, {"down": True}, UNAVAILABLE, UNAVAILABLE, OLD),
    "slow": ({"delay_s": 1.0}, {}, UNAVAILABLE, UNAVAILABLE, None),
    "silent": ({"freeze": True}, {}, UNAVAILABLE, UNAVAILABLE, None),
    "error": ({}, {"fail": 1.0}, UNAVAILABLE, UNAVAILABLE, OLD),
    "effect without answer": (
        {},
        {"lose": 1.0},
        UNAVAILABLE,
        UNAVAILABLE,
        NEW,
    ),
    "answer swallowed": (
        {"lose_answers": -1},
        {},
        UNAVAILABLE,
        UNAVAILABLE,
        NEW,
    ),
    "stale read": ({}, {"stale": 1.0}, {"n": 0}, True, NEW),
}


def _client(session, address, timeout=0.3):
    return objects.Objects(session=session, address=address, timeout=timeout)


@pytest.mark.parametrize("name", FAULTS)
async def test_each_fault_has_one_outcome(name):
    """The object store refuses, is slow, does not answer or loses answers.

    If a snapshot were reported as stored although it was not, a starting
    instance would have no configuration.
    """
    proxy_faults, service_faults, read, put, after = FAULTS[name]
    async with serving.running("objects") as (session, proxy, fault):
        client = _client(session, proxy.address, 10.0)
        assert await client.put("config/1", {"n": 0}) is True
        assert await client.put("config/1", OLD) is True
        client = _client(session, proxy.address)
        for key, value in proxy_faults.items():
            setattr(proxy, key, value)
        fault.spec = dict(service_faults)
        read_result = await client.get("config/1")
        put_result = await client.put("config/1", NEW)
        for key in proxy_faults:
            setattr(proxy, key, 0)
        fault.spec = {}
        stored = await _client(session, proxy.address, 10.0).get("config/1")
    assert (read_result.kind if read is UNAVAILABLE else read_result) == read
    assert (put_result.kind if put is UNAVAILABLE else put_result) == put
    if put is UNAVAILABLE:
        assert put_result.sent
    if after is not None:
        assert stored == after


async def test_absent_and_deleted_objects():
    async with serving.running("objects") as (session, proxy, _):
        client = _client(session, proxy.address, 10.0)
        assert await client.get("no/such") is None
        assert await client.delete("no/such") is False
        await client.put("a/b", OLD)
        assert await client.delete("a/b") is True
        assert await client.get("a/b") is None


async def test_connection_refused_means_not_sent():
    async with serving.running("objects") as (session, _, _):
        result = await _client(session, "127.0.0.1:9").put("a", OLD)
    assert (result.kind, result.sent) == (UNAVAILABLE, False)
