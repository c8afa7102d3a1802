"""What the adapter makes of each fault of the instance list."""

import pytest

from sycamoreshed.adapters import instancelist
from sycamoreshed.adapters.tests import serving
from sycamoreshed.errors import kinds

AWAY = kinds.Kind.STORE_AWAY
ITEM = {
    "name": "catalogue-1",
    "address": "127.0.0.1:9",
    "zone": "north-a",
    "state": "leaving",
    "generation": 7,
}
LISTED = [instancelist.ListedInstance(**ITEM)]
# Faults of the proxy and of the stand-in, the lag, and what is read.
FAULTS = {
    "none": ({}, {}, 0.0, LISTED),
    "refused": ({"refuse": True}, {}, 0.0, AWAY),
    "closed": ({}, {"down": True}, 0.0, AWAY),
    "slow": ({"delay_s": 1.0}, {}, 0.0, AWAY),
    "silent": ({"freeze": True}, {}, 0.0, AWAY),
    "error": ({}, {"fail": 1.0}, 0.0, AWAY),
    "answer lost": ({}, {"lose": 1.0}, 0.0, AWAY),
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
    """The list is away, slow or shows what was.

    An error taken for an empty list would bring leavers back.
    """
    in_proxy, in_service, lag_s, expected = FAULTS[name]
    running = serving.running("instances", lag_s=lag_s)
    async with running as (session, proxy, fault):
        await put(session, proxy.address, [ITEM])
        for key, value in in_proxy.items():
            setattr(proxy, key, value)
        fault.spec = dict(in_service)
        seconds = 0.3 if expected is AWAY else 10.0
        found = await _client(session, proxy.address, seconds).read()
    assert (found.kind if expected is AWAY else found) == expected


MALFORMED = [
    [{**ITEM, "generation": "7"}],
    [{**ITEM, "state": "gone"}],
    [{"name": "catalogue-1"}],
    "none",
]


@pytest.mark.parametrize("items", MALFORMED)
async def test_what_is_no_list_is_taken_for_away(items):
    async with serving.running("instances") as (session, proxy, _):
        await put(session, proxy.address, items)
        found = await _client(session, proxy.address, 10.0).read()
    assert found.kind is AWAY
