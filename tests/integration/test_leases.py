"""The lease on sending a zone's orders, with real processes."""

import asyncio

from testkit import processes
from tests.integration import test_orders as zone

TABLE = ["table"]


async def _row(cluster):
    return await cluster.get("table", f"/rows/leases%2Forders%2F{zone.ZONE}")


async def _orders(cluster, specs):
    return sum(await zone.counts(cluster, zone.names(specs), "orders"))


async def test_successor_takes_over_when_the_holder_is_killed():
    """The lease holder is killed while a version is partly rolled out.

    Without a successor the remaining engines would never be ordered to
    load it.
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
    """A lease holder that is stopped releases its lease.

    Otherwise each planned stop leaves a zone without orders for the
    duration of the lease and of the longest order.
    """
    specs = zone.engines(1)
    async with processes.cluster(
        daemons=2, specs=specs, **zone.FAST
    ) as cluster:
        first = await zone.holder(cluster)
        successor = cluster.daemons[1 - first]
        await successor.stop()
        # Its wait is longer than the test: only a release can end it.
        successor.document["order_longest_s"] = 1000.0
        await successor.start()
        before = (await _row(cluster))["value"]
        assert await cluster.daemons[first].stop() == 0
        await zone.holder(cluster, [1 - first])
        fence = (await _row(cluster))["value"]["fence"]
    assert fence == before["fence"] + 1


async def test_lost_answer_of_a_lease_write_changes_nothing():
    """The store applies the holder's renewal, but its answer is lost.

    A holder that recognizes its lease only by the row's version would wait
    for that lease to end, and the zone would get no orders.
    """
    specs = zone.engines(1)
    async with processes.cluster(specs=specs, **zone.FAST) as cluster:
        await zone.holder(cluster)
        before = (await _row(cluster))["value"]
        for _ in range(3):
            at = (await _row(cluster))["version"]
            await cluster.faults("table", lose_next=1, paths=["/transact"])
            await zone.until(
                lambda version=at: _is_past(cluster, version),
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
    """The platform's store is unavailable for longer than a lease.

    No instance may send orders, since none can verify that it holds the
    lease; callers are served by the loaded models.  Once the store is
    available again, orders that became due meanwhile must be sent.
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
    # The test itself sent one order.
    assert during == before + 1
    assert served == 200
    assert after > during


async def _nobody_holds(cluster):
    holds = [(await zone.status(cluster, index))["holds"] for index in (0, 1)]
    return not any(holds)


async def _unload(cluster, name):
    state = await cluster.get(name, "/state")
    order = {"fence": state["fence"], "config": 0, "target": None}
    url = f"http://{cluster.addresses[name]}/orders"
    async with cluster.session.post(url, json=order) as answer:
        assert answer.status == 200


async def test_row_that_was_lost_does_not_stop_orders_for_ever():
    """An engine has seen a higher fencing number than the lease's row has.

    This happens when the store loses the row, so that the number restarts
    at 1.  Engines that check fencing numbers would reject all orders from
    then on.
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
