"""A short soak of stops, restarts and changes that overlap."""

import pytest

from testkit import stopsoak

SECONDS = 5.0


@pytest.mark.parametrize("seed", [1, 2])
async def test_nothing_is_lost_in_stops_that_overlap(tmp_path, seed):
    """Callers with open connections lost requests beside a stop."""
    found, bad = await stopsoak.play(seed, tmp_path, seconds=SECONDS)
    assert not stopsoak.violations(found), bad
    assert found.stops
    assert found.served
