"""What the adapter makes of each fault of the object store."""

import pytest

from sycamoreshed.adapters import objects
from sycamoreshed.adapters.tests import serving
from sycamoreshed.errors import kinds

AWAY = kinds.Kind.STORE_AWAY
OLD, NEW = {"n": 1}, {"n": 2}
# Faults of the proxy and of the stand-in; what a read returns; what a put
# returns; what is stored after (None: either).
FAULTS = {
    "none": ({}, {}, OLD, True, NEW),
    "refused": ({"refuse": True}, {}, AWAY, AWAY, OLD),
    "closed": ({}, {"down": True}, AWAY, AWAY, OLD),
    "slow": ({"delay_s": 1.0}, {}, AWAY, AWAY, None),
    "silent": ({"freeze": True}, {}, AWAY, AWAY, None),
    "error": ({}, {"fail": 1.0}, AWAY, AWAY, OLD),
    "effect without answer": ({}, {"lose": 1.0}, AWAY, AWAY, NEW),
    "answer swallowed": ({"lose_answers": -1}, {}, AWAY, AWAY, NEW),
    "stale read": ({}, {"stale": 1.0}, {"n": 0}, True, NEW),
}


def _client(session, address, timeout=0.3):
    return objects.Objects(session=session, address=address, timeout=timeout)


@pytest.mark.parametrize("name", FAULTS)
async def test_each_fault_has_one_outcome(name):
    """The object store is refused, slow, silent or loses its answers.

    A snapshot taken for stored that is not would leave a starting
    instance without a configuration.
    """
    in_proxy, in_service, read, put, after = FAULTS[name]
    async with serving.running("objects") as (session, proxy, fault):
        client = _client(session, proxy.address, 10.0)
        assert await client.put("config/1", {"n": 0}) is True
        assert await client.put("config/1", OLD) is True
        client = _client(session, proxy.address)
        for key, value in in_proxy.items():
            setattr(proxy, key, value)
        fault.spec = dict(in_service)
        found = await client.get("config/1")
        done = await client.put("config/1", NEW)
        for key in in_proxy:
            setattr(proxy, key, 0)
        fault.spec = {}
        held = await _client(session, proxy.address, 10.0).get("config/1")
    assert (found.kind if read is AWAY else found) == read
    assert (done.kind if put is AWAY else done) == put
    if put is AWAY:
        assert done.sent
    if after is not None:
        assert held == after


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
        done = await _client(session, "127.0.0.1:9").put("a", OLD)
    assert (done.kind, done.sent) == (AWAY, False)
