"""Network partitions between zones, and from the platform."""

import asyncio
import signal
import time

from testkit import processes
from tests.integration import controls

ZONES = ["north-a", "north-a", "north-b", "south-a", "south-a"]
NORTH = [0, 1, 2]
SOUTH = [3, 4]
SPECS = [
    {"kind": "plain", "name": "catalogue-1", "zone": "north-a"},
    {"kind": "plain", "name": "catalogue-2", "zone": "south-a"},
    {"kind": "plain", "name": "ballot-1", "zone": "north-a"},
]
NORTH_NAMES = ("entry-1", "entry-2", "entry-3", "catalogue-1", "ballot-1")
SOUTH_NAMES = ("entry-4", "entry-5", "catalogue-2")
PLATFORM = ("table", "objects", "instances", "weights")


async def live(cluster, indexes):
    counts = [
        (await controls.get(cluster, index, "/control/status"))["live"]
        for index in indexes
    ]
    return [item["total"] for item in counts]


async def until_live(cluster, indexes, total):
    async def reached():
        return await live(cluster, indexes) == [total] * len(indexes)

    await controls.until(reached)


async def until_version(cluster, indexes, version):
    async def reached():
        current = await controls.versions(cluster, indexes)
        return current == [version] * len(current)

    await controls.until(reached)


def cut(cluster, *, platform):
    """Cut the south off from the north, optionally from the platform."""
    unreachable = NORTH_NAMES + (PLATFORM if platform else ())
    cluster.cut(SOUTH, unreachable)
    cluster.cut(NORTH, SOUTH_NAMES)


def heal(cluster):
    cluster.cut([], NORTH_NAMES + SOUTH_NAMES + PLATFORM)


async def serves(cluster, index):
    """Return whether an instance serves a call from reachable endpoints.

    Until an unreachable endpoint is ejected, a call may wait for it until
    the deadline; the outcome is then "late", "failed" or "not-run".
    """
    status, _, body = await cluster.call(
        index, "catalogue", {"input": 1}, Deadline_Ms="1000"
    )
    assert status == 200 or body["outcome"] in ("late", "failed", "not-run")
    return status == 200


async def test_zone_cut_off_serves_on_and_converges_by_itself():
    """A zone is cut off from all other zones and the platform for a while.

    It serves its callers with its current configuration; a note accepted
    elsewhere meanwhile is applied once it is connected again, and no
    instance returns to an earlier version.
    """
    async with processes.cluster(
        daemons=5, zones=ZONES, specs=SPECS, proxied=True
    ) as cluster:
        await until_live(cluster, range(5), 5)
        await until_version(cluster, range(5), 1)
        cut(cluster, platform=True)
        status, _ = await cluster.apply(0, controls.team_note(1, "serra"))
        assert status == 200
        await until_version(cluster, NORTH, 2)
        await until_live(cluster, NORTH, 3)
        await until_live(cluster, SOUTH, 2)
        for index in SOUTH:
            await controls.until(lambda index=index: serves(cluster, index))
            for _ in range(10):
                assert await serves(cluster, index)
        assert await controls.versions(cluster, SOUTH) == [1, 1]
        # The zone cannot tell whether a key ran elsewhere; "not-run" needs
        # the caller's statement that the key is new.
        for repeat, outcome in (
            ({}, "outcome-unknown"),
            ({"Idempotency_Repeat": "true"}, "outcome-unknown"),
            ({"Idempotency_Repeat": "false"}, "not-run"),
        ):
            status, _, body = await cluster.call(
                3,
                "ballot",
                {"input": 1},
                Idempotency_Key="k",
                Deadline_Ms="1500",
                **repeat,
            )
            assert (status, body["outcome"]) == (503, outcome)
        heal(cluster)
        start = time.monotonic()
        await until_version(cluster, range(5), 2)
        configured = time.monotonic() - start
        await until_live(cluster, range(5), 5)
        converged = time.monotonic() - start
        print(f"after the cut: version {configured:.2f} s, ", end="")
        print(f"live counts {converged:.2f} s")
        for index in range(5):
            await controls.until(lambda index=index: serves(cluster, index))


async def test_regions_that_lose_each_other_keep_up_by_the_table():
    """Two regions are cut off from each other but not from the platform.

    A note accepted in either must reach both through the platform's table.
    """
    async with processes.cluster(
        daemons=5, zones=ZONES, specs=SPECS, proxied=True
    ) as cluster:
        await until_live(cluster, range(5), 5)
        cut(cluster, platform=False)
        start = time.monotonic()
        for version in (2, 3):
            index = 0 if version == 2 else 4
            note = controls.team_note(version - 1, f"t{version}")

            async def accepted(index=index, note=note):
                status, body = await cluster.apply(index, note)
                assert status in (200, 503)
                return status == 200

            await controls.until(accepted)
            await until_version(cluster, range(5), version)
        print(f"two notes in {time.monotonic() - start:.2f} s")
        heal(cluster)
        await until_live(cluster, range(5), 5)


async def test_paused_instance_wakes_into_the_present():
    """An instance is suspended for a while, as in a pause of its machine.

    Afterwards the others must count it as live again, and it must apply
    the current version.
    """
    async with processes.cluster(
        daemons=3, zones=ZONES[:3], specs=[]
    ) as cluster:
        await until_live(cluster, range(3), 3)
        daemon = cluster.daemons[1]
        daemon.send_signal(signal.SIGSTOP)
        await until_live(cluster, [0, 2], 2)
        await cluster.apply(0, controls.team_note(1, "serra"))
        await until_version(cluster, [0, 2], 2)
        daemon.send_signal(signal.SIGCONT)
        await until_version(cluster, range(3), 2)
        await until_live(cluster, range(3), 3)
        assert await asyncio.wait_for(daemon.stop(), 40) == 0
