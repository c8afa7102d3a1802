"""Order between teams, and what is pushed out."""

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
        give_up=9.0,
    )


@pytest.mark.parametrize("name", fairqueue.ORDERS.names())
@settings(derandomize=True, deadline=None)
@given(adds=ADDS, steps=strategies.lists(strategies.booleans()))
def test_nothing_is_lost_or_doubled(name, adds, steps):
    queue = fairqueue.ORDERS.get(name)()
    held = {}
    for number, (team, priority) in enumerate(adds):
        held[str(number)] = entry(number, team, priority)
        queue.add(held[str(number)])
        if steps and steps.pop():
            taken = queue.pop() if number % 2 else queue.push_out()
            del held[taken.request]
        elif held and number % 3 == 0:
            _, gone = held.popitem()
            queue.remove(gone)
        assert len(queue) == len(held)
    taken = [queue.pop().request for _ in range(len(queue))]
    assert sorted(taken) == sorted(held)


@settings(derandomize=True, deadline=None)
@given(order=strategies.permutations(["large"] * 40 + ["small"] * 40))
def test_served_by_weight_while_both_wait(order):
    """Whatever the order of arrival, service follows the weights."""
    queue = fairqueue.WeightedFair()
    for number, team in enumerate(order):
        queue.add(entry(number, team))
    taken = [queue.pop().team for _ in range(50)]
    for count in range(5, 51):
        small = taken[:count].count("small")
        assert abs(small - count / 5) <= 1


@settings(derandomize=True, deadline=None)
@given(backlog=strategies.integers(1, 200), served=strategies.integers(0, 50))
def test_team_without_backlog_goes_before_the_crowd(backlog, served):
    queue = fairqueue.WeightedFair()
    for number in range(backlog):
        queue.add(entry(number, "large"))
    for _ in range(min(served, backlog - 1)):
        queue.pop()
    queue.add(entry(900, "small"))
    assert queue.ahead("middle", 2.0) <= 2
    assert "900" in [queue.pop().request for _ in range(2)]


def test_the_longest_for_its_weight_is_pushed_out():
    """A flood fills the queue; others' requests are not what goes."""
    queue = fairqueue.WeightedFair()
    for number in range(8):
        queue.add(entry(number, "large"))
    for number in range(8, 11):
        queue.add(entry(number, "small"))
    assert queue.push_out().request == "10"
    assert queue.push_out().request == "7"


@settings(derandomize=True, deadline=None)
@given(adds=ADDS, team=TEAMS)
def test_estimate_of_what_goes_before(adds, team):
    """A new entry waits for at most as many as were estimated, plus ties."""
    queue = fairqueue.WeightedFair()
    for number, (name, _) in enumerate(adds):
        queue.add(entry(number, name))
    ahead = queue.ahead(team, WEIGHTS[team])
    queue.add(entry(9999, team))
    order = [queue.pop().request for _ in range(len(adds) + 1)]
    assert abs(order.index("9999") - ahead) <= len(WEIGHTS)


def test_state_is_held_for_active_teams_only():
    """All known teams send once; then one alone has a backlog."""
    queue = fairqueue.WeightedFair()
    for number in range(1000):
        queue.add(entry(number, "large"))
    for number in range(35_000):
        queue.add(entry(number, "small")._replace(team=f"team-{number}"))
        queue.pop()
    for _ in range(2 * fairqueue.SWEEP_EVERY):
        queue.pop()
    assert queue.known == 1
    while len(queue):
        queue.pop()
    assert queue.known == 0
