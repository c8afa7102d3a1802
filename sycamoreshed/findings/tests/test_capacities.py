"""What fragile endpoints may get before they have to reject anything."""

import pytest

from sycamoreshed.catalog import types
from sycamoreshed.findings import board
from sycamoreshed.findings import capacities
from testkit import journals


def make_records(*, runs, seconds=0.5, tolerated=3.0):
    """Return records of runs at an endpoint "e" with four slots."""
    records = capacities.CapacityRecords(
        board=board.Board(), journal=journals.Journal()
    )
    endpoint = types.Endpoint("e", "desk", "", "north-a", 4)
    for number in range(runs):
        records.record_run(
            endpoint,
            seconds,
            tolerated,
            now=float(number),
            unix_ms=1000 * number,
        )
    return records


def test_endpoint_that_has_just_started_is_limited_like_its_service():
    """Those that replaced fallen ones got a whole burst, and fell again."""
    records = make_records(runs=8)
    started = types.Endpoint("new", "desk", "", "north-a", 2)
    assert records.rate(started, 8.0) == pytest.approx(0.85 * 2 / 0.5)


def test_other_services_are_not_limited():
    """The header speaks of the endpoints of one service."""
    records = make_records(runs=8)
    other = types.Endpoint("o", "portal", "", "north-a", 4)
    assert records.rate(other, 8.0) is None


@pytest.mark.parametrize("runs, tolerated", [(3, 3.0), (8, 50.0)])
def test_limit_needs_runs_and_a_harmful_number_of_rejections(runs, tolerated):
    """Permits would cost calls that nothing needs."""
    records = make_records(runs=runs, tolerated=tolerated)
    endpoint = types.Endpoint("e", "desk", "", "north-a", 4)
    assert records.rate(endpoint, 8.0) is None


def test_limit_ends_with_answers_that_name_it():
    """Endpoints are fragile for a time only."""
    records = make_records(runs=8)
    endpoint = types.Endpoint("e", "desk", "", "north-a", 4)
    assert records.rate(endpoint, 30.0) is None
