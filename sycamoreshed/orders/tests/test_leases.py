import types

import pytest

from sycamoreshed.adapters import table as tables
from sycamoreshed.orders import leases
from sycamoreshed.orders import records
from sycamoreshed.orders.tests import exploration

BOUNDS = {
    "renewals": exploration.Bounds(attempts=(2, 1), drift=0),
    "restarts and drift": exploration.Bounds(
        attempts=(1, 1), restarts=1, drift=3
    ),
}
REAL = types.SimpleNamespace(
    **{name: getattr(leases, name) for name in leases.__all__}
)
TERMS = records.Terms(seconds=6.0, margin=1.0, longest=2.0)


def _counted_from_answer(standing, attempt, version, terms):
    after = REAL.on_written(standing, attempt, version, terms)
    # The exploration's present time is always zero.
    held = after.held._replace(until=terms.seconds)
    return after._replace(held=held)


def _without_longest(standing, row, now, terms):
    value = {**(row.value or {}), "longest": 0}
    short = terms._replace(longest=0)
    return REAL.can_acquire(standing, row._replace(value=value), now, short)


def _at_first_sight(standing, row, now, terms):
    return True


def _without_margin(standing, now, terms):
    return REAL.is_valid(standing, now, terms._replace(margin=0))


def _by_name(standing, row, now, terms):
    if row.value is not None and standing.held is None:
        return True
    return REAL.can_acquire(standing, row, now, terms)


def _same_fence(standing, row, now, terms, **named):
    lower = standing._replace(floor=max(standing.floor - 1, 0))
    return REAL.propose(lower, row, now, terms, **named)


MUTATIONS = {
    "counted from the answer": ("on_written", _counted_from_answer),
    "longest order not waited for": ("can_acquire", _without_longest),
    "taken at first sight": ("can_acquire", _at_first_sight),
    "restarted holder goes by its name": ("can_acquire", _by_name),
    "margin left out": ("is_valid", _without_margin),
    "fence not raised": ("propose", _same_fence),
}


@pytest.mark.parametrize("bounds", BOUNDS.values(), ids=BOUNDS)
def test_no_two_holders_in_any_order_of_events(bounds):
    """Holders pause, answers are lost, clocks drift, processes restart.

    Were two holders valid at once, engines would be sent back and forth
    between what operators decided and what they had decided before.
    """
    count, faults = exploration.explore(bounds=bounds)
    print(f"{count} worlds, faults: {faults}")
    assert faults == []
    assert count > 10_000


@pytest.mark.parametrize("name", MUTATIONS)
def test_exploration_catches_a_broken_rule(name, monkeypatch):
    """Each rule of the lease is broken once.

    An exploration that finds nothing then would prove nothing.
    """
    where, broken = MUTATIONS[name]
    monkeypatch.setattr(leases, where, broken)
    found = []
    for bounds in BOUNDS.values():
        found += exploration.explore(bounds=bounds)[1]
    print(name, found)
    assert found


def _row(version, **value):
    base = records.Value(
        holder="x",
        attempt="other",
        fence=4,
        config=7,
        released=False,
        seconds=6.0,
        longest=2.0,
    )
    return tables.Row("leases/z", {**base, **value}, version)


HELD = records.HeldLease(fence=4, until=6.0, version=3, config=7)
SEEN = records.LeaseState(seen=records.SeenVersion(3, 0.0), floor=4)
SENT = records.LeaseState(sent=(records.UnansweredWrite("mine", 0.0, 4, 7),))
# What is known, the row that is read, when, and the fence proposed.
READS = {
    "first sight": (records.LeaseState(), _row(3), 100.0, None),
    "lease and order not over": (SEEN, _row(3), 8.0, None),
    "lease and order over": (SEEN, _row(3), 8.1, 5),
    "renewed meanwhile": (SEEN, _row(4), 8.1, None),
    "holder has longer terms": (SEEN, _row(3, seconds=9.0), 8.1, None),
    "released": (records.LeaseState(), _row(3, released=True), 0.0, 5),
    "own, answer was lost": (SENT, _row(5, attempt="mine"), 1.0, 4),
    "own, but of an earlier process": (
        records.LeaseState(),
        _row(5, holder="x", attempt="mine"),
        1.0,
        None,
    ),
    "own and long over": (records.LeaseState(held=HELD), _row(3), 900.0, 4),
    "row lost": (SEEN, tables.Row("leases/z", None, 0), 8.1, None),
    "row lost and waited for": (
        records.LeaseState(seen=records.SeenVersion(0, 0.0), floor=4),
        tables.Row("leases/z", None, 0),
        8.1,
        5,
    ),
    "an engine has met a higher fence": (
        records.LeaseState(held=HELD, floor=9),
        _row(3),
        1.0,
        10,
    ),
}


@pytest.mark.parametrize(
    ("standing", "row", "now", "fence"), READS.values(), ids=READS
)
def test_what_is_proposed_after_a_read(standing, row, now, fence):
    standing = leases.observe(standing, row, now, TERMS)
    _, write = leases.propose(
        standing, row, now, TERMS, holder="y", attempt="new", config=2
    )
    assert (write and write.value["fence"]) == fence
    if write is not None and row.value is not None:
        assert write.value["config"] == 7
        assert write.if_version == row.version


def test_conflict_with_a_stranger_ends_the_lease_at_once():
    standing = records.LeaseState(held=HELD)
    assert leases.is_valid(standing, 0.0, TERMS)
    after = leases.on_conflict(standing, _row(9), "mine", 0.0, TERMS)
    assert not leases.is_valid(after, 0.0, TERMS)


def test_stale_read_does_not_end_the_lease():
    standing = records.LeaseState(held=HELD)
    after = leases.observe(standing, _row(2), 0.0, TERMS)
    assert leases.is_valid(after, 0.0, TERMS)
