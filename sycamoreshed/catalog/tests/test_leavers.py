"""An endpoint that leaves gets nothing new, in whatever order it is heard."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import msgspec

from sycamoreshed.catalog import catalog as catalogs
from sycamoreshed.platform import records
from testkit import journals
from testkit import wiredata

STATES = ["ready", "draining", None]


def _rows(state):
    if state is None:
        return {}
    return {
        "a": msgspec.json.encode(wiredata.beat("10.0.0.1:80", state=state))
    }


class Leavers(stateful.RuleBasedStateMachine):
    """One endpoint's entry, and an instance that hears of it.

    The entry says that the endpoint serves, that it leaves, or is gone.
    The instance hears whole copies and changes from the store and from
    peers, late, twice and in any order, and loses the store and regains
    it.  Requests that go to a leaver after that are lost with it.
    """

    kind = catalogs.Catalog

    def __init__(self):
        super().__init__()
        self.history = [None]
        self.now = 0.0
        self.regained_at = -1e9
        self.catalog = self.kind(
            decode_configuration=records.decode_configuration,
            decode_endpoint=records.decode_endpoint,
            configuration_key="config",
            journal=journals.Journal(),
        )

    @stateful.rule(state=strategies.sampled_from(STATES))
    def write(self, state):
        """Write or remove the entry."""
        self.history.append(state)

    @stateful.rule(point=strategies.integers(0, 50))
    def hear_whole(self, point):
        """Get a whole copy, as old as it may be."""
        version = point % len(self.history)
        rows = _rows(self.history[version])
        self.catalog.replace(
            "endpoints", rows, version, self.now, source="peer"
        )

    @stateful.rule(
        first=strategies.integers(0, 50), last=strategies.integers(0, 50)
    )
    def hear_changes(self, first, last):
        """Get the changes of any span."""
        since = first % len(self.history)
        version = last % len(self.history)
        if version < since:
            return
        new = _rows(self.history[version])
        rows = []
        if new != _rows(self.history[since]):
            rows = [("a", new.get("a"))]
        self.catalog.apply(
            "endpoints", rows, since, version, self.now, source="store"
        )

    @stateful.rule()
    def regain(self):
        """Reach the store again."""
        self.regained_at = self.now
        self.catalog.regained(self.now)

    @stateful.rule(seconds=strategies.sampled_from([0.5, 3.0]))
    def wait(self, seconds):
        """Let time pass."""
        self.now += seconds

    @stateful.invariant()
    def a_leaver_gets_nothing(self):
        """Choose among endpoints by the newest that was heard."""
        chosen = bool(self.catalog.endpoints("desk", self.now))
        version = self.catalog.replica("endpoints").version
        state = None if version < 0 else self.history[version]
        if state == "ready":
            assert chosen
        elif state == "draining":
            assert not chosen
        elif chosen:
            assert self.now < self.regained_at + catalogs.LAPSE_S


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


def test_a_fault_that_is_put_in_is_found():
    """An entry that lapsed is kept though it had said that it leaves."""

    class Careless(catalogs.Catalog):
        def regained(self, now, for_s=catalogs.LAPSE_S):
            super().regained(now, 9 * for_s)

    class Planted(Leavers):
        kind = Careless

    try:
        stateful.run_state_machine_as_test(Planted, settings=SETTINGS)
    except AssertionError:
        return
    raise AssertionError("the fault was not found")
