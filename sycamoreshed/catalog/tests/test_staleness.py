import asyncio

import pytest

from sycamoreshed.catalog import access
from sycamoreshed.catalog import catalog
from sycamoreshed.catalog import staleness
from testkit import journals
from testkit import storepositions

at = storepositions.at


def make_catalog():
    return catalog.Catalog(
        decode_configuration=None,
        decode_endpoint=None,
        configuration_key="none",
        evacuated_zone=lambda _key: None,
        journal=journals.Journal(),
    )


def make_monitor(copies, store_access, journal):
    return staleness.StalenessMonitor(
        catalog=copies,
        access=store_access,
        journal=journal,
        clock=None,
        max_age_s=5.0,
    )


def test_copy_that_nobody_confirms_is_logged_once():
    """An instance could serve by an old configuration for hours, unnoticed."""
    copies = make_catalog()
    journal = journals.Journal()
    monitor = make_monitor(copies, access.StoreAccess(), journal)
    copies.replace(catalog.SETTINGS, {}, at(7), 0.0, source="store")
    copies.mark_current(catalog.SETTINGS, at(7), 0.0)
    for now in (4.0, 6.0, 7.0):
        monitor.check(now)
    copies.mark_current(catalog.SETTINGS, at(7), 8.0)
    monitor.check(8.5)
    assert journal.lines == [
        (
            "table_stale",
            {
                "table": "settings",
                "age_s": 6.0,
                "era": 0,
                "version": 7,
                "store_fails": False,
            },
        ),
        (
            "table_current",
            {"table": "settings", "era": 0, "version": 7, "for_s": 2.5},
        ),
    ]


async def test_stale_table_is_read_from_the_store():
    """Nobody relays a table whose reader took over and then went silent."""
    copies = make_catalog()
    store_access = access.StoreAccess()
    monitor = make_monitor(copies, store_access, journals.Journal())
    copies.replace(catalog.SETTINGS, {}, at(7), 0.0, source="store")
    copies.mark_current(catalog.SETTINGS, at(7), 0.0)
    store_access.enable(False)
    monitor.check(4.0)
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.01):
            await store_access.wait_enabled()
    monitor.check(6.0)
    async with asyncio.timeout(1.0):
        await store_access.wait_enabled()
