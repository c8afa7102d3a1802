import types

import pytest

from sycamoreshed.adapters import instancelist
from sycamoreshed.config import state
from sycamoreshed.membership import health
from sycamoreshed.membership import listpoller
from sycamoreshed.membership import membership
from sycamoreshed.membership import outliers
from sycamoreshed.membership import records
from sycamoreshed.observe import logs
from testkit import builders

NAMES = [f"encoder-{n}" for n in range(1, 5)]


class FakeGossip:
    """Fake of the gossip service: stores records, sends no messages."""

    def __init__(self):
        self.records = records.Records()
        self.listeners = {}
        self.unreachable = set()

    @property
    def view(self):
        return self

    def on_record(self, topic, func, *, own=False):
        self.listeners[topic] = (func, own)

    def put(self, topic, key, value, *, via=None, now=0.0):
        if self.records.merge(topic, key, value):
            func, own = self.listeners[topic]
            if own or via:
                func(key, value, now)

    def get(self, topic, key):
        return self.records.get(topic, key)

    def entries(self, topic):
        return self.records.entries(topic)

    def drop(self, topic, key):
        self.records.drop(topic, key)

    def set_listed(self, addresses):
        self.addresses = set(addresses)

    def alive_in_zone(self, now):
        return [None, None]

    def unreachable_zones(self, now):
        return self.unreachable


def build():
    zones = ["north-a", "north-a", "north-b", "south-a"]
    specs = {
        name: builders.endpoint_spec(zone=zone)
        for name, zone in zip(NAMES, zones, strict=True)
    }
    notes = types.SimpleNamespace(
        config=builders.config(specs), on_change=lambda func: None
    )
    gossip = FakeGossip()
    detector = outliers.OutlierDetector(
        gossip=gossip,
        instance="entry-1",
        log=logs.DecisionLog(),
        wall=lambda: 1.0,
    )
    poller = listpoller.InstanceListPoller(
        settings=None, source=None, notes=notes, gossip=gossip, clock=None
    )
    prober = types.SimpleNamespace(reports={})
    part = membership.Membership(
        notes=notes,
        gossip=gossip,
        outliers=detector,
        poller=poller,
        prober=prober,
    )
    return part, notes, gossip, poller


def names(part, notes, now, config=None):
    candidates = part.candidates(config or notes.config, "encoder", now)
    return [item.name for item in candidates]


def listed(name, status, generation):
    return instancelist.ListedInstance(
        name, "127.0.0.1:9", "z", status, generation
    )


LISTS = [
    ("leaving", [("leaving", 5)], False),
    ("then an outdated list", [("leaving", 5), ("live", 4)], False),
    ("the same generation", [("leaving", 5), ("live", 5)], False),
    ("a greater generation", [("leaving", 5), ("live", 6)], True),
    ("always live", [("live", 4)], True),
]


@pytest.mark.parametrize(
    "states, usable", [row[1:] for row in LISTS], ids=[r[0] for r in LISTS]
)
def test_outdated_lists_never_revive_a_leaving_endpoint(states, usable):
    """The platform's list lags, and instances read it at different times.

    A revived endpoint would be sent calls that it is about to drop.
    """
    part, notes, _, poller = build()
    for status, generation in states:
        poller.update([listed("encoder-2", status, generation)])
    assert ("encoder-2" in names(part, notes, 0.0)) is usable


def test_withdrawn_endpoints_get_no_new_calls_of_older_requests():
    part, notes, _, _ = build()
    admitted = notes.config
    notes.config = state.apply_note(
        admitted, builders.note(1, withdrawn={"endpoints": ["encoder-1"]})
    )
    assert names(part, notes, 0.0, admitted) == NAMES[1:]


def test_endpoints_of_unreachable_zones_are_left_out_if_others_remain():
    part, notes, gossip, _ = build()
    gossip.unreachable = {"south-a"}
    assert names(part, notes, 0.0) == NAMES[:3]
    gossip.unreachable = {"north-a", "north-b", "south-a"}
    assert names(part, notes, 0.0) == NAMES


def endpoint(notes, name):
    return next(
        item for item in notes.config.endpoints["encoder"] if item.name == name
    )


def test_consecutive_failures_eject_and_successful_trials_end_it():
    part, notes, gossip, _ = build()
    item = endpoint(notes, "encoder-3")
    for _ in range(health.CONSECUTIVE_FAILURES):
        part.report(item, ok=False, now=1.0)
    assert "encoder-3" not in names(part, notes, 1.0)
    assert gossip.get(outliers.DOWN, "encoder-3")[2] == 1
    now = 3.0
    for _ in range(health.TRIALS_TO_RETURN):
        assert "encoder-3" in names(part, notes, now)
        assert "encoder-3" not in names(part, notes, now)
        part.report(item, ok=True, now=now)
    assert "encoder-3" in names(part, notes, now)
    assert "encoder-3" in names(part, notes, now)


def test_report_of_a_peer_ejects_unless_an_own_call_succeeded_recently():
    part, notes, gossip, _ = build()
    part.report(endpoint(notes, "encoder-1"), ok=True, now=1.0)
    for name in ("encoder-1", "encoder-2"):
        gossip.put(outliers.DOWN, name, [5, "entry-2", 1], via="p", now=2.0)
    assert names(part, notes, 2.0) == ["encoder-1", "encoder-3", "encoder-4"]


def test_slow_endpoint_is_ejected_by_call_times():
    part, notes, _, _ = build()
    for number in range(60):
        for name in NAMES:
            seconds = 0.8 if name == "encoder-4" else 0.01
            now = number * 0.1
            part.report(
                endpoint(notes, name), ok=True, now=now, seconds=seconds
            )
    assert names(part, notes, 5.99) == NAMES[:3]
