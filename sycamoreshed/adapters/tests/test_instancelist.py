"""Results of the adapter for each fault of the instance list."""

import pytest

from sycamoreshed.adapters import instancelist
from sycamoreshed.adapters.tests import serving
from sycamoreshed.errors import kinds

UNAVAILABLE = kinds.Kind.STORE_AWAY
ITEM = {
    "name": "catalogue-1",
    "address": "127.0.0.1:9",
    "zone": "north-a",
    "state": "leaving",
    "generation": 7,
}
LISTED = [instancelist.ListedInstance(**ITEM)]
# Faults of the proxy and of the stand-in; the lag; the result of a read.
FAULTS = {
    "none": ({}, {}, 0.0, LISTED),
    "refused": ({"refuse": True}, {}, 0.0, UNAVAILABLE),
    "closed": ({}, {"down": True}, 0.0, UNAVAILABLE),
    "slow": ({"delay_s": 1.0}, {}, 0.0, UNAVAILABLE),
    "silent": ({"freeze": True}, {}, 0.0, UNAVAILABLE),
    "error": ({}, {"fail": 1.0}, 0.0, UNAVAILABLE),
    "answer lost": ({}, {"lose": 1.0}, 0.0, UNAVAILABLE),
    "stale read": ({}, {}, 3600.0, []),
}


def _client(session, address, timeout):
    return instancelist.InstanceList(
        session=session, address=address, timeout=timeout
    )


async def put(session, address, items):
    url = f"http://{address}/instances"
    async with session.put(url, json={"instances": items}) as answer:
        answer.raise_for_status()


@pytest.mark.parametrize("name", FAULTS)
async def test_each_fault_has_one_outcome(name):
    """The list is unavailable, slow or stale.

    If an error were read as an empty list, the listed instances and their
    leaving states would be lost.
    """
    proxy_faults, service_faults, lag_s, expected = FAULTS[name]
    running = serving.running("instances", lag_s=lag_s)
    async with running as (session, proxy, fault):
        await put(session, proxy.address, [ITEM])
        for key, value in proxy_faults.items():
            setattr(proxy, key, value)
        fault.spec = dict(service_faults)
        seconds = 0.3 if expected is UNAVAILABLE else 10.0
        result = await _client(session, proxy.address, seconds).read()
    assert (result.kind if expected is UNAVAILABLE else result) == expected


MALFORMED = [
    [{**ITEM, "generation": "7"}],
    [{**ITEM, "state": "gone"}],
    [{"name": "catalogue-1"}],
    "none",
]


@pytest.mark.parametrize("items", MALFORMED)
async def test_answer_that_is_not_a_list_is_a_failure(items):
    async with serving.running("instances") as (session, proxy, _):
        await put(session, proxy.address, items)
        result = await _client(session, proxy.address, 10.0).read()
    assert result.kind is UNAVAILABLE
