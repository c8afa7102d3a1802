"""How often requests may be sent again by all instances together."""

from sycamoreshed.forwarding import budget


def repeats(instances, requests, windows=1):
    """Return how many repeats so many instances allow in a window."""
    total = 0
    for _ in range(instances):
        each = budget.RetryBudget(ratio=0.2, slack=58, window_s=10)
        for number in range(requests):
            each.record_requests("s", number * 10 / requests)
        while each.try_spend("s", 9.99, instances):
            total += 1
    return total


def test_all_instances_together_stay_within_the_budget():
    """Nine instances see an endpoint fail at once and all send again.

    More than the budget, and a service that is failing gets twice its
    load just then.
    """
    for instances in (1, 3, 9, 12):
        allowed = 0.2 * 50 * instances + 58
        assert 0.5 * allowed <= repeats(instances, 50) <= allowed


def test_one_that_is_alone_may_still_repeat():
    assert repeats(9, 0) >= 9 * 3


def test_repeats_are_counted_for_a_window():
    each = budget.RetryBudget(ratio=0.0, slack=8, window_s=10)
    assert [each.try_spend("s", 0.0, 1) for _ in range(7)] == [True] * 6 + [
        False
    ]
    assert not each.try_spend("s", 9.0, 1)
    assert each.try_spend("s", 11.0, 1)


def test_services_do_not_share():
    each = budget.RetryBudget(ratio=0.0, slack=2, window_s=10)
    assert each.try_spend("a", 0.0, 1)
    assert each.try_spend("b", 0.0, 1)


def test_other_limits_keep_what_was_spent():
    """The operator lowers the budget while it is half used."""
    each = budget.RetryBudget(ratio=0.0, slack=8, window_s=10)
    assert all(each.try_spend("s", 0.0, 1) for _ in range(3))
    each.set_limits(0.0, 4)
    assert not each.try_spend("s", 0.0, 1)
    each.set_limits(0.0, 8)
    assert each.try_spend("s", 0.0, 1)
