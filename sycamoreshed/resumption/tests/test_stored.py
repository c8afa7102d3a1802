"""Origins of streams that outlast all instances."""

import asyncio

import pytest

from sycamoreshed.errors import kinds
from sycamoreshed.membership import rendezvous
from sycamoreshed.resumption import origins
from sycamoreshed.resumption import stored
from sycamoreshed.resumption.tests import builders
from testkit import virtualtime

STREAMS = [f"s-{number}" for number in range(100)]
# Within which origins are written.
WRITTEN_S = 0.5
AWAY = kinds.Failure(kinds.Kind.STORE_AWAY, "status 503")


def run(scenario, **network):
    """Run a scenario with a network in simulated time."""

    async def start():
        built = builders.Network(**network)
        built.start()
        await asyncio.sleep(1.0)
        try:
            return await scenario(built)
        finally:
            built.stop()

    return virtualtime.run(start())


async def restart_all(network):
    """Lose all instances, and start them again."""
    for name in network.instances:
        network.restart(name)
    await asyncio.gather(
        *(
            each.stored_origins.load_after_start()
            for each in network.instances.values()
        )
    )


async def take_up_all(network, streams=STREAMS):
    """Return the version at which each stream goes on, or None."""
    bound = [
        await network.instances[max(network.instances)].bind(
            builders.request(f"again-{each}", resumes=each)
        )
        for each in streams
    ]
    return [
        None
        if isinstance(each, kinds.Failure)
        else each.origin.software_version
        for each in bound
    ]


@pytest.mark.parametrize("size", [1, 3, 9])
@pytest.mark.parametrize("version", ["v1", "v2"])
def test_streams_go_on_after_the_loss_of_all_instances(version, size):
    """Two versions serve on, and callers take their streams up."""

    async def scenario(network):
        await network.record("i-0", STREAMS, version)
        await asyncio.sleep(WRITTEN_S)
        await restart_all(network)
        return await take_up_all(network)

    assert set(run(scenario, size=size)) == {version}


def test_stream_that_was_not_written_is_not_joined():
    """All instances are lost before the store takes what began streams."""

    async def scenario(network):
        network.store.failure = AWAY
        await network.record("i-0", STREAMS, "v2")
        await asyncio.sleep(WRITTEN_S)
        network.store.failure = None
        await restart_all(network)
        return await take_up_all(network)

    assert set(run(scenario)) == {None}


def test_origins_are_written_when_the_store_is_back():
    """The store takes no writes for some seconds."""

    async def scenario(network):
        network.store.failure = AWAY
        await network.record("i-0", STREAMS, "v2")
        await asyncio.sleep(5.0)
        network.store.failure = None
        await asyncio.sleep(3.0)
        await restart_all(network)
        return await take_up_all(network)

    assert set(run(scenario)) == {"v2"}


def test_streams_before_a_release_are_written_when_it_begins():
    """All instances are lost shortly after a second version came."""

    async def scenario(network):
        await network.record("i-0", STREAMS)
        await asyncio.sleep(5.0)
        written = network.store.writes
        network.set_versions({"v1", "v2"})
        await asyncio.sleep(WRITTEN_S + 1.0)
        await restart_all(network)
        return written, await take_up_all(network)

    written, taken_up = run(scenario, serving={"v1"})
    assert written == 0
    assert set(taken_up) == {"v1"}


def test_instance_that_writes_is_replaced_when_it_is_lost():
    """Origins are sent to another instance of the zone."""

    async def scenario(network):
        members = [
            name
            for name, each in network.catalog.peers.items()
            if each.zone == "north-a"
        ]
        (writer,) = rendezvous.top("origins north-a", members, 1)
        members.remove(writer)
        network.lost.add(writer)
        await network.record(members[0], STREAMS, "v2")
        await asyncio.sleep(3.0)
        network.lost.clear()
        await restart_all(network)
        return await take_up_all(network)

    assert set(run(scenario)) == {"v2"}


def test_number_of_rows_and_writes_is_bounded():
    """Streams begin at all instances, for longer than rows are kept."""

    async def scenario(network):
        seconds = 2 * stored.SLOTS * stored.SLOT_MS / 1000
        for number in range(int(seconds * 4)):
            for name in network.instances:
                await network.record(name, [f"{name}-{number}"], "v1")
            await asyncio.sleep(0.25)
        await asyncio.sleep(WRITTEN_S)
        await restart_all(network)
        latest = [f"i-0-{number - back}" for back in range(20)]
        return (
            seconds,
            len(network.store.rows),
            network.store.writes,
            await take_up_all(network, latest),
        )

    seconds, rows, writes, taken_up = run(scenario)
    zones = 3
    assert rows <= zones * stored.SLOTS
    assert writes <= zones * seconds * 1000 / stored.SLOT_MS + zones
    assert set(taken_up) == {"v1"}


def test_rows_of_an_earlier_turn_are_not_read():
    """What began streams a minute ago is not taken up any more."""

    async def scenario(network):
        await network.record("i-0", STREAMS, "v2")
        await asyncio.sleep(origins.TTL_S + 1.0)
        await restart_all(network)
        return await take_up_all(network)

    assert set(run(scenario)) == {None}


def test_row_of_another_form_is_skipped():
    """Another version of the program may write rows of its own form."""

    async def scenario(network):
        network.store.rows["north-a/000"] = b'{"other": 1}'
        await network.record("i-0", STREAMS, "v2")
        await asyncio.sleep(WRITTEN_S)
        await restart_all(network)
        return await take_up_all(network)

    assert set(run(scenario)) == {"v2"}
