"""Tests of zones in which one instance reads the store for all."""

import asyncio

import pytest

from sycamoreshed.catalog import catalog as catalogs
from sycamoreshed.catalog import readerselection
from sycamoreshed.catalog import updates
from testkit import relayzone
from testkit import storepositions
from testkit import virtualtime

SIZE = 32
START_S = 3.0
SETTLE_S = 9.0
BOUNDS = [(5.0, 5.0), (5.0, 4.0)]


def run_scenario(scenario, **zone):
    """Run a scenario on a zone after its start; return its result."""

    async def run():
        running = relayzone.Zone(**{"size": SIZE, **zone})
        await asyncio.sleep(START_S)
        running.startup_calls = running.store.calls
        await asyncio.sleep(SETTLE_S)
        try:
            return await scenario(running)
        finally:
            await running.stop()

    return virtualtime.run(run())


def test_zone_has_one_reader():
    """Otherwise each instance of a large zone would read the store itself."""

    async def scenario(zone):
        before = zone.store.calls
        await asyncio.sleep(20.0)
        return zone.readers, zone.store.calls - before

    readers, calls = run_scenario(scenario)
    assert len(readers) == 1
    # Calls for three tables, each held for 3.5 s.
    assert calls <= 3 * 20.0 / 3.5 + 3


def test_small_zone_has_no_reader():
    """A reader calls more often, which offsets the calls that two save."""

    async def scenario(zone):
        return zone.readers

    assert run_scenario(scenario, size=3, stable_s=4.0, apply_s=2.5) == set()


def test_small_instances_are_not_readers():
    """A small instance would send its updates to all others late."""

    async def scenario(zone):
        return zone.readers

    large = ("i-7", "i-19")
    readers = run_scenario(
        scenario, cores=lambda number: 2.15 if number in (7, 19) else 0.516
    )
    assert readers <= set(large)


def test_start_with_a_reader_makes_only_the_first_reads():
    """Otherwise each restarted instance would follow three tables itself."""

    async def scenario(zone):
        return zone.startup_calls

    # One call for each table, and a few of the reader.
    assert run_scenario(scenario) <= 3 * SIZE + 12


def test_reader_that_is_not_ready_holds_the_request():
    """Otherwise its watchers would repeat the request without a pause."""

    async def scenario(zone):
        zone.store.refuses.add("late")
        unready = zone.add("late")
        started_at = zone.clock()
        request = updates.WatchRequest(
            {"settings": storepositions.at(1)}, False, 1.0
        )
        await unready.watch_server.answer(request)
        return zone.clock() - started_at

    assert run_scenario(scenario) >= 1.0


def test_change_is_passed_on_at_once():
    """Otherwise instances would use the old configuration until a new poll."""

    async def scenario(zone):
        return await zone.change(2)

    delays = run_scenario(scenario)
    assert len(delays) == SIZE
    assert max(delays.values()) < 0.2


@pytest.mark.parametrize("stable_s, apply_s", BOUNDS)
@pytest.mark.parametrize("after_s", [0.0, 0.7, 1.9])
def test_change_arrives_in_time_when_the_reader_is_unresponsive(
    stable_s, apply_s, after_s
):
    """A reader that hangs passes no changes on to its zone."""

    async def scenario(zone):
        zone.unresponsive |= zone.readers
        zone.store.ignores |= zone.readers
        await asyncio.sleep(after_s)
        return await zone.change(2)

    delays = run_scenario(scenario, stable_s=stable_s, apply_s=apply_s)
    assert len(delays) == SIZE - 1
    assert max(delays.values()) < apply_s


@pytest.mark.parametrize("stable_s, apply_s", BOUNDS)
@pytest.mark.parametrize("fault", ["ignores", "refuses"])
@pytest.mark.parametrize("after_s", [0.0, 1.0, 3.0])
def test_change_arrives_in_time_when_the_reader_lacks_the_store(
    stable_s, apply_s, fault, after_s
):
    """A reader that cannot reach the store passes no changes on."""

    async def scenario(zone):
        getattr(zone.store, fault).update(zone.readers)
        await asyncio.sleep(after_s)
        return await zone.change(2)

    delays = run_scenario(scenario, stable_s=stable_s, apply_s=apply_s)
    assert len(delays) >= SIZE - 1
    assert max(delays.values()) < apply_s


def test_unavailable_store_gets_few_calls():
    """Otherwise each instance would make three calls a second in an outage."""

    async def scenario(zone):
        zone.store.refuses.update(zone.instances)
        before = zone.store.calls
        await asyncio.sleep(10.0)
        calls = zone.store.calls - before
        zone.store.refuses.clear()
        delays = await zone.change(2)
        return calls, delays

    calls, delays = run_scenario(scenario)
    assert calls <= 10.0 * (SIZE + 3)
    assert len(delays) == SIZE
    assert max(delays.values()) < 2.0


def test_zone_returns_to_one_reader_after_a_fault():
    """Otherwise the store would get as many calls as during the fault."""

    async def scenario(zone):
        first = zone.readers
        zone.unresponsive |= first
        await asyncio.sleep(20.0)
        second = zone.readers
        zone.unresponsive.clear()
        await asyncio.sleep(20.0)
        before = zone.store.calls
        await asyncio.sleep(20.0)
        return first, second, zone.readers, zone.store.calls - before

    first, second, last, calls = run_scenario(scenario)
    assert first == last
    assert second - first
    assert calls <= 3 * 20.0 / 3.5 + 3


@pytest.mark.parametrize("lost", [1, 40])
@pytest.mark.parametrize("is_reader_away", [False, True])
def test_change_arrives_after_the_store_came_back(lost, is_reader_away):
    """Copies were held back, as their versions were those of another era."""

    async def scenario(zone):
        backup = zone.store.backup()
        for number in range(lost):
            zone.store.put(catalogs.SETTINGS, f"row-{number}", b"")
        await zone.change(2)
        if is_reader_away:
            zone.store.refuses |= zone.readers
            zone.unresponsive |= zone.readers
        zone.store.restore(backup)
        zone.store.put(catalogs.SETTINGS, "config", b"2")
        await asyncio.sleep(5.0)
        zone.store.refuses.clear()
        zone.unresponsive.clear()
        delays = await zone.change(3)
        rows = [
            each.catalog.replica(catalogs.SETTINGS).rows
            for each in zone.instances.values()
        ]
        return delays, rows

    delays, rows = run_scenario(scenario)
    assert len(delays) == SIZE
    assert max(delays.values()) < 5.0
    # What the store lost does not stay at any instance.
    assert all(set(each) == {"config"} for each in rows)


def test_store_that_came_back_is_not_read_by_all_for_long():
    """A zone of instances that read in a loop uses up the store's rate."""

    async def scenario(zone):
        backup = zone.store.backup()
        for number in range(40):
            zone.store.put(catalogs.SETTINGS, f"row-{number}", b"")
        await asyncio.sleep(1.0)
        zone.store.restore(backup)
        before = zone.store.calls
        await asyncio.sleep(20.0)
        return zone.readers, zone.store.calls - before

    readers, calls = run_scenario(scenario)
    assert len(readers) == 1
    # Each instance may read the three tables a few times.
    assert calls <= 3 * (20.0 / 3.5 + 1) + 9 * SIZE


def test_reader_wait():
    assert readerselection.reader_wait(5.0, 0.5) == 3.5
    assert readerselection.reader_wait(0.5, 0.5) == readerselection.MIN_WAIT_S
