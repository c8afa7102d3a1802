from sycamoreshed.catalog import access
from sycamoreshed.catalog import catalog
from sycamoreshed.catalog import staleness
from testkit import journals


def make_catalog():
    return catalog.Catalog(
        decode_configuration=None,
        decode_endpoint=None,
        configuration_key="none",
        evacuated_zone=lambda _key: None,
        journal=journals.Journal(),
    )


def test_copy_that_nobody_confirms_is_logged_once():
    """An instance could serve by an old configuration for hours, unnoticed."""
    copies = make_catalog()
    journal = journals.Journal()
    monitor = staleness.StalenessMonitor(
        catalog=copies,
        access=access.StoreAccess(),
        journal=journal,
        clock=None,
        max_age_s=5.0,
    )
    copies.replace(catalog.SETTINGS, {}, 7, 0.0, source="store")
    copies.mark_current(catalog.SETTINGS, 0.0)
    for now in (4.0, 6.0, 7.0):
        monitor.check(now)
    copies.mark_current(catalog.SETTINGS, 8.0)
    monitor.check(8.5)
    assert journal.lines == [
        (
            "table_stale",
            {
                "table": "settings",
                "age_s": 6.0,
                "version": 7,
                "store_fails": False,
            },
        ),
        (
            "table_current",
            {"table": "settings", "version": 7, "for_s": 2.5},
        ),
    ]
