"""Tests of the catalog's configuration and endpoints."""

import msgspec
import pytest

from sycamoreshed.catalog import catalog as catalogs
from sycamoreshed.catalog import updates
from sycamoreshed.platform import records
from testkit import journals
from testkit import storepositions
from testkit import wiredata

at = storepositions.at


@pytest.fixture
def catalog():
    """Return an empty catalog."""
    return catalogs.Catalog(
        decode_configuration=records.decode_configuration,
        decode_endpoint=records.decode_endpoint,
        configuration_key="config",
        evacuated_zone=records.evacuated_zone,
        journal=journals.Journal(),
    )


def endpoint_rows(*names, **changes):
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


def test_lower_configuration_version_is_ignored(catalog):
    """A peer without access to the store sends an old configuration.

    Applying it would make a revoked key valid again.
    """
    catalog.replace("settings", settings(7), at(20), 0.0, source="store")
    catalog.replace("settings", settings(5), at(30), 0.0, source="peer")
    assert catalog.configuration.version == 7


def test_invalid_configuration_is_ignored(catalog):
    catalog.replace("settings", settings(7), at(20), 0.0, source="store")
    catalog.replace("settings", {"config": b"{"}, at(21), 0.0, source="store")
    assert catalog.configuration.version == 7


def test_endpoint_without_entry_gets_no_requests(catalog):
    catalog.replace(
        "endpoints", endpoint_rows("a", "b"), at(5), 0.0, source="store"
    )
    catalog.apply(
        "endpoints", [("a", None)], at(5), at(6), 9.0, source="store"
    )
    assert ids(catalog, 9.0) == {"b"}


def test_endpoints_are_retained_after_a_store_outage(catalog):
    """The store was unavailable and dropped the entries of live endpoints.

    They could not renew them meanwhile.  Without the grace period the
    instance would refuse all requests when the store recovers.  Entries
    still missing after two seconds are dropped.
    """
    catalog.replace(
        "endpoints", endpoint_rows("a", "b"), at(5), 0.0, source="store"
    )
    catalog.on_store_recovered(10.0)
    rows = [("a", None), ("b", None)]
    catalog.apply("endpoints", rows, at(5), at(6), 10.0, source="store")
    assert ids(catalog, 11.0) == {"a", "b"}
    renewed = list(endpoint_rows("b").items())
    catalog.apply("endpoints", renewed, at(6), at(7), 11.0, source="store")
    assert ids(catalog, 10.0 + catalogs.EXPIRY_GRACE_S) == {"b"}


def test_draining_endpoint_is_not_retained_after_an_outage(catalog):
    """The entry of a draining endpoint disappears during a store outage."""
    leaving = endpoint_rows("a", state="draining")
    catalog.replace("endpoints", leaving, at(5), 0.0, source="store")
    catalog.on_store_recovered(10.0)
    catalog.apply(
        "endpoints", [("a", None)], at(5), at(6), 10.0, source="store"
    )
    assert ids(catalog, 10.1) == set()


def test_full_read_shows_draining_missed_in_the_history(catalog):
    """An endpoint starts draining while the instance gets no changes.

    The store drops that part of its history; the full read still has the
    endpoint's state.
    """
    catalog.replace(
        "endpoints", endpoint_rows("a", "b"), at(5), 0.0, source="store"
    )
    rows = {**endpoint_rows("b"), **endpoint_rows("a", state="draining")}
    catalog.replace("endpoints", rows, at(50), 1.0, source="store")
    assert ids(catalog, 1.0) == {"b"}


def test_update_has_rows_only_for_an_older_copy(catalog):
    catalog.replace(
        "endpoints", endpoint_rows("a"), at(5), 1.0, source="store"
    )
    catalog.mark_current("endpoints", at(5), 1.0)
    update = updates.table_update(catalog, "endpoints", at(4), 3.0)
    assert (update.position, set(update.rows)) == (at(5), {"a"})
    assert update.age_s == 2.0
    assert updates.table_update(catalog, "endpoints", at(5), 3.0).rows is None


def test_copy_is_not_current_as_of_another_position(catalog):
    """An answer that was not taken made an old copy count as young."""
    catalog.replace("endpoints", {}, at(5, era=1), 1.0, source="store")
    catalog.mark_current("endpoints", at(5, era=1), 1.0)
    for other in (at(4, era=1), at(6, era=1), at(5), at(5, era=2)):
        catalog.mark_current("endpoints", other, 9.0)
    assert catalog.age("endpoints", 9.0) == 8.0


def test_grace_period_is_passed_on_to_peers(catalog):
    """Another instance reaches the recovered store first.

    Endpoints have yet to renew their entries.  An instance that applies the
    other one's table without a grace period would drop all endpoints and
    refuse its callers for up to two seconds.
    """
    other = catalogs.Catalog(
        decode_configuration=records.decode_configuration,
        decode_endpoint=records.decode_endpoint,
        configuration_key="config",
        evacuated_zone=records.evacuated_zone,
        journal=journals.Journal(),
    )
    for each in (catalog, other):
        each.replace(
            "endpoints", endpoint_rows("a", "b"), at(5), 0.0, source="store"
        )
    other.on_store_recovered(10.0)
    # The clocks of the two instances differ by 10 s.
    rows = [("a", None), ("b", None)]
    other.apply("endpoints", rows, at(5), at(6), 10.0, source="store")
    updates.apply_update(
        catalog,
        updates.table_update(other, "endpoints", at(5), 10.5),
        20.5,
        "other",
    )
    assert ids(catalog, 20.6) == {"a", "b"}
    renewed = list(endpoint_rows("b").items())
    other.apply("endpoints", renewed, at(6), at(7), 11.0, source="store")
    updates.apply_update(
        catalog,
        updates.table_update(other, "endpoints", at(6), 11.0),
        21.0,
        "other",
    )
    assert ids(catalog, 21.9) == {"a", "b"}
    assert ids(catalog, 22.1) == {"b"}


def test_copy_is_derived_again_after_an_unforeseen_error():
    """An error while a new configuration is applied leaves the old one.

    The copy has the new version, so that reading it again changed nothing.
    """
    faults = [RuntimeError("no such thing")]

    def decode(raw):
        if faults:
            raise faults.pop()
        return records.decode_configuration(raw)

    copies = catalogs.Catalog(
        decode_configuration=decode,
        decode_endpoint=records.decode_endpoint,
        configuration_key="config",
        evacuated_zone=records.evacuated_zone,
        journal=journals.Journal(),
    )
    with pytest.raises(RuntimeError):
        copies.replace("settings", settings(8), at(20), 0.0, source="store")
    copies.replace("settings", settings(8), at(20), 0.1, source="store")
    assert copies.configuration.version == 8


def list_endpoints(catalog, version, **changes):
    """Install a list of two endpoints; return the first one."""
    rows = endpoint_rows("a", "b", **changes)
    catalog.replace("endpoints", rows, at(version), 0.0, source="store")
    return catalog.endpoint("a")


def test_endpoint_that_leaves_by_its_answers_takes_no_work(catalog):
    """The list of endpoints alone decided, and was older than the answer."""
    endpoint = list_endpoints(catalog, 1)
    assert catalog.takes_work(endpoint, 0.0)
    catalog.set_departures(frozenset((endpoint.boot,)))
    assert not catalog.takes_work(endpoint, 0.0)
    assert ids(catalog, 0.0) == {"b"}
    assert catalog.count_leaving("desk") == 1
    list_endpoints(catalog, 2, sequence=2)
    assert ids(catalog, 0.0) == {"b"}


def test_next_process_of_an_endpoint_that_left_takes_work(catalog):
    """A departure was held against all processes with the id."""
    endpoint = list_endpoints(catalog, 1)
    catalog.set_departures(frozenset((endpoint.boot,)))
    restarted = list_endpoints(catalog, 2, born=1700000009000)
    assert ids(catalog, 0.0) == {"a", "b"}
    assert catalog.takes_work(restarted, 0.0)
    # Chosen before the restart.
    assert not catalog.takes_work(endpoint, 0.0)


@pytest.mark.parametrize("why", ["draining", "gone", "evacuated"])
def test_endpoint_that_was_chosen_before_takes_no_work(catalog, why):
    """What waited between choice and sending was sent all the same."""
    endpoint = list_endpoints(catalog, 1)
    if why == "draining":
        list_endpoints(catalog, 2, state="draining")
    elif why == "gone":
        catalog.replace("endpoints", {}, at(2), 0.0, source="store")
    else:
        rows = {**settings(7), f"evacuate/{endpoint.zone}": b"{}"}
        catalog.replace("settings", rows, at(2), 0.0, source="store")
    assert not catalog.takes_work(endpoint, 0.0)


def test_endpoint_that_asks_for_rest_takes_no_work_until_its_end(catalog):
    """Nothing kept the time that an endpoint had named."""
    endpoint = list_endpoints(catalog, 1)
    catalog.rests.record(endpoint, 3.0, 10.0)
    assert ids(catalog, 12.9) == {"b"}
    assert not catalog.takes_work(endpoint, 12.9)
    assert [each.id for each, _ in catalog.resting("desk", 12.9)] == ["a"]
    assert ids(catalog, 13.0) == {"a", "b"}
    assert not catalog.resting("desk", 13.0)


def test_next_process_of_an_endpoint_that_rests_takes_work(catalog):
    """A rest was held against all processes with the id."""
    endpoint = list_endpoints(catalog, 1)
    catalog.rests.record(endpoint, 30.0, 10.0)
    list_endpoints(catalog, 2, born=1700000009000)
    assert ids(catalog, 11.0) == {"a", "b"}


def test_endpoint_that_leaves_is_not_waited_for_while_it_rests(catalog):
    """Callers were told to return when an endpoint was gone."""
    endpoint = list_endpoints(catalog, 1)
    catalog.rests.record(endpoint, 30.0, 10.0)
    catalog.set_departures(frozenset((endpoint.boot,)))
    assert not catalog.resting("desk", 11.0)
