"""Tests of the rate that an overloaded endpoint may get."""

import pytest

from sycamoreshed.catalog import types
from sycamoreshed.findings import board
from sycamoreshed.findings import overloads
from testkit import journals

ENDPOINT = types.Endpoint("e1", "desk", "e1:80", "north-a", 4)
TOLERATED = 5.0


@pytest.fixture
def records():
    """Return records of no overload."""
    return overloads.OverloadRecords(
        board=board.Board(), journal=journals.Journal()
    )


def reject(records, now, arrival_rate=20.0):
    """Record a rejection; return what others have to be told."""
    return records.record_rejection(
        ENDPOINT, TOLERATED, arrival_rate=arrival_rate, now=now, unix_ms=0
    )


def test_endpoints_have_no_limit_before_a_rejection(records):
    assert records.rate(ENDPOINT, 0.0) is None


def test_rejections_lower_the_rate_and_time_raises_it(records):
    reject(records, 1.0)
    assert records.rate(ENDPOINT, 1.0) == 20.0 * overloads.DECREASE
    reject(records, 2.0)
    lowered = records.rate(ENDPOINT, 2.0)
    assert lowered < 20.0 * overloads.DECREASE
    assert records.rate(ENDPOINT, 4.0) > lowered
    assert records.rate(ENDPOINT, 2.1 + overloads.OVERLOAD_S) is None


def test_requests_in_flight_do_not_lower_the_rate_again(records):
    """A burst of rejections at one moment took an endpoint out of use."""
    reject(records, 1.0)
    rate = records.rate(ENDPOINT, 1.0)
    assert reject(records, 1.1) is None
    assert records.rate(ENDPOINT, 1.0) == rate


def test_a_full_endpoint_still_gets_requests(records):
    """Nobody would notice that it has room again."""
    for second in range(1, 60):
        reject(records, float(second), arrival_rate=0.0)
    assert records.rate(ENDPOINT, 59.0) > 0


def test_the_rate_grows_by_less_in_a_second_than_is_tolerated(records):
    """The increase in a second alone would make an endpoint fail."""
    reject(records, 1.0)
    increase = records.rate(ENDPOINT, 2.0) - records.rate(ENDPOINT, 1.0)
    assert increase < TOLERATED


def test_the_rate_grows_little_above_the_one_that_was_too_much(records):
    """After a lull an endpoint got more at once than it survives."""
    reject(records, 1.0)
    most = records.rate(ENDPOINT, 0.9 + overloads.OVERLOAD_S)
    assert 20.0 < most < 20.0 + TOLERATED
