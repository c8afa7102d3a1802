"""A copy of a table never goes back, whatever comes in which order."""

import itertools

import hypothesis
from hypothesis import stateful
from hypothesis import strategies


from sycamoreshed.catalog import replica

KEYS = ["a", "b", "c"]


class Replicas(stateful.RuleBasedStateMachine):
    """A store, a replica that follows it, and copies told by peers.

    Feed answers, whole listings and peers' copies reach the replica late,
    twice and in any order.  A row that went back would bring back a key
    that was revoked, or an endpoint that has left.
    """

    def __init__(self):
        super().__init__()
        self.history = [{}]
        self.replica = replica.Replica()
        self.follower = replica.Replica()
        self.seen = -1

    @stateful.rule(
        key=strategies.sampled_from(KEYS),
        value=strategies.sampled_from([b"1", b"2", None]),
    )
    def change(self, key, value):
        """Write or remove a row."""
        rows = dict(self.history[-1])
        if value is None:
            rows.pop(key, None)
        else:
            rows[key] = value
        self.history.append(rows)

    @stateful.rule(point=strategies.integers(0, 100))
    def hear_whole(self, point):
        """Get a whole copy, as old as it may be."""
        version = point % len(self.history)
        self.replica.replace(self.history[version], version)

    @stateful.rule(
        first=strategies.integers(0, 100), last=strategies.integers(0, 100)
    )
    def hear_changes(self, first, last):
        """Get the changes of any span."""
        since = first % len(self.history)
        version = last % len(self.history)
        if version < since:
            return
        new = self.history[version]
        rows = [
            (k, new.get(k))
            for k in KEYS
            if self.has_changed(k, since, version)
        ]
        self.replica.apply(rows, since, version)

    def has_changed(self, key, since, version):
        """Return whether a row was written, also if it is as it was."""
        span = self.history[since : version + 1]
        return any(
            old.get(key) != new.get(key)
            for old, new in itertools.pairwise(span)
        )

    @stateful.rule(point=strategies.integers(0, 100))
    def follow_another(self, point):
        """Let the follower get a whole copy from elsewhere."""
        version = point % len(self.history)
        self.follower.replace(self.history[version], version)

    @stateful.rule()
    def relay(self):
        """Tell another replica what changed since its version."""
        after, copy = self.follower.version, self.replica.copy
        if copy.version <= after:
            return
        changed = self.replica.changes(after)
        if changed is None:
            self.follower.replace(copy.rows, copy.version)
        else:
            rows = list(changed.items())
            self.follower.apply(rows, after, copy.version)
        assert self.follower.rows == self.history[copy.version]

    @stateful.invariant()
    def never_goes_back(self):
        """Hold the rows of its version, and a version not below the last."""
        version = self.replica.version
        assert version >= self.seen
        self.seen = version
        if version >= 0:
            assert self.replica.rows == self.history[version]


TestReplicas = Replicas.TestCase
TestReplicas.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=30, derandomize=True, deadline=None
)


def test_a_planted_fault_is_found():
    """Changes taken across a gap leave rows that never stood together."""

    class Careless(replica.Replica):
        def apply(self, rows, since, version):
            return super().apply(rows, min(since, self.version), version)

    class Planted(Replicas):
        def __init__(self):
            super().__init__()
            self.replica = Careless()

    settings = hypothesis.settings(
        max_examples=200,
        stateful_step_count=20,
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


def test_a_row_that_changed_back_between_whole_copies_is_told():
    """An instance that saw it changed would keep it, told by a reader."""
    reader, other = replica.Replica(), replica.Replica()
    reader.replace({"a": b"1"}, 1)
    other.replace({"a": b"2"}, 2)
    reader.replace({"a": b"1", "b": b"1"}, 3)
    assert reader.changes(1) == {"b": b"1"}
    assert reader.changes(other.version) is None


def test_a_replica_that_forgot_a_removal_tells_all_rows(monkeypatch):
    """A row that was removed would stay at those who are told changes."""
    monkeypatch.setattr(replica, "MOST_TOMBSTONES", 1)
    copy = replica.Replica()
    copy.replace({"a": b"1", "b": b"1", "c": b"1"}, 1)
    copy.apply([("a", None)], 1, 2)
    assert copy.changes(1) == {"a": None}
    copy.apply([("b", None)], 2, 3)
    assert copy.changes(1) is None
    assert copy.changes(2) == {"b": None}
