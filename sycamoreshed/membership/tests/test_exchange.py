import types

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from sycamoreshed.membership import links
from sycamoreshed.membership import members
from sycamoreshed.membership import topics
from sycamoreshed.membership import view

TOPIC = "test-largest"


@topics.topic(TOPIC)
def largest(held, came):
    return came if held is None or came > held else held


class Side:
    """One instance without its network."""

    boots = 100

    def __init__(self, name, zone="n-a"):
        Side.boots += 1
        self.name, self.boot, self.zone = name, Side.boots, zone
        about = types.SimpleNamespace(
            instance=name, advertise=f"{name}:1", zone=zone, region="n"
        )
        self.view = view.View(settings=about, generation=self.boot)
        self.links = links.Links(boot=self.boot)

    def message(self, to):
        link = self.links.get(to)
        delta = self.view.since(link.acked, same_zone=True, to=(to, link.boot))
        return {
            "name": self.name,
            "boot": self.boot,
            "base": delta.base,
            "last": delta.last,
            "records": delta.records,
            "ack": link.got,
            "of": link.boot,
        }

    def take(self, message, now=0.0):
        via = self.links.take(message)
        for topic, key, value in message["records"]:
            self.view.receive(topic, key, value, via, now)


def exchange(one, other, lost=None):
    """Exchange messages; ``ask`` or ``answer`` may be lost."""
    ask = one.message(other.name)
    if lost == "ask":
        return
    other.take(ask)
    answer = other.message(one.name)
    if lost != "answer":
        one.take(answer)


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
    """Messages are lost one way or the other, and processes restart.

    A gap would leave an instance with an old word on a leaver for ever.
    """
    sides = [Side(name) for name in "abc"]
    for step in steps:
        if step[0] == "put":
            sides[step[1]].view.put(TOPIC, step[2], step[3], 0.0)
        elif step[0] == "restart":
            sides[step[1]] = Side(sides[step[1]].name)
        elif step[1] != step[2]:
            exchange(sides[step[1]], sides[step[2]], step[3])
    for _ in range(3):
        exchange(sides[0], sides[1])
        exchange(sides[1], sides[2])
        exchange(sides[2], sides[0])
    held = [dict(side.view.entries(TOPIC)) for side in sides]
    assert held[0] == held[1] == held[2]
    known = [dict(side.view.entries(members.TOPIC)) for side in sides]
    assert known[0] == known[1] == known[2]
    for side in sides:
        assert known[0][side.name][0] == side.view.own.generation


def live(side, now):
    return [item.name for item in side.view.alive(now)]


def test_a_suspected_instance_objects_and_a_leaver_does_not_come_back():
    """An instance answers too late, and is suspected though it lives."""
    one, two, third = Side("a"), Side("b"), Side("c")
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
    # What was said before it left arrives late, twice.
    for _ in range(2):
        one.take(before)
        assert live(one, 8.0) == ["a", "c"]
    exchange(one, third)
    assert live(third, 8.0) == ["a", "c"]
    again = Side("b")
    exchange(again, one)
    assert live(one, 9.0) == ["a", "b", "c"]


def test_a_suspicion_heard_for_the_first_time_is_an_old_one():
    one, two, late = Side("a"), Side("b"), Side("c")
    exchange(one, two)
    one.view.suspect("b", 0.0)
    exchange(late, one)
    assert live(late, 100.0) == ["a", "c"]


def test_instances_of_other_zones_are_never_suspected_one_by_one():
    one, far = Side("a"), Side("b", zone="s-a")
    exchange(one, far)
    one.view.merge_heartbeats({"s-a": 1}, 0.0)
    assert not one.view.suspect("b", 0.0)
    assert live(one, 9.0) == ["a", "b"]
    assert one.view.lost_zones(10.5) == {"s-a"}
    assert live(one, 10.5) == ["a"]
    one.view.merge_heartbeats({"s-a": 1}, 11.0)
    assert live(one, 11.0) == ["a"]
    one.view.merge_heartbeats({"s-a": 2}, 12.0)
    assert live(one, 12.5) == ["a", "b"]


def test_members_long_out_of_reach_are_forgotten():
    one, two = Side("a"), Side("b")
    exchange(one, two)
    one.view.suspect("b", 0.0)
    assert one.view.forget(10.0) == []
    assert one.view.forget(11.0 + view.FORGET_S) == ["b"]
    assert one.view.known() == [one.view.own]
