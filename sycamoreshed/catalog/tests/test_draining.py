"""A draining endpoint gets no requests, in any order of updates."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import msgspec

from sycamoreshed.catalog import catalog as catalogs
from sycamoreshed.platform import records
from testkit import journals
from testkit import storepositions
from testkit import wiredata

at = storepositions.at

STATES = ["ready", "draining", None]


def _rows(state):
    if state is None:
        return {}
    return {
        "a": msgspec.json.encode(wiredata.beat("10.0.0.1:80", state=state))
    }


class Leavers(stateful.RuleBasedStateMachine):
    """One endpoint's entry, and an instance that receives its changes.

    The entry says that the endpoint is ready or draining, or is missing.
    The instance receives full copies and changes from the store and from
    peers, delayed, repeated and in any order, while the store recovers from
    outages.  Requests sent to a draining endpoint after that are lost when
    it stops.
    """

    kind = catalogs.Catalog

    def __init__(self):
        super().__init__()
        self.history = [None]
        self.now = 0.0
        self.recovered_at = -1e9
        self.catalog = self.kind(
            decode_configuration=records.decode_configuration,
            decode_endpoint=records.decode_endpoint,
            configuration_key="config",
            evacuated_zone=lambda _key: None,
            journal=journals.Journal(),
        )

    @stateful.rule(state=strategies.sampled_from(STATES))
    def write(self, state):
        """Write or remove the entry."""
        self.history.append(state)

    @stateful.rule(point=strategies.integers(0, 50))
    def receive_full_copy(self, point):
        """Receive a full copy of any age."""
        version = point % len(self.history)
        rows = _rows(self.history[version])
        self.catalog.replace(
            "endpoints", rows, at(version), self.now, source="peer"
        )

    @stateful.rule(
        first=strategies.integers(0, 50), last=strategies.integers(0, 50)
    )
    def receive_changes(self, first, last):
        """Receive the changes between any two versions."""
        since = first % len(self.history)
        version = last % len(self.history)
        if version < since:
            return
        # The store sends each row that was written in between, also one that
        # is as it was before.
        rows = []
        if version > since:
            rows = [("a", _rows(self.history[version]).get("a"))]
        self.catalog.apply(
            "endpoints",
            rows,
            at(since),
            at(version),
            self.now,
            source="store",
        )

    @stateful.rule()
    def recover(self):
        """Let the store recover from an outage."""
        self.recovered_at = self.now
        self.catalog.on_store_recovered(self.now)

    @stateful.rule(seconds=strategies.sampled_from([0.5, 3.0]))
    def wait(self, seconds):
        """Advance the time."""
        self.now += seconds

    @stateful.invariant()
    def draining_endpoint_gets_no_requests(self):
        """Offer the endpoint according to the newest received state."""
        offered = bool(self.catalog.endpoints("desk", self.now))
        version = self.catalog.replica("endpoints").position.version
        state = None if version < 0 else self.history[version]
        if state == "ready":
            assert offered
        elif state == "draining":
            assert not offered
        elif offered:
            assert self.now < self.recovered_at + catalogs.EXPIRY_GRACE_S


SETTINGS = hypothesis.settings(
    max_examples=80,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    database=None,
    report_multiple_bugs=False,
    print_blob=False,
)
TestLeavers = Leavers.TestCase
TestLeavers.settings = SETTINGS


def test_injected_fault_is_found():
    """A missing endpoint is retained for longer than the grace period."""

    class Careless(catalogs.Catalog):
        def on_store_recovered(self, now, grace_s=catalogs.EXPIRY_GRACE_S):
            super().on_store_recovered(now, 9 * grace_s)

    # Name and source of this class seed the derandomized search.
    class Planted(Leavers):
        kind = Careless

    try:
        stateful.run_state_machine_as_test(Planted, settings=SETTINGS)
    except AssertionError:
        return
    raise AssertionError("the fault was not found")
