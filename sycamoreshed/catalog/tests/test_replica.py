"""A copy of a table never returns to an older version."""

import itertools

import hypothesis
from hypothesis import stateful
from hypothesis import strategies


from sycamoreshed.catalog import replica

KEYS = ["a", "b", "c"]


class Replicas(stateful.RuleBasedStateMachine):
    """A store's history, and replicas that receive parts of it.

    Changes, full reads and peers' copies reach the replica delayed, repeated
    and in any order.  Returning to an older row would restore a revoked key,
    or an endpoint that has stopped.
    """

    def __init__(self):
        super().__init__()
        self.history = [{}]
        self.replica = replica.Replica()
        self.follower = replica.Replica()
        self.last_version = -1

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
    def receive_full_copy(self, point):
        """Receive a full copy of any age."""
        version = point % len(self.history)
        self.replica.replace(self.history[version], version)

    @stateful.rule(
        first=strategies.integers(0, 100), last=strategies.integers(0, 100)
    )
    def receive_changes(self, first, last):
        """Receive the changes between any two versions."""
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
        """Return whether a row changed, even if it changed back."""
        span = self.history[since : version + 1]
        return any(
            old.get(key) != new.get(key)
            for old, new in itertools.pairwise(span)
        )

    @stateful.rule(point=strategies.integers(0, 100))
    def receive_from_peer(self, point):
        """Let the follower receive a full copy from another source."""
        version = point % len(self.history)
        self.follower.replace(self.history[version], version)

    @stateful.rule()
    def relay(self):
        """Send the follower the changes since its version."""
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
    def version_never_decreases(self):
        """Have the rows of its version, which never decreases."""
        version = self.replica.version
        assert version >= self.last_version
        self.last_version = version
        if version >= 0:
            assert self.replica.rows == self.history[version]


TestReplicas = Replicas.TestCase
TestReplicas.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=30, derandomize=True, deadline=None
)


def test_injected_fault_is_found():
    """Changes applied across a gap give rows that never existed together."""

    class Careless(replica.Replica):
        def apply(self, rows, since, version):
            return super().apply(rows, min(since, self.version), version)

    # Name and source of this class seed the derandomized search.
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


def test_row_that_changed_back_between_full_copies_is_sent():
    """Otherwise an instance would keep a changed row that changed back."""
    reader, other = replica.Replica(), replica.Replica()
    reader.replace({"a": b"1"}, 1)
    other.replace({"a": b"2"}, 2)
    reader.replace({"a": b"1", "b": b"1"}, 3)
    assert reader.changes(1) == {"b": b"1"}
    assert reader.changes(other.version) is None


def test_replica_without_the_tombstone_sends_all_rows(monkeypatch):
    """Otherwise instances that receive changes would keep a removed row."""
    monkeypatch.setattr(replica, "MAX_TOMBSTONES", 1)
    copy = replica.Replica()
    copy.replace({"a": b"1", "b": b"1", "c": b"1"}, 1)
    copy.apply([("a", None)], 1, 2)
    assert copy.changes(1) == {"a": None}
    copy.apply([("b", None)], 2, 3)
    assert copy.changes(1) is None
    assert copy.changes(2) == {"b": None}
