"""Whether requests end before a stopping instance does."""

from sycamoreshed.forwarding import stops

PHASE = stops.Phase.REQUEST


def test_longest_of_the_latest_requests_counts():
    """A request was cut off that lasted no longer than others before."""
    deadline = stops.StopDeadline()
    deadline.set(10.0)
    for seconds in (1.0, 4.0, 2.0):
        deadline.record("r", PHASE, seconds)
    assert deadline.allows("r", PHASE, 6.0)
    assert not deadline.allows("r", PHASE, 6.1)
    for _ in range(stops.MAX_DURATIONS):
        deadline.record("r", PHASE, 1.0)
    assert deadline.allows("r", PHASE, 9.0)


def test_routes_and_phases_are_told_apart():
    """Short requests were rejected because others last long."""
    deadline = stops.StopDeadline()
    deadline.set(10.0)
    deadline.record("long", PHASE, 9.0)
    assert deadline.allows("short", PHASE, 9.9)
    assert deadline.allows("long", stops.Phase.ATTEMPTS, 9.9)


def test_number_of_routes_is_limited():
    """Routes that come and go filled the memory."""
    deadline = stops.StopDeadline()
    for number in range(stops.MAX_SERIES + 10):
        deadline.record(f"r{number}", PHASE, 1.0)
    assert len(deadline._durations) == stops.MAX_SERIES
