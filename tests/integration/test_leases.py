"""The lease on a zone's orders, through real processes."""

import asyncio

from testkit import processes
from tests.integration import test_orders as zone

TABLE = ["table"]


async def _row(cluster):
    return await cluster.get("table", f"/rows/leases%2Forders%2F{zone.ZONE}")


async def _orders(cluster, specs):
    return sum(await zone.counts(cluster, zone.names(specs), "orders"))


async def test_successor_takes_over_when_the_holder_is_killed():
    """The machine of the holder goes away with a version half given out.

    Operators would wait for ever for the rest if nobody took over.
    """
    specs = zone.engines(2)
    async with processes.cluster(
        daemons=3, specs=specs, **zone.FAST
    ) as cluster:
        await zone.place(cluster, 1, "added", zone.placement("v1", 2))
        await zone.until_loaded(cluster, zone.names(specs), "v1")
        first = await zone.holder(cluster)
        fence = (await _row(cluster))["value"]["fence"]
        await cluster.daemons[first].kill()
        others = [index for index in range(3) if index != first]
        await zone.place(
            cluster,
            2,
            "changed",
            zone.placement("v2", 2),
            index=others[0],
        )
        await zone.until_loaded(cluster, zone.names(specs), "v2")
        after = (await _row(cluster))["value"]["fence"]
    assert after > fence


async def test_drained_holder_hands_over_without_the_wait():
    """An operator stops the holder; it releases what it holds.

    Otherwise each planned stop would leave a zone without orders for the
    whole lease and the longest order.
    """
    specs = zone.engines(1)
    async with processes.cluster(
        daemons=2, specs=specs, **zone.FAST
    ) as cluster:
        first = await zone.holder(cluster)
        successor = cluster.daemons[1 - first]
        await successor.stop()
        # Its wait is longer than the test: only the release helps.
        successor.document["order_longest_s"] = 1000.0
        await successor.start()
        held = (await _row(cluster))["value"]
        assert await cluster.daemons[first].stop() == 0
        await zone.holder(cluster, [1 - first])
        fence = (await _row(cluster))["value"]["fence"]
    assert fence == held["fence"] + 1


async def test_lost_answer_of_a_lease_write_changes_nothing():
    """The store takes the holder's renewal and its answer is lost.

    Went the holder by the row's version, it would wait behind itself and
    the zone would get no orders.
    """
    specs = zone.engines(1)
    async with processes.cluster(specs=specs, **zone.FAST) as cluster:
        await zone.holder(cluster)
        before = (await _row(cluster))["value"]
        for _ in range(3):
            at = (await _row(cluster))["version"]
            await cluster.faults("table", lose_next=1, paths=["/transact"])
            await zone.until(
                lambda least=at: _is_past(cluster, least),
                what="a renewal without an answer",
            )
            await zone.holder(cluster)
        await zone.place(cluster, 1, "added", zone.placement("v1", 1))
        await zone.until_loaded(cluster, zone.names(specs), "v1")
        after = (await _row(cluster))["value"]
    assert after["fence"] == before["fence"]


async def _is_past(cluster, version):
    return (await _row(cluster))["version"] > version


async def test_no_orders_without_the_store_and_all_of_them_after():
    """The platform's store goes away for longer than a lease.

    Nobody may give orders, since nobody can know who holds the lease;
    callers are served by what is loaded.
    """
    specs = [*zone.engines(2), {"kind": "plain", "name": "catalogue-1"}]
    engine_names = ["language-1", "language-2"]
    async with processes.cluster(
        daemons=2, specs=specs, proxied=True, **zone.FAST
    ) as cluster:
        await zone.place(cluster, 1, "added", zone.placement("v1", 2))
        await zone.until_loaded(cluster, engine_names, "v1")
        cluster.cut([0, 1], TABLE)
        await zone.until(
            lambda: _nobody_holds(cluster), what="the lease running out"
        )
        before = await _orders(cluster, specs[:2])
        # An engine loses its model, as after a restart of its process.
        await _unload(cluster, "language-2")
        await asyncio.sleep(3 * zone.FAST["lease_s"])
        during = await _orders(cluster, specs[:2])
        served, _, _ = await cluster.call(0, "catalogue", {"input": 1})
        cluster.cut([], TABLE)
        await zone.until_loaded(cluster, engine_names, "v1")
        after = await _orders(cluster, specs[:2])
    # The one order is the test's own.
    assert during == before + 1
    assert served == 200
    assert after > during


async def _nobody_holds(cluster):
    found = [(await zone.status(cluster, index))["holds"] for index in (0, 1)]
    return not any(found)


async def _unload(cluster, name):
    state = await cluster.get(name, "/state")
    order = {"fence": state["fence"], "config": 0, "target": None}
    url = f"http://{cluster.addresses[name]}/orders"
    async with cluster.session.post(url, json=order) as answer:
        assert answer.status == 200


async def test_row_that_was_lost_does_not_stop_orders_for_ever():
    """The store loses the lease's row; its number begins again at one.

    Engines that check would refuse every order from then on.
    """
    specs = zone.engines(1, checks_orders=True)
    async with processes.cluster(specs=specs, **zone.FAST) as cluster:
        name = zone.names(specs)[0]
        url = f"http://{cluster.addresses[name]}/orders"
        order = {"fence": 40, "config": 0, "target": None}
        async with cluster.session.post(url, json=order) as answer:
            assert answer.status == 200
        await zone.place(cluster, 1, "added", zone.placement("v1", 1))
        await zone.until_loaded(cluster, [name], "v1")
        state = await cluster.get(name, "/state")
    assert state["fence"] > 40
