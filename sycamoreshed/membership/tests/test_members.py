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
    """Records arrive late, twice and out of order.

    If an old `LIVE` record could replace a `LEAVING` one of the same
    generation, a stopped instance would be sent calls again.
    """
    other = values * 2
    shuffler.shuffle(other)
    results = []
    for order in (values, other):
        stored = None
        for value in order:
            stored = members.merge(stored, value)
        results.append(stored)
    assert results[0][:2] == results[1][:2] == max(v[:2] for v in values)


def test_alive_depends_on_suspicion_and_on_zone_heartbeats():
    items = [
        member("own"),
        member("leaver", state=2),
        member("suspect-new", state=1),
        member("suspect-old", state=1),
        member("far", zone="s-a"),
        member("cut", zone="s-b"),
        member("unheard", zone="s-c"),
    ]
    alive = members.alive(
        items,
        suspected_at={"suspect-new": 99.0, "suspect-old": 90.0},
        heartbeat_at={"s-a": 95.0, "s-b": 85.0},
        own_zone="n-a",
        now=100.0,
    )
    assert [item.name for item in alive] == ["far", "own", "suspect-new"]
    assert members.count(alive) == (3, {"s-a": 1, "n-a": 2})


def test_partners_connect_all_instances_with_few_links():
    zones = [f"r{z % 2}-{z}" for z in range(7)]
    everyone = [member(f"e{i:03}", zone=zones[i % 7]) for i in range(410)]
    links = {}
    for own in everyone:
        local = [item for item in everyone if item.zone == own.zone]
        remote = [item for item in everyone if item.zone != own.zone]
        for name in members.partners(own, local, remote):
            links.setdefault(own.name, set()).add(name)
            links.setdefault(name, set()).add(own.name)
    assert sum(map(len, links.values())) / len(links) < 5
    reached = {"e000"}
    for _ in range(10):
        reached |= set().union(*(links[name] for name in reached))
    assert len(reached) == 410


def test_delta_has_the_changes_except_those_of_the_receiver():
    store = records.Records()
    for number in range(records.MAX_DELTA_RECORDS + 10):
        assert store.merge(members.TOPIC, f"e{number}", [1, 0, "a"])
    assert not store.merge(members.TOPIC, "e3", [1, 0, "a"])
    first = store.since(0, same_zone=True)
    rest = store.since(first.last, same_zone=True)
    assert (len(first.records), len(rest.records)) == (500, 10)
    assert store.merge(members.TOPIC, "e3", [1, 2, "a"], via="p")
    assert store.since(rest.last, same_zone=True).records == [
        [members.TOPIC, "e3", [1, 2, "a"]]
    ]
    echo = store.since(rest.last, same_zone=True, to="p")
    assert (echo.records, echo.last) == ([], store.last)
