"""Order of service between teams, and eviction."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from sycamoreshed.admission import fairqueue

WEIGHTS = {"large": 4.0, "middle": 2.0, "small": 1.0}
TEAMS = strategies.sampled_from(sorted(WEIGHTS))
ADDS = strategies.lists(strategies.tuples(TEAMS, strategies.integers(0, 2)))


def entry(number, team, priority=1):
    return fairqueue.Entry(
        request=str(number),
        team=team,
        pipeline="p",
        weight=WEIGHTS[team],
        rank=(priority, 0.0, number),
        start_deadline=9.0,
    )


@pytest.mark.parametrize("name", fairqueue.DISCIPLINES.names())
@settings(derandomize=True, deadline=None)
@given(adds=ADDS, steps=strategies.lists(strategies.booleans()))
def test_no_entry_is_lost_or_duplicated(name, adds, steps):
    queue = fairqueue.DISCIPLINES.get(name)()
    waiting = {}
    for number, (team, priority) in enumerate(adds):
        waiting[str(number)] = entry(number, team, priority)
        queue.add(waiting[str(number)])
        if steps and steps.pop():
            removed = queue.pop() if number % 2 else queue.evict()
            del waiting[removed.request]
        elif waiting and number % 3 == 0:
            _, cancelled = waiting.popitem()
            queue.remove(cancelled)
        assert len(queue) == len(waiting)
    removed = [queue.pop().request for _ in range(len(queue))]
    assert sorted(removed) == sorted(waiting)


@settings(derandomize=True, deadline=None)
@given(order=strategies.permutations(["large"] * 40 + ["small"] * 40))
def test_backlogged_teams_are_served_by_weight(order):
    """Service follows the weights, regardless of the order of arrival."""
    queue = fairqueue.WeightedFair()
    for number, team in enumerate(order):
        queue.add(entry(number, team))
    served = [queue.pop().team for _ in range(50)]
    for count in range(5, 51):
        small = served[:count].count("small")
        assert abs(small - count / 5) <= 1


@settings(derandomize=True, deadline=None)
@given(backlog=strategies.integers(1, 200), served=strategies.integers(0, 50))
def test_team_without_backlog_is_served_before_a_long_queue(backlog, served):
    queue = fairqueue.WeightedFair()
    for number in range(backlog):
        queue.add(entry(number, "large"))
    for _ in range(min(served, backlog - 1)):
        queue.pop()
    queue.add(entry(900, "small"))
    assert queue.count_ahead("middle", 2.0) <= 2
    assert "900" in [queue.pop().request for _ in range(2)]


def test_eviction_hits_the_longest_queue_for_its_weight():
    """Eviction must not hit other teams when one team fills the queue.

    Lengths are relative to the weights of the teams.
    """
    queue = fairqueue.WeightedFair()
    for number in range(8):
        queue.add(entry(number, "large"))
    for number in range(8, 11):
        queue.add(entry(number, "small"))
    assert queue.evict().request == "10"
    assert queue.evict().request == "7"


@settings(derandomize=True, deadline=None)
@given(adds=ADDS, team=TEAMS)
def test_count_ahead_matches_the_order_of_service(adds, team):
    """The position of a new entry differs from the estimate by ties only."""
    queue = fairqueue.WeightedFair()
    for number, (name, _) in enumerate(adds):
        queue.add(entry(number, name))
    ahead = queue.count_ahead(team, WEIGHTS[team])
    queue.add(entry(9999, team))
    order = [queue.pop().request for _ in range(len(adds) + 1)]
    assert abs(order.index("9999") - ahead) <= len(WEIGHTS)


def test_idle_teams_have_no_state():
    """Each of many teams sends once; then only one has a backlog."""
    queue = fairqueue.WeightedFair()
    for number in range(1000):
        queue.add(entry(number, "large"))
    for number in range(35_000):
        queue.add(entry(number, "small")._replace(team=f"team-{number}"))
        queue.pop()
    for _ in range(2 * fairqueue.SWEEP_INTERVAL):
        queue.pop()
    assert queue.team_count == 1
    while len(queue):
        queue.pop()
    assert queue.team_count == 0
