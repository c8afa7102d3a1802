import types

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from sycamoreshed.membership import members
from sycamoreshed.membership import positions
from sycamoreshed.membership import topics
from sycamoreshed.membership import view

TOPIC = "test-largest"


@topics.topic(TOPIC)
def largest(stored, received):
    return received if stored is None or received > stored else stored


class Instance:
    """The view and positions of one instance, without a network."""

    boots = 100

    def __init__(self, name, zone="n-a"):
        Instance.boots += 1
        self.name, self.boot, self.zone = name, Instance.boots, zone
        settings_ = types.SimpleNamespace(
            instance=name, advertise=f"{name}:1", zone=zone, region="n"
        )
        self.view = view.View(settings=settings_, generation=self.boot)
        self.positions = positions.PeerPositions(boot=self.boot)

    def message(self, to):
        position = self.positions.get(to)
        delta = self.view.since(
            position.acked, same_zone=True, to=(to, position.boot)
        )
        return {
            "name": self.name,
            "boot": self.boot,
            "base": delta.base,
            "last": delta.last,
            "records": delta.records,
            "ack": position.received,
            "of": position.boot,
        }

    def receive(self, message, now=0.0):
        sender = self.positions.update(message)
        for topic, key, value in message["records"]:
            self.view.receive(topic, key, value, sender, now)


def exchange(one, other, lost=None):
    """Exchange messages; the request (``ask``) or the reply may be lost."""
    request = one.message(other.name)
    if lost == "ask":
        return
    other.receive(request)
    reply = other.message(one.name)
    if lost != "answer":
        one.receive(reply)


STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.just("put"),
            st.integers(0, 2),
            st.sampled_from("xyz"),
            st.integers(1, 9),
        ),
        st.tuples(
            st.just("talk"),
            st.integers(0, 2),
            st.integers(0, 2),
            st.sampled_from([None, "ask", "answer"]),
        ),
        st.tuples(st.just("restart"), st.integers(0, 2)),
    ),
    max_size=40,
)


@settings(derandomize=True, max_examples=200)
@given(STEPS)
def test_lost_messages_and_restarts_leave_no_gap(steps):
    """Messages in either direction are lost, and processes restart.

    A gap would leave an instance with an outdated record of a leaving
    instance for ever.
    """
    instances = [Instance(name) for name in "abc"]
    for step in steps:
        if step[0] == "put":
            instances[step[1]].view.put(TOPIC, step[2], step[3], 0.0)
        elif step[0] == "restart":
            instances[step[1]] = Instance(instances[step[1]].name)
        elif step[1] != step[2]:
            exchange(instances[step[1]], instances[step[2]], step[3])
    for _ in range(3):
        exchange(instances[0], instances[1])
        exchange(instances[1], instances[2])
        exchange(instances[2], instances[0])
    values = [dict(each.view.entries(TOPIC)) for each in instances]
    assert values[0] == values[1] == values[2]
    known = [dict(each.view.entries(members.TOPIC)) for each in instances]
    assert known[0] == known[1] == known[2]
    for each in instances:
        assert known[0][each.name][0] == each.view.own.generation


def live(instance, now):
    return [item.name for item in instance.view.alive(now)]


def test_suspected_instance_refutes_and_leaving_instance_is_not_revived():
    """An instance answers too late and is suspected although it is alive."""
    one, two, third = Instance("a"), Instance("b"), Instance("c")
    for pair in ((one, two), (two, third), (third, one), (one, two)):
        exchange(*pair)
    before = two.message("x")
    assert one.view.suspect("b", 0.0)
    assert live(one, 3.0) == ["a", "b", "c"]
    assert live(one, 5.0) == ["a", "c"]
    exchange(one, two)
    exchange(two, one)
    assert live(one, 6.0) == ["a", "b", "c"]
    two.view.leave()
    exchange(two, one)
    assert live(one, 7.0) == ["a", "c"]
    # A message sent before it left arrives late, twice.
    for _ in range(2):
        one.receive(before)
        assert live(one, 8.0) == ["a", "c"]
    exchange(one, third)
    assert live(third, 8.0) == ["a", "c"]
    again = Instance("b")
    exchange(again, one)
    assert live(one, 9.0) == ["a", "b", "c"]


def test_suspicion_in_first_record_of_a_member_counts_as_expired():
    one, two, late = Instance("a"), Instance("b"), Instance("c")
    exchange(one, two)
    one.view.suspect("b", 0.0)
    exchange(late, one)
    assert live(late, 100.0) == ["a", "c"]


def test_instances_of_other_zones_are_never_suspected_individually():
    one, remote = Instance("a"), Instance("b", zone="s-a")
    exchange(one, remote)
    one.view.merge_heartbeats({"s-a": 1}, 0.0)
    assert not one.view.suspect("b", 0.0)
    assert live(one, 9.0) == ["a", "b"]
    assert one.view.unreachable_zones(10.5) == {"s-a"}
    assert live(one, 10.5) == ["a"]
    one.view.merge_heartbeats({"s-a": 1}, 11.0)
    assert live(one, 11.0) == ["a"]
    one.view.merge_heartbeats({"s-a": 2}, 12.0)
    assert live(one, 12.5) == ["a", "b"]


def test_members_unreachable_for_long_are_removed():
    one, two = Instance("a"), Instance("b")
    exchange(one, two)
    one.view.suspect("b", 0.0)
    assert one.view.expire(10.0) == []
    assert one.view.expire(11.0 + view.MEMBER_EXPIRY_S) == ["b"]
    assert one.view.known() == [one.view.own]
