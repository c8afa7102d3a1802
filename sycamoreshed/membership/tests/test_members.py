from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from sycamoreshed.membership import members
from sycamoreshed.membership import records

VALUES = st.tuples(
    st.integers(1, 4), st.sampled_from([0, 1, 2]), st.just("a")
).map(list)


def member(name, zone="n-a", state=0):
    return members.Member(1, state, f"{name}:1", zone, zone[0], name)


@settings(derandomize=True)
@given(st.lists(VALUES, min_size=1), st.randoms(use_true_random=False))
def test_merge_is_the_same_in_any_order_and_never_revives(values, shuffler):
    """Messages come late, twice and out of order.

    If an old "live" could undo a "leaving" of the same generation, a
    stopped instance would be given work again.
    """
    other = values * 2
    shuffler.shuffle(other)
    results = []
    for order in (values, other):
        held = None
        for value in order:
            held = members.merge(held, value)
        results.append(held)
    assert results[0][:2] == results[1][:2] == max(v[:2] for v in values)


def test_alive_depends_on_suspicion_and_on_zone_beats():
    items = [
        member("own"),
        member("leaver", state=2),
        member("suspect-new", state=1),
        member("suspect-old", state=1),
        member("far", zone="s-a"),
        member("cut", zone="s-b"),
        member("unheard", zone="s-c"),
    ]
    found = members.alive(
        items,
        suspected={"suspect-new": 99.0, "suspect-old": 90.0},
        beats={"s-a": 95.0, "s-b": 85.0},
        own_zone="n-a",
        now=100.0,
    )
    assert [item.name for item in found] == ["far", "own", "suspect-new"]
    assert members.count(found) == (3, {"s-a": 1, "n-a": 2})


def test_partners_connect_all_instances_with_few_links():
    zones = [f"r{z % 2}-{z}" for z in range(7)]
    everyone = [member(f"e{i:03}", zone=zones[i % 7]) for i in range(410)]
    links = {}
    for own in everyone:
        near = [item for item in everyone if item.zone == own.zone]
        far = [item for item in everyone if item.zone != own.zone]
        for name in members.partners(own, near, far):
            links.setdefault(own.name, set()).add(name)
            links.setdefault(name, set()).add(own.name)
    assert sum(map(len, links.values())) / len(links) < 5
    reached = {"e000"}
    for _ in range(10):
        reached |= set().union(*(links[name] for name in reached))
    assert len(reached) == 410


def test_records_give_a_receiver_what_changed_and_no_echo():
    held = records.Records()
    for number in range(records.MOST_RECORDS + 10):
        assert held.merge(members.TOPIC, f"e{number}", [1, 0, "a"])
    assert not held.merge(members.TOPIC, "e3", [1, 0, "a"])
    first = held.since(0, same_zone=True)
    rest = held.since(first.last, same_zone=True)
    assert (len(first.records), len(rest.records)) == (500, 10)
    assert held.merge(members.TOPIC, "e3", [1, 2, "a"], via="p")
    assert held.since(rest.last, same_zone=True).records == [
        [members.TOPIC, "e3", [1, 2, "a"]]
    ]
    echo = held.since(rest.last, same_zone=True, to="p")
    assert (echo.records, echo.last) == ([], held.last)
