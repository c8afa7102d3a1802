import types

import pytest

from sycamoreshed.adapters import instancelist
from sycamoreshed.config import state
from sycamoreshed.membership import evidence
from sycamoreshed.membership import health
from sycamoreshed.membership import listing
from sycamoreshed.membership import membership
from sycamoreshed.membership import records
from sycamoreshed.observe import logs
from testkit import builders

NAMES = [f"encoder-{n}" for n in range(1, 5)]


class Spread:
    """Stands for the exchange with peers: records, no messages."""

    def __init__(self):
        self.held = records.Records()
        self.heard = {}
        self.lost = set()

    @property
    def view(self):
        return self

    def on_record(self, topic, func, *, own=False):
        self.heard[topic] = (func, own)

    def put(self, topic, key, value, *, via=None, now=0.0):
        if self.held.merge(topic, key, value):
            func, own = self.heard[topic]
            if own or via:
                func(key, value, now)

    def get(self, topic, key):
        return self.held.get(topic, key)

    def entries(self, topic):
        return self.held.entries(topic)

    def drop(self, topic, key):
        self.held.drop(topic, key)

    def set_listed(self, addresses):
        self.addresses = set(addresses)

    def alive_in_zone(self, now):
        return [None, None]

    def lost_zones(self, now):
        return self.lost


def build():
    zones = ["north-a", "north-a", "north-b", "south-a"]
    specs = {
        name: builders.endpoint_spec(zone=zone)
        for name, zone in zip(NAMES, zones, strict=True)
    }
    notes = types.SimpleNamespace(
        config=builders.config(specs), on_change=lambda func: None
    )
    spread = Spread()
    seen = evidence.Evidence(
        gossip=spread,
        instance="entry-1",
        log=logs.DecisionLog(),
        wall=lambda: 1.0,
    )
    reader = listing.Listing(
        settings=None, source=None, notes=notes, gossip=spread, clock=None
    )
    watcher = types.SimpleNamespace(reports={})
    part = membership.Membership(
        notes=notes,
        gossip=spread,
        evidence=seen,
        listing=reader,
        watching=watcher,
    )
    return part, notes, spread, reader


def names(part, notes, now, config=None):
    found = part.candidates(config or notes.config, "encoder", now)
    return [item.name for item in found]


def listed(name, status, generation):
    return instancelist.ListedInstance(
        name, "127.0.0.1:9", "z", status, generation
    )


LISTS = [
    ("leaving", [("leaving", 5)], False),
    ("an old list after", [("leaving", 5), ("live", 4)], False),
    ("the same generation", [("leaving", 5), ("live", 5)], False),
    ("back with a new one", [("leaving", 5), ("live", 6)], True),
    ("always live", [("live", 4)], True),
]


@pytest.mark.parametrize(
    "states, usable", [row[1:] for row in LISTS], ids=[r[0] for r in LISTS]
)
def test_old_lists_never_bring_a_leaver_back(states, usable):
    """The platform's list lags, and its readers see it at other times.

    A leaver that came back would be given work it is about to drop.
    """
    part, notes, _, reader = build()
    for status, generation in states:
        reader.take([listed("encoder-2", status, generation)])
    assert ("encoder-2" in names(part, notes, 0.0)) is usable


def test_withdrawn_endpoints_get_nothing_new_from_older_requests():
    part, notes, _, _ = build()
    admitted = notes.config
    notes.config = state.apply_note(
        admitted, builders.note(1, withdrawn={"endpoints": ["encoder-1"]})
    )
    assert names(part, notes, 0.0, admitted) == NAMES[1:]


def test_endpoints_of_zones_out_of_reach_are_left_out_if_others_are_left():
    part, notes, spread, _ = build()
    spread.lost = {"south-a"}
    assert names(part, notes, 0.0) == NAMES[:3]
    spread.lost = {"north-a", "north-b", "south-a"}
    assert names(part, notes, 0.0) == NAMES


def endpoint(notes, name):
    return next(
        item for item in notes.config.endpoints["encoder"] if item.name == name
    )


def test_failures_in_a_row_eject_then_trials_then_back():
    part, notes, spread, _ = build()
    item = endpoint(notes, "encoder-3")
    for _ in range(health.IN_A_ROW):
        part.report(item, ok=False, now=1.0)
    assert "encoder-3" not in names(part, notes, 1.0)
    assert spread.get(evidence.DOWN, "encoder-3")[2] == 1
    now = 3.0
    for _ in range(health.TRIALS):
        assert "encoder-3" in names(part, notes, now)
        assert "encoder-3" not in names(part, notes, now)
        part.report(item, ok=True, now=now)
    assert "encoder-3" in names(part, notes, now)
    assert "encoder-3" in names(part, notes, now)


def test_word_of_a_peer_ejects_unless_own_calls_say_otherwise():
    part, notes, spread, _ = build()
    part.report(endpoint(notes, "encoder-1"), ok=True, now=1.0)
    for name in ("encoder-1", "encoder-2"):
        spread.put(evidence.DOWN, name, [5, "entry-2", 1], via="p", now=2.0)
    assert names(part, notes, 2.0) == ["encoder-1", "encoder-3", "encoder-4"]


def test_slow_endpoint_is_ejected_by_reported_times():
    part, notes, _, _ = build()
    for number in range(60):
        for name in NAMES:
            seconds = 0.8 if name == "encoder-4" else 0.01
            now = number * 0.1
            part.report(
                endpoint(notes, name), ok=True, now=now, seconds=seconds
            )
    assert names(part, notes, 5.99) == NAMES[:3]
