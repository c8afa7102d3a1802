"""Endpoints that said in an answer that they leave."""

import pytest

from sycamoreshed.catalog import types
from sycamoreshed.findings import board
from sycamoreshed.findings import departures
from testkit import journals

ENDPOINT = types.Endpoint("e1", "desk", "e1:80", "north-a", 4)
RESTARTED = ENDPOINT._replace(started_at_ms=7)


@pytest.fixture
def records():
    """Return records of no departure."""
    return departures.DepartureRecords(
        board=board.Board(), journal=journals.Journal()
    )


def tell(records, now, endpoint=ENDPOINT):
    """Record an answer; return what others have to be told."""
    return records.record_answer(endpoint, 200, now=now, unix_ms=0)


def test_departure_is_told_once(records):
    """Each answer of an endpoint that leaves cost messages to all."""
    assert tell(records, 1.0) is not None
    assert tell(records, 1.1) is None
    assert records.boots(2.0) == {ENDPOINT.boot}


def test_departure_is_told_again_before_others_forget_it(records):
    """An endpoint that goes on for long was forgotten."""
    tell(records, 1.0)
    later = 1.0 + departures.REFRESH_S
    assert tell(records, later) is not None
    assert records.boots(later + departures.DEPARTURES.ttl_s - 1.0)


def test_departures_of_two_processes_with_an_id_are_told_apart(records):
    """A new process was held for the one that left."""
    tell(records, 1.0)
    assert RESTARTED.boot not in records.boots(1.0)
    assert tell(records, 2.0, RESTARTED) is not None


def test_number_of_departures_is_limited(records):
    """Endpoints that leave day by day filled the memory."""
    count = departures.DEPARTURES.max_entries + 10
    for number in range(count):
        tell(records, 1.0, ENDPOINT._replace(started_at_ms=number))
    boots = records.boots(1.0)
    assert len(boots) == departures.DEPARTURES.max_entries
    assert ENDPOINT._replace(started_at_ms=count - 1).boot in boots
