import random

import pytest

from sycamoreshed.adapters import table as tables
from sycamoreshed.adapters.tests import serving
from sycamoreshed.orders import leaseclient
from sycamoreshed.orders import records

TERMS = records.Terms(duration_s=6.0, margin_s=1.0, max_order_s=2.0)
TIMEOUT_S = 5.0
TAKEOVERS = 20
MAX_STEPS = 20_000


class Clock:
    """A clock that only the test advances."""

    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


def _lease(session, address, clock, holder):
    table = tables.Table(session=session, address=address, timeout=TIMEOUT_S)
    return leaseclient.Lease(
        table=table, name="z", holder=holder, terms=TERMS, clock=clock
    )


@pytest.mark.parametrize("seed", range(4))
async def test_faulty_store_never_makes_two_holders(seed):
    """Reads are stale, responses are lost, writes take effect late.

    With two holders at once, each engine would receive orders of both.
    """
    rng = random.Random(seed)
    clock = Clock()
    ends = {}
    fences = []
    async with serving.running("table") as (session, proxy, fault):
        fault.spec = {
            "stale": 0.3,
            "lose": 0.2,
            "fail": 0.1,
            "late": 0.1,
            "late_s": 0.01,
            "paths": ["/rows", "/transact"],
        }
        leases = [
            _lease(session, proxy.address, clock, name) for name in "abc"
        ]
        # The number of steps depends on when late writes take effect.
        for _ in range(MAX_STEPS):
            if len(fences) > TAKEOVERS:
                break
            clock.now += rng.choice((0.0, 0.3, 1.0, 1.0, 4.0, 9.0))
            lease = rng.choice(leases)
            await lease.renew()
            for item in leases:
                if not item.is_valid(clock.now):
                    continue
                # Orders of other holders have ended, even the longest.
                for other, end in ends.items():
                    assert other is item or end <= clock.now
                ends[item] = clock.now + TERMS.max_order_s
                if not fences or fences[-1] != item.fence:
                    fences.append(item.fence)
    assert len(fences) > TAKEOVERS
    assert fences == sorted(set(fences))


async def test_holder_renews_with_one_write_and_no_read():
    clock = Clock()
    async with serving.running("table") as (session, proxy, _):
        lease = _lease(session, proxy.address, clock, "a")
        await lease.renew()
        clock.now += 9.0
        assert await lease.renew(config=3)
        before = (lease.reads, lease.writes)
        for _ in range(5):
            clock.now += 2.0
            assert await lease.renew()
        after = (lease.reads, lease.writes)
    assert after == (before[0], before[1] + 5)
    assert lease.config == 3


async def test_successor_acquires_a_released_lease_at_once():
    clock = Clock()
    async with serving.running("table") as (session, proxy, _):
        first = _lease(session, proxy.address, clock, "a")
        second = _lease(session, proxy.address, clock, "b")
        await first.renew()
        clock.now += 9.0
        assert await first.renew()
        assert not await second.renew()
        assert await first.release()
        assert not first.is_valid(clock.now)
        assert await second.renew()
    assert second.fence == 2


async def test_lease_expires_while_the_store_is_unavailable():
    clock = Clock()
    async with serving.running("table") as (session, proxy, _):
        lease = _lease(session, proxy.address, clock, "a")
        await lease.renew()
        clock.now += 9.0
        assert await lease.renew()
        proxy.refuse = True
        clock.now += 4.9
        assert await lease.renew()
        clock.now += 0.2
        assert not await lease.renew()
        proxy.refuse = False
        # No other candidate acquired the lease, so there is no wait.
        assert await lease.renew()
    assert lease.fence == 1
