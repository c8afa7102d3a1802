import types

import pytest

from sycamoreshed.adapters import positions
from sycamoreshed.adapters import table as tables
from sycamoreshed.orders import leases
from sycamoreshed.orders import records
from sycamoreshed.orders.tests import exploration

BOUNDS = {
    "renewals": exploration.Bounds(attempts=(2, 1), drift=0),
    "restarts and drift": exploration.Bounds(
        attempts=(1, 1), restarts=1, drift=3
    ),
    "older copies": exploration.Bounds(attempts=(1, 1), drift=0, restores=1),
}
REAL = types.SimpleNamespace(
    **{name: getattr(leases, name) for name in leases.__all__}
)
TERMS = records.Terms(duration_s=6.0, margin_s=1.0, max_order_s=2.0)


def _counted_from_answer(state, attempt, version, terms):
    after = REAL.on_written(state, attempt, version, terms)
    # The current time of the exploration is always zero.
    lease = after.lease._replace(expires_at=terms.duration_s)
    return after._replace(lease=lease)


def _without_order_time(state, row, now, terms):
    value = {**(row.value or {}), "longest": 0}
    shorter = terms._replace(max_order_s=0)
    return REAL.can_acquire(state, row._replace(value=value), now, shorter)


def _without_wait(state, row, now, terms):
    return True


def _without_margin(state, now, terms):
    return REAL.is_valid(state, now, terms._replace(margin_s=0))


def _own_by_holder_name(state, row, now, terms):
    if row.value is not None and state.lease is None:
        return True
    return REAL.can_acquire(state, row, now, terms)


def _same_fence(state, row, now, terms, **options):
    lower = state._replace(max_fence=max(state.max_fence - 1, 0))
    return REAL.propose(lower, row, now, terms, **options)


def _fence_from_memory(row):
    return 0


MUTATIONS = {
    "fence from memory alone": ("_fence_floor", _fence_from_memory),
    "counted from the answer": ("on_written", _counted_from_answer),
    "longest order not waited for": ("can_acquire", _without_order_time),
    "taken at first sight": ("can_acquire", _without_wait),
    "restarted holder goes by its name": ("can_acquire", _own_by_holder_name),
    "margin left out": ("is_valid", _without_margin),
    "fence not raised": ("propose", _same_fence),
}


@pytest.mark.parametrize("bounds", BOUNDS.values(), ids=BOUNDS)
def test_no_two_holders_in_any_order_of_events(bounds):
    """Holders pause, responses are lost, clocks drift, processes restart.

    With two valid holders at once, engines would alternate between the
    current configuration and the one that it replaced.
    """
    count, faults = exploration.explore(bounds=bounds)
    print(f"{count} worlds, faults: {faults}")
    assert faults == []
    assert count > 10_000


@pytest.mark.parametrize("name", MUTATIONS)
def test_exploration_catches_a_broken_rule(name, monkeypatch):
    """Each rule of the lease is broken in turn, and a fault must show.

    An exploration that missed it would prove nothing about the rules.
    """
    function_name, broken = MUTATIONS[name]
    monkeypatch.setattr(leases, function_name, broken)
    faults = []
    for bounds in BOUNDS.values():
        faults += exploration.explore(bounds=bounds)[1]
    print(name, faults)
    assert faults


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


NEXT_ERA_VERSION = positions.pack(positions.Position(1, 3))
HELD_LEASE = records.HeldLease(fence=4, expires_at=6.0, version=3, config=7)
WAITING = records.LeaseState(seen=records.SeenVersion(3, 0.0), max_fence=4)
UNANSWERED = records.LeaseState(
    unanswered=(records.UnansweredWrite("mine", 0.0, 4, 7),)
)
# State, the row that is read, the time, and the fencing number proposed.
READS = {
    "first sight": (records.LeaseState(), _row(3), 100.0, None),
    "lease and order not over": (WAITING, _row(3), 8.0, None),
    "lease and order over": (WAITING, _row(3), 8.1, 5),
    "renewed meanwhile": (WAITING, _row(4), 8.1, None),
    "holder has longer terms": (WAITING, _row(3, seconds=9.0), 8.1, None),
    "released": (records.LeaseState(), _row(3, released=True), 0.0, 5),
    "released, but before the store's copy was made": (
        records.LeaseState(),
        _row(NEXT_ERA_VERSION, released=True),
        0.0,
        None,
    ),
    "released in this era": (
        records.LeaseState(),
        _row(NEXT_ERA_VERSION, released=True, era=1),
        0.0,
        (1 << leases.FENCE_VERSION_BITS) + 4,
    ),
    "own, but written over a row of an earlier era": (
        UNANSWERED,
        _row(NEXT_ERA_VERSION, attempt="mine"),
        1.0,
        None,
    ),
    "seen in an earlier era": (WAITING, _row(NEXT_ERA_VERSION), 8.1, None),
    "own, answer was lost": (UNANSWERED, _row(5, attempt="mine"), 1.0, 4),
    "own, but of an earlier process": (
        records.LeaseState(),
        _row(5, holder="x", attempt="mine"),
        1.0,
        None,
    ),
    "own and long over": (
        records.LeaseState(lease=HELD_LEASE),
        _row(3),
        900.0,
        4,
    ),
    "row lost": (WAITING, tables.Row("leases/z", None, 0), 8.1, None),
    "row lost and waited for": (
        records.LeaseState(seen=records.SeenVersion(0, 0.0), max_fence=4),
        tables.Row("leases/z", None, 0),
        8.1,
        5,
    ),
    "an engine has met a higher fence": (
        records.LeaseState(lease=HELD_LEASE, max_fence=9),
        _row(3),
        1.0,
        10,
    ),
}


@pytest.mark.parametrize(
    ("state", "row", "now", "fence"), READS.values(), ids=READS
)
def test_write_proposed_after_a_read(state, row, now, fence):
    state = leases.observe(state, row, now, TERMS)
    _, write = leases.propose(
        state, row, now, TERMS, holder="y", attempt="new", config=2
    )
    assert (write and write.value["fence"]) == fence
    if write is not None and row.value is not None:
        assert write.value["config"] == 7
        assert write.if_version == row.version


def test_conflict_with_another_holder_ends_the_lease_at_once():
    state = records.LeaseState(lease=HELD_LEASE)
    assert leases.is_valid(state, 0.0, TERMS)
    after = leases.on_conflict(state, _row(9), "mine", 0.0, TERMS)
    assert not leases.is_valid(after, 0.0, TERMS)


def test_stale_read_does_not_end_the_lease():
    state = records.LeaseState(lease=HELD_LEASE)
    after = leases.observe(state, _row(2), 0.0, TERMS)
    assert leases.is_valid(after, 0.0, TERMS)
