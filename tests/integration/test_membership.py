"""Instances join, fail and leave."""

import asyncio

from testkit import processes

ZONES = ["north-a", "north-a", "north-b", "south-a", "south-a"]
WAIT_S = 60.0


async def status(cluster, index):
    url = f"http://{cluster.daemons[index].control}/control/status"
    async with cluster.session.get(url) as answer:
        return await answer.json()


async def until_live(cluster, indexes, total):
    """Wait until each of some daemons counts `total` live instances."""
    async with asyncio.timeout(WAIT_S):
        for index in indexes:
            while True:
                if (await status(cluster, index))["live"]["total"] == total:
                    break
                await asyncio.sleep(0.1)


async def test_instances_find_each_other_and_notice_death_and_leave():
    """One instance is killed and another is stopped.

    If the others still counted them, their shares of the limits would stay
    unused.
    """
    async with processes.cluster(daemons=5, zones=ZONES) as cluster:
        await until_live(cluster, range(5), 5)
        zones = (await status(cluster, 0))["live"]["zones"]
        assert zones == {"north-a": 2, "north-b": 1, "south-a": 2}
        await cluster.daemons[1].kill()
        await until_live(cluster, (0, 2, 3, 4), 4)
        await cluster.daemons[4].stop()
        await until_live(cluster, (0, 2, 3), 3)
        await cluster.daemons[1].start()
        await until_live(cluster, (0, 1, 2, 3), 4)
