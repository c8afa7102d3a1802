"""Endpoints that asked this instance for rest."""

import pytest

from sycamoreshed.catalog import rests
from sycamoreshed.catalog import types

ENDPOINT = types.Endpoint("e1", "desk", "e1:80", "north-a", 4)


@pytest.mark.parametrize("second_s, until", [(1.0, 13.0), (9.0, 20.0)])
def test_latest_time_holds(second_s, until):
    """A shorter rest that was asked for later ended a longer one."""
    asked = rests.Rests()
    asked.record(ENDPOINT, 3.0, 10.0)
    asked.record(ENDPOINT, second_s, 11.0)
    assert asked.remaining_s(ENDPOINT, until - 0.1) > 0
    assert asked.remaining_s(ENDPOINT, until) == 0


def test_endless_rest_is_cut():
    """An endpoint that named a huge time got no requests any more."""
    asked = rests.Rests()
    asked.record(ENDPOINT, 1e12, 0.0)
    assert asked.remaining_s(ENDPOINT, rests.MAX_REST_S) == 0


def test_number_of_rests_is_limited():
    """Rests of endpoints that are gone filled the memory."""
    asked = rests.Rests()
    for number in range(rests.MAX_RESTS + 10):
        each = ENDPOINT._replace(started_at_ms=number)
        asked.record(each, 3.0, 0.0)
    assert len(asked._until) == rests.MAX_RESTS
    assert asked.remaining_s(each, 1.0) == 2.0
