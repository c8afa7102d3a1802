"""Tests of what a catalog keeps when the store comes back from a copy."""

import msgspec
import pytest

from sycamoreshed.catalog import catalog as catalogs
from sycamoreshed.catalog import staleentries
from sycamoreshed.catalog import updates
from sycamoreshed.platform import records
from testkit import journals
from testkit import storepositions
from testkit import wiredata

at = storepositions.at
ADDRESS = "127.0.0.1:8001"
RESTORED = at(5, era=1)


def make_catalog():
    """Return an empty catalog."""
    return catalogs.Catalog(
        decode_configuration=records.decode_configuration,
        decode_endpoint=records.decode_endpoint,
        configuration_key="config",
        evacuated_zone=records.evacuated_zone,
        journal=journals.Journal(),
    )


@pytest.fixture
def catalog():
    """Return a catalog with the endpoints a and b, and a configuration."""
    result = make_catalog()
    rows = {"config": msgspec.json.encode(wiredata.configuration(7))}
    result.replace("settings", rows, at(9), 0.0, source="store")
    result.replace("endpoints", entries("a", "b"), at(9), 0.0, source="store")
    return result


def entries(*keys, **changes):
    """Return rows of endpoints."""
    return {
        key: msgspec.json.encode(wiredata.beat(ADDRESS, **changes))
        for key in keys
    }


def ids(catalog, now):
    """Return the ids of the endpoints that get new work."""
    return {each.id for each in catalog.endpoints("desk", now)}


def test_endpoint_that_had_said_that_it_leaves_gets_nothing_again(catalog):
    """Its older entry, from before it said so, is in the store's copy."""
    leaving = list(entries("a", state="draining").items())
    catalog.apply("endpoints", leaving, at(9), at(10), 1.0, source="store")
    rows = entries("a", "b")
    catalog.replace("endpoints", rows, RESTORED, 2.0, source="store")
    for now in (2.0, 2.0 + staleentries.HOLD_S, 300.0):
        assert ids(catalog, now) == {"b"}
        assert not catalog.takes_work(catalog.endpoint("a"), now)


def test_next_start_of_an_endpoint_that_had_left_gets_work(catalog):
    """Otherwise one with a lasting id would get nothing for good."""
    leaving = list(entries("a", state="draining").items())
    catalog.apply("endpoints", leaving, at(9), at(10), 1.0, source="store")
    catalog.replace(
        "endpoints", entries("a", "b"), RESTORED, 2.0, source="store"
    )
    restarted = list(entries("a", born=77).items())
    catalog.apply(
        "endpoints", restarted, RESTORED, at(6, era=1), 3.0, source="store"
    )
    assert ids(catalog, 3.0) == {"a", "b"}


def test_endpoint_whose_entry_had_been_removed_gets_nothing_at_once(catalog):
    """It ended without a word; the store's copy lists it once more."""
    catalog.apply(
        "endpoints", [("a", None)], at(9), at(10), 1.0, source="store"
    )
    catalog.replace(
        "endpoints", entries("a", "b"), RESTORED, 2.0, source="store"
    )
    assert ids(catalog, 2.0) == {"b"}
    # Still listed by then, it has renewed its entry.
    assert ids(catalog, 2.0 + staleentries.HOLD_S) == {"a", "b"}


def test_endpoint_that_had_registered_again_keeps_its_work(catalog):
    """An outage had removed its entry; it is not one that had left."""
    catalog.apply(
        "endpoints", [("a", None)], at(9), at(10), 1.0, source="store"
    )
    again = list(entries("a").items())
    catalog.apply("endpoints", again, at(10), at(11), 2.0, source="store")
    catalog.replace(
        "endpoints", entries("a", "b"), RESTORED, 3.0, source="store"
    )
    assert ids(catalog, 3.0) == {"a", "b"}


def test_endpoint_that_the_copy_lacks_is_kept_until_it_registers(catalog):
    """Those that started lately would get nothing until they write again."""
    catalog.replace("endpoints", entries("b"), RESTORED, 2.0, source="store")
    assert ids(catalog, 2.0) == {"a", "b"}
    assert ids(catalog, 2.0 + catalogs.EXPIRY_GRACE_S) == {"b"}


def test_older_configuration_of_the_copy_is_not_put_in_force(catalog):
    """A key that had been revoked would be accepted again."""
    rows = {"config": msgspec.json.encode(wiredata.configuration(5))}
    catalog.replace("settings", rows, RESTORED, 2.0, source="store")
    assert catalog.configuration.version == 7
    again = [("config", msgspec.json.encode(wiredata.configuration(8)))]
    catalog.apply(
        "settings", again, RESTORED, at(6, era=1), 3.0, source="store"
    )
    assert catalog.configuration.version == 8


def test_evacuated_zone_stays_so_until_operators_have_written_again(catalog):
    """The copy does not say so yet, and the zone would get requests."""
    zone = catalog.endpoint("a").zone
    row = (f"evacuate/{zone}", b"{}")
    catalog.apply("settings", [row], at(9), at(10), 1.0, source="store")
    catalog.replace("settings", {}, RESTORED, 2.0, source="store")
    assert ids(catalog, 2.0) == set()
    until = 2.0 + catalogs.EVACUATION_GRACE_S
    assert ids(catalog, until) == {"a", "b"}


def test_evacuation_that_was_written_again_does_not_lapse(catalog):
    """A zone would get requests although operators repeated their order."""
    zone = catalog.endpoint("a").zone
    row = (f"evacuate/{zone}", b"{}")
    catalog.apply("settings", [row], at(9), at(10), 1.0, source="store")
    catalog.replace("settings", {}, RESTORED, 2.0, source="store")
    catalog.apply(
        "settings", [row], RESTORED, at(6, era=1), 3.0, source="store"
    )
    assert ids(catalog, 2.0 + catalogs.EVACUATION_GRACE_S) == set()


def test_change_of_era_is_logged(catalog):
    """Operators could not tell why entries came and went."""
    catalog.replace("endpoints", entries("b"), RESTORED, 2.0, source="store")
    assert "store_restored" in catalog._journal.names()


def test_configuration_in_force_is_passed_on_although_its_row_is_lost(
    catalog,
):
    """An instance that started since has the older one of the copy."""
    rows = {"config": msgspec.json.encode(wiredata.configuration(5))}
    started = make_catalog()
    for each in (catalog, started):
        each.replace("settings", rows, RESTORED, 2.0, source="store")
    assert started.configuration.version == 5
    update = updates.table_update(catalog, "settings", RESTORED, 3.0)
    updates.apply_update(started, update, 3.0, "other")
    assert started.configuration.version == 7
    # Passed on by this instance as well, until its row is written again.
    assert started.unlisted_configuration is not None
    again = [("config", msgspec.json.encode(wiredata.configuration(7)))]
    started.apply(
        "settings", again, RESTORED, at(6, era=1), 4.0, source="store"
    )
    assert started.unlisted_configuration is None


def test_configuration_is_not_sent_where_its_row_is(catalog):
    """Each answer to an instance of the zone would carry it."""
    update = updates.table_update(catalog, "settings", at(9), 3.0)
    assert update.configuration is None
    update = updates.table_update(catalog, "endpoints", at(9), 3.0)
    assert update.configuration is None
