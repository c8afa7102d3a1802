"""One instance of a zone reads the store for all, and may fail."""

import asyncio

import pytest

from sycamoreshed.catalog import readerselection
from sycamoreshed.catalog import updates
from testkit import relayzone
from testkit import virtualtime

SIZE = 32
START_S = 3.0
SETTLE_S = 9.0
BOUNDS = [(5.0, 5.0), (5.0, 4.0)]


def played(scenario, **zone):
    """Run a scenario on a zone that has settled; return its result."""

    async def run():
        made = relayzone.Zone(**{"size": SIZE, **zone})
        await asyncio.sleep(START_S)
        made.started_calls = made.store.calls
        await asyncio.sleep(SETTLE_S)
        try:
            return await scenario(made)
        finally:
            await made.stop()

    return virtualtime.run(run())


def test_a_zone_has_one_reader():
    """All instances of a large zone would read the store for themselves."""

    async def scenario(zone):
        before = zone.store.calls
        await asyncio.sleep(20.0)
        return zone.readers, zone.store.calls - before

    readers, calls = played(scenario)
    assert len(readers) == 1
    # Three tables, each call held for 3.5 s.
    assert calls <= 3 * 20.0 / 3.5 + 3


def test_a_small_zone_reads_for_itself():
    """A reader asks more often, which two others do not make up for."""

    async def scenario(zone):
        return zone.readers

    assert played(scenario, size=3, stable_s=4.0, apply_s=2.5) == set()


def test_readers_are_not_the_smallest_instances():
    """A small instance would be late with what it tells all others."""

    async def scenario(zone):
        return zone.readers

    large = ("i-7", "i-19")
    readers = played(
        scenario, cores=lambda number: 2.15 if number in (7, 19) else 0.516
    )
    assert readers <= set(large)


def test_a_start_beside_a_reader_costs_the_first_reads_only():
    """Instances that restart together would each follow three tables."""

    async def scenario(zone):
        return zone.started_calls

    # A call for each table, and a few of the reader.
    assert played(scenario) <= 3 * SIZE + 12


def test_a_reader_that_knows_nothing_yet_holds_the_call():
    """Whoever asks it would ask again at once, as often as it can."""

    async def scenario(zone):
        zone.store.refuses.add("late")
        unready = zone.add("late")
        began = zone.clock()
        asked = updates.WatchRequest({"settings": 1}, False, 1.0)
        await unready.watch_server.answer(asked)
        return zone.clock() - began

    assert played(scenario) >= 1.0


def test_a_change_is_told_at_once():
    """Instances would serve by the old configuration until they ask again."""

    async def scenario(zone):
        return await zone.change(2)

    late = played(scenario)
    assert len(late) == SIZE
    assert max(late.values()) < 0.2


@pytest.mark.parametrize("stable_s, apply_s", BOUNDS)
@pytest.mark.parametrize("after_s", [0.0, 0.7, 1.9])
def test_a_change_is_known_in_time_though_the_reader_is_silent(
    stable_s, apply_s, after_s
):
    """A reader that freezes would keep what it knows from its zone."""

    async def scenario(zone):
        zone.silent |= zone.readers
        zone.store.ignores |= zone.readers
        await asyncio.sleep(after_s)
        return await zone.change(2)

    late = played(scenario, stable_s=stable_s, apply_s=apply_s)
    assert len(late) == SIZE - 1
    assert max(late.values()) < apply_s


@pytest.mark.parametrize("stable_s, apply_s", BOUNDS)
@pytest.mark.parametrize("fault", ["ignores", "refuses"])
@pytest.mark.parametrize("after_s", [0.0, 1.0, 3.0])
def test_a_change_is_known_in_time_though_the_reader_is_cut_off(
    stable_s, apply_s, fault, after_s
):
    """A reader without the store would go on telling that nothing changed."""

    async def scenario(zone):
        getattr(zone.store, fault).update(zone.readers)
        await asyncio.sleep(after_s)
        return await zone.change(2)

    late = played(scenario, stable_s=stable_s, apply_s=apply_s)
    assert len(late) >= SIZE - 1
    assert max(late.values()) < apply_s


def test_a_store_that_is_away_is_not_overrun():
    """Each instance would ask three times a second for as long as it lasts."""

    async def scenario(zone):
        zone.store.refuses.update(zone.instances)
        before = zone.store.calls
        await asyncio.sleep(10.0)
        calls = zone.store.calls - before
        zone.store.refuses.clear()
        late = await zone.change(2)
        return calls, late

    calls, late = played(scenario)
    assert calls <= 10.0 * (SIZE + 3)
    assert len(late) == SIZE
    assert max(late.values()) < 2.0


def test_everybody_hears_again_from_one_reader_after_a_fault():
    """Calls at the store would stay as many as during the fault."""

    async def scenario(zone):
        first = zone.readers
        zone.silent |= first
        await asyncio.sleep(20.0)
        second = zone.readers
        zone.silent.clear()
        await asyncio.sleep(20.0)
        before = zone.store.calls
        await asyncio.sleep(20.0)
        return first, second, zone.readers, zone.store.calls - before

    first, second, last, calls = played(scenario)
    assert first == last
    assert second - first
    assert calls <= 3 * 20.0 / 3.5 + 3


def test_a_reader_has_to_save_calls():
    assert readerselection.reader_wait(5.0, 0.5) == 3.5
    assert (
        readerselection.reader_wait(0.5, 0.5) == readerselection.LEAST_WAIT_S
    )
