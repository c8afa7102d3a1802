"""What an instance believes of routes, keys and endpoints."""

import msgspec
import pytest

from sycamoreshed.catalog import catalog as catalogs
from sycamoreshed.catalog import updates
from sycamoreshed.platform import records
from testkit import journals
from testkit import wiredata


@pytest.fixture
def catalog():
    """Return an empty catalog."""
    return catalogs.Catalog(
        decode_configuration=records.decode_configuration,
        decode_endpoint=records.decode_endpoint,
        configuration_key="config",
        journal=journals.Journal(),
    )


def beats(*names, **changes):
    """Return rows of endpoints by id."""
    return {
        name: msgspec.json.encode(
            wiredata.beat(f"10.0.0.{number}:80", **changes)
        )
        for number, name in enumerate(names)
    }


def ids(catalog, now):
    """Return the ids of endpoints that may get requests."""
    return {each.id for each in catalog.endpoints("desk", now)}


def settings(version):
    """Return the row of a configuration."""
    document = wiredata.configuration(version)
    return {"config": msgspec.json.encode(document)}


def test_a_lower_version_is_never_taken(catalog):
    """A peer that was cut off tells an old configuration.

    Taken, a key that was revoked would be good again.
    """
    catalog.replace("settings", settings(7), 20, 0.0, source="store")
    catalog.replace("settings", settings(5), 30, 0.0, source="peer")
    assert catalog.configuration.version == 7


def test_a_configuration_that_cannot_be_read_changes_nothing(catalog):
    catalog.replace("settings", settings(7), 20, 0.0, source="store")
    catalog.replace("settings", {"config": b"{"}, 21, 0.0, source="store")
    assert catalog.configuration.version == 7


def test_an_endpoint_whose_entry_is_gone_gets_nothing(catalog):
    catalog.replace("endpoints", beats("a", "b"), 5, 0.0, source="store")
    catalog.apply("endpoints", [("a", None)], 5, 6, 9.0, source="store")
    assert ids(catalog, 9.0) == {"b"}


def test_entries_that_lapse_while_the_store_is_away_stay(catalog):
    """The store was away and dropped the entries of live endpoints.

    They cannot renew them meanwhile. Taken at its word, the instance
    would refuse everything in the moment of the store's return. After two
    seconds what is still missing is gone.
    """
    catalog.replace("endpoints", beats("a", "b"), 5, 0.0, source="store")
    catalog.regained(10.0)
    rows = [("a", None), ("b", None)]
    catalog.apply("endpoints", rows, 5, 6, 10.0, source="store")
    assert ids(catalog, 11.0) == {"a", "b"}
    back = list(beats("b").items())
    catalog.apply("endpoints", back, 6, 7, 11.0, source="store")
    assert ids(catalog, 10.0 + catalogs.LAPSE_S) == {"b"}


def test_a_leaver_does_not_come_back_by_lapsing(catalog):
    """An endpoint said that it leaves, and its entry goes in an outage."""
    leaving = beats("a", state="draining")
    catalog.replace("endpoints", leaving, 5, 0.0, source="store")
    catalog.regained(10.0)
    catalog.apply("endpoints", [("a", None)], 5, 6, 10.0, source="store")
    assert ids(catalog, 10.1) == set()


def test_a_leaver_in_a_dropped_history_is_seen(catalog):
    """A leaver is announced while nothing is heard.

    The history with it is dropped; the whole listing tells it all the
    same.
    """
    catalog.replace("endpoints", beats("a", "b"), 5, 0.0, source="store")
    rows = {**beats("b"), **beats("a", state="draining")}
    catalog.replace("endpoints", rows, 50, 1.0, source="store")
    assert ids(catalog, 1.0) == {"b"}


def test_a_peer_is_told_only_what_is_newer(catalog):
    catalog.replace("endpoints", beats("a"), 5, 1.0, source="store")
    catalog.confirm("endpoints", 1.0)
    news = updates.table_update(catalog, "endpoints", 4, 3.0)
    assert (news.version, set(news.rows), news.age_s) == (5, {"a"}, 2.0)
    assert updates.table_update(catalog, "endpoints", 5, 3.0).rows is None


def test_entries_that_lapsed_stay_where_a_peer_tells_it(catalog):
    """The store was away; another instance reaches it again first.

    Endpoints are about to renew their entries.  An instance that is told
    the table by the other one, and takes it at its word, drops all of
    them and refuses its callers for up to two seconds.
    """
    other = catalogs.Catalog(
        decode_configuration=records.decode_configuration,
        decode_endpoint=records.decode_endpoint,
        configuration_key="config",
        journal=journals.Journal(),
    )
    for each in (catalog, other):
        each.replace("endpoints", beats("a", "b"), 5, 0.0, source="store")
    other.regained(10.0)
    rows = [("a", None), ("b", None)]
    other.apply("endpoints", rows, 5, 6, 10.0, source="store")
    updates.apply_update(
        catalog,
        updates.table_update(other, "endpoints", 5, 10.5),
        20.5,
        "other",
    )
    assert ids(catalog, 20.6) == {"a", "b"}
    back = list(beats("b").items())
    other.apply("endpoints", back, 6, 7, 11.0, source="store")
    updates.apply_update(
        catalog,
        updates.table_update(other, "endpoints", 6, 11.0),
        21.0,
        "other",
    )
    assert ids(catalog, 21.9) == {"a", "b"}
    assert ids(catalog, 22.1) == {"b"}
