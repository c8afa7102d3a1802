"""Tests of evacuated zones and cold endpoints in the catalog."""

import msgspec
import pytest

from sycamoreshed.catalog import catalog as catalogs
from sycamoreshed.platform import records
from testkit import journals
from testkit import storepositions
from testkit import wiredata

at = storepositions.at

COLD_START_S = 3.0
ZONES = ("north-a", "south-a")


@pytest.fixture
def catalog():
    """Return a catalog with an endpoint in each zone, cold for 3 s at first.

    The endpoints were there before this instance started.
    """
    result = catalogs.Catalog(
        decode_configuration=records.decode_configuration,
        decode_endpoint=records.decode_endpoint,
        configuration_key="config",
        evacuated_zone=records.evacuated_zone,
        journal=journals.Journal(),
    )
    service = wiredata.service(cold_start_s=COLD_START_S, cold_per_s=11.0)
    document = wiredata.configuration(services=[service])
    rows = {"config": msgspec.json.encode(document)}
    result.replace("settings", rows, at(1), 0.0, source="store")
    entries = {zone: entry(zone) for zone in ZONES}
    result.replace("endpoints", entries, at(1), 0.0, source="store")
    return result


def entry(zone, **changes):
    """Return the bytes of an endpoint's entry."""
    document = wiredata.beat("10.0.0.1:80", zone=zone, **changes)
    return msgspec.json.encode(document)


def zones(catalog, now=0.0):
    """Return the zones whose endpoints may get requests."""
    return {each.zone for each in catalog.endpoints("desk", now)}


def is_cold(catalog, key, now):
    """Return whether an endpoint is cold."""
    return catalog.is_cold(catalog.endpoint(key), now)


def test_endpoints_of_an_evacuated_zone_get_nothing_until_it_is_restored(
    catalog,
):
    row = ("evacuate/north-a", b"{}")
    catalog.apply("settings", [row], at(1), at(2), 5.0, source="store")
    assert zones(catalog) == {"south-a"}
    assert catalog.evacuations.ages(7.0) == {"north-a": 2.0}
    row = ("evacuate/north-a", None)
    catalog.apply("settings", [row], at(2), at(3), 9.0, source="store")
    assert zones(catalog) == set(ZONES)


def test_an_evacuation_holds_for_endpoints_that_register_later(catalog):
    """An endpoint that started in an evacuated zone was used at once."""
    row = ("evacuate/north-a", b"{}")
    catalog.apply("settings", [row], at(1), at(2), 5.0, source="store")
    catalog.apply(
        "endpoints",
        [("new", entry("north-a"))],
        at(1),
        at(3),
        6.0,
        source="store",
    )
    assert zones(catalog) == {"south-a"}


def test_an_evacuation_holds_for_endpoints_that_lapsed(catalog):
    """The store recovered, and a zone was used although it is evacuated."""
    row = ("evacuate/north-a", b"{}")
    catalog.apply("settings", [row], at(1), at(2), 5.0, source="store")
    catalog.on_store_recovered(6.0)
    catalog.replace("endpoints", {}, at(4), 6.0, source="store")
    assert zones(catalog, 6.5) == {"south-a"}


def test_a_full_copy_restores_a_zone_whose_row_it_lacks(catalog):
    """A zone stayed unused after the store had dropped its history."""
    row = ("evacuate/north-a", b"{}")
    catalog.apply("settings", [row], at(1), at(2), 5.0, source="store")
    rows = dict(catalog.replica("settings").rows)
    del rows["evacuate/north-a"]
    catalog.replace("settings", rows, at(4), 9.0, source="peer")
    assert zones(catalog) == set(ZONES)


def test_an_endpoint_is_cold_for_as_long_as_it_says(catalog):
    row = ("north-a", entry("north-a", cold_ms=4000))
    catalog.apply("endpoints", [row], at(1), at(2), 10.0, source="store")
    assert is_cold(catalog, "north-a", 13.9)
    assert not is_cold(catalog, "north-a", 14.1)
    assert not is_cold(catalog, "south-a", 10.0)
    assert catalog.count_cold(10.0) == 1


def test_other_changes_do_not_make_an_endpoint_cold_for_longer(catalog):
    """Each change of another entry made it cold for the same time again."""
    row = ("north-a", entry("north-a", cold_ms=4000))
    catalog.apply("endpoints", [row], at(1), at(2), 10.0, source="store")
    row = ("south-a", entry("south-a", slots=9))
    catalog.apply("endpoints", [row], at(2), at(3), 13.0, source="store")
    assert not is_cold(catalog, "north-a", 14.1)


@pytest.mark.parametrize(
    ("key", "changes"), [("new", {}), ("north-a", {"born": 1800000000000})]
)
def test_an_endpoint_that_has_just_started_is_cold(catalog, key, changes):
    """A started endpoint got the load of a warm one until it said more."""
    row = (key, entry("north-a", **changes))
    catalog.apply("endpoints", [row], at(1), at(2), 10.0, source="store")
    assert is_cold(catalog, key, 10.0 + COLD_START_S - 0.1)
    assert not is_cold(catalog, key, 10.0 + COLD_START_S + 0.1)


def test_endpoints_from_before_the_start_are_warm(catalog):
    """All endpoints counted as cold after a start of this instance."""
    assert catalog.count_cold(0.0) == 0
