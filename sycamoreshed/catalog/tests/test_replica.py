"""A copy of a table never returns to an older position."""

import itertools

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from sycamoreshed.adapters import positions
from sycamoreshed.catalog import replica
from testkit import storepositions

KEYS = ["a", "b", "c"]
POINTS = strategies.integers(0, 100)
at = storepositions.at


class Replicas(stateful.RuleBasedStateMachine):
    """A store's history, and replicas that receive parts of it.

    Changes, full reads and peers' copies reach the replica delayed, repeated
    and in any order, and the store comes back from older copies.  Returning
    to an older row would restore a revoked key, or an endpoint that has
    stopped; keeping one that the store lost would do so as well.
    """

    def __init__(self):
        super().__init__()
        # Rows by position, in the order in which the store had them.
        self.history = {at(0): {}}
        self.replica = replica.Replica()
        self.follower = replica.Replica()
        self.last_position = positions.UNKNOWN

    @property
    def newest(self):
        """The store's present position."""
        return next(reversed(self.history))

    def pick(self, point):
        """Return a position of the history."""
        return list(self.history)[point % len(self.history)]

    @stateful.rule(
        key=strategies.sampled_from(KEYS),
        value=strategies.sampled_from([b"1", b"2", None]),
    )
    def change(self, key, value):
        """Write or remove a row."""
        rows = dict(self.history[self.newest])
        if value is None:
            rows.pop(key, None)
        else:
            rows[key] = value
        era, version = self.newest
        self.history[at(version + 1, era)] = rows

    @stateful.rule(point=POINTS)
    def restore(self, point):
        """Let the store come back from a copy of its present era."""
        era = self.newest.era
        copies = [each for each in self.history if each.era == era]
        copy = copies[point % len(copies)]
        restored = at(copy.version, era + 1)
        self.history[restored] = dict(self.history[copy])

    @stateful.rule(point=POINTS)
    def receive_full_copy(self, point):
        """Receive a full copy of any age."""
        position = self.pick(point)
        self.replica.replace(self.history[position], position)

    @stateful.rule(first=POINTS, last=POINTS)
    def receive_changes(self, first, last):
        """Receive the changes between any two positions of an era."""
        since, position = self.pick(first), self.pick(last)
        if position < since or position.era != since.era:
            return
        new = self.history[position]
        rows = [
            (k, new.get(k))
            for k in KEYS
            if self.has_changed(k, since, position)
        ]
        self.replica.apply(rows, since, position)

    @stateful.rule(first=POINTS, last=POINTS)
    def receive_changes_of_another_era(self, first, last):
        """Receive changes after a version that an earlier era gave out."""
        since, position = self.pick(first), self.pick(last)
        if position.era <= since.era:
            return
        same = at(since.version, position.era)
        if same not in self.history or position < same:
            return
        new = self.history[position]
        rows = [
            (k, new.get(k))
            for k in KEYS
            if self.has_changed(k, same, position)
        ]
        self.replica.apply(rows, since, position)

    def has_changed(self, key, since, position):
        """Return whether a row changed, even if it changed back."""
        span = [
            rows
            for each, rows in self.history.items()
            if since <= each <= position
        ]
        return any(
            old.get(key) != new.get(key)
            for old, new in itertools.pairwise(span)
        )

    @stateful.rule(point=POINTS)
    def receive_from_peer(self, point):
        """Let the follower receive a full copy from another source."""
        position = self.pick(point)
        self.follower.replace(self.history[position], position)

    @stateful.rule()
    def relay(self):
        """Send the follower the changes since its position."""
        after, copy = self.follower.position, self.replica.copy
        if copy.position <= after:
            return
        changed = self.replica.changes(after)
        if changed is None:
            self.follower.replace(copy.rows, copy.position)
        else:
            rows = list(changed.items())
            self.follower.apply(rows, after, copy.position)
        assert self.follower.rows == self.history[copy.position]

    @stateful.invariant()
    def position_never_decreases(self):
        """Have the rows of its position, which never decreases."""
        position = self.replica.position
        assert position >= self.last_position
        self.last_position = position
        if position != positions.UNKNOWN:
            assert self.replica.rows == self.history[position]


TestReplicas = Replicas.TestCase
TestReplicas.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=30, derandomize=True, deadline=None
)


class AcrossGaps(replica.Replica):
    """Applies changes across a gap: rows that never existed together."""

    def apply(self, rows, since, position):
        """Apply changes after any position."""
        return super().apply(rows, min(since, self.position), position)


class AcrossEras(replica.Replica):
    """Takes a version for the same one of another era."""

    def apply(self, rows, since, position):
        """Apply changes after the same version of any era."""
        held = self.position
        if since.version <= held.version < position.version:
            held = at(held.version, position.era)
            self._copy = self._copy._replace(position=held)
        return super().apply(rows, at(since.version, position.era), position)


@pytest.mark.parametrize("faulty", [AcrossGaps, AcrossEras])
def test_injected_fault_is_found(faulty):
    """The search has to find changes that do not fit the copy."""

    # Name and source of this class seed the derandomized search.
    class Planted(Replicas):
        def __init__(self):
            super().__init__()
            self.replica = faulty()

    settings = hypothesis.settings(
        max_examples=400,
        stateful_step_count=30,
        derandomize=True,
        deadline=None,
        database=None,
        report_multiple_bugs=False,
        print_blob=False,
    )
    try:
        stateful.run_state_machine_as_test(Planted, settings=settings)
    except AssertionError:
        return
    raise AssertionError("the planted fault was not found")


def test_row_that_changed_back_between_full_copies_is_sent():
    """Otherwise an instance would keep a changed row that changed back."""
    reader, other = replica.Replica(), replica.Replica()
    reader.replace({"a": b"1"}, at(1))
    other.replace({"a": b"2"}, at(2))
    reader.replace({"a": b"1", "b": b"1"}, at(3))
    assert reader.changes(at(1)) == {"b": b"1"}
    assert reader.changes(other.position) is None


def test_replica_without_the_tombstone_sends_all_rows(monkeypatch):
    """Otherwise instances that receive changes would keep a removed row."""
    monkeypatch.setattr(replica, "MAX_TOMBSTONES", 1)
    copy = replica.Replica()
    copy.replace({"a": b"1", "b": b"1", "c": b"1"}, at(1))
    copy.apply([("a", None)], at(1), at(2))
    assert copy.changes(at(1)) == {"a": None}
    copy.apply([("b", None)], at(2), at(3))
    assert copy.changes(at(1)) is None
    assert copy.changes(at(2)) == {"b": None}


def test_changes_since_an_earlier_era_are_not_known():
    """Rows that the store lost would stay at an instance that was away."""
    copy = replica.Replica()
    copy.replace({"a": b"1", "lost": b"1"}, at(9))
    assert copy.replace({"a": b"1"}, at(4, era=1))
    assert copy.apply([("a", b"2")], at(4, era=1), at(12, era=1))
    assert copy.rows == {"a": b"2"}
    assert copy.changes(at(9)) is None
    assert copy.changes(at(4, era=1)) == {"a": b"2"}
