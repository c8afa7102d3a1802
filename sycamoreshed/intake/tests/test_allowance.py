"""Which connections yield when too much is held for all."""

from sycamoreshed.intake import allowance


def test_largest_yields_first():
    """Whoever came last was closed, not who held most."""
    made = allowance.Allowance(max_bytes=100)
    made.update("large", waiting=70, in_progress=0)
    made.update("small", waiting=20, in_progress=0)
    assert made.update("new", waiting=20, in_progress=0) == ["large"]
    assert made.total == 40


def test_requests_in_progress_do_not_yield():
    """What is served cannot be dropped; there is no room for more."""
    made = allowance.Allowance(max_bytes=100)
    made.update("served", waiting=0, in_progress=90)
    assert made.update("new", waiting=20, in_progress=0) == ["new"]
    assert made.total == 90
    assert not made.has_room(11)


def test_connections_that_ended_hold_nothing():
    """What an ended connection held stayed in the count."""
    made = allowance.Allowance(max_bytes=100)
    made.update("ended", waiting=10, in_progress=10)
    made.remove("ended")
    assert made.total == 0
