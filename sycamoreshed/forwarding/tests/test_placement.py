"""Tests of endpoint selection and endpoint health."""

import pytest

from sycamoreshed.catalog import types
from sycamoreshed.engineload import speeds
from sycamoreshed.engineload import told as told_loads
from sycamoreshed.forwarding import health as healths
from sycamoreshed.forwarding import placement
from sycamoreshed.platform import toldloads
from testkit import journals


@pytest.fixture
def health():
    """Return the health of endpoints without recorded outcomes."""
    return healths.Health(journal=journals.Journal())


@pytest.fixture
def placer(health):
    """Return the placer of an instance in zone north-a."""
    regions = {"north-a": "north", "north-b": "north", "south-a": "south"}
    return placement.Placer(zone="north-a", regions=regions, health=health)


def endpoint(name, zone="north-a"):
    """Return an endpoint with a name and a zone."""
    return types.Endpoint(name, "engine", f"{name}:80", zone, 64)


def test_own_zone_is_preferred_then_own_region(placer, health):
    far = endpoint("far", "south-a")
    near = endpoint("near", "north-b")
    own = endpoint("own")
    pool = [far, near, own]
    assert placer.choose(pool, 0.0).endpoint is own
    health.record_failure(own, 0.0, "refused", reachable=False)
    assert placer.choose(pool, 0.1).endpoint is near


def test_large_results_are_served_in_their_zone(placer):
    """The stage results of a request, 7.5 MB, are stored in another zone.

    Fetched from there, they would cost a tenth of the value of the request,
    since traffic across zones is paid for; its body is much smaller.
    """
    pool = [endpoint("own"), endpoint("far", "south-a")]
    choice = placer.choose(
        pool, 0.0, body_bytes=18000, result_bytes={"south-a": 7_500_000}
    )
    assert choice.endpoint.id == "far"
    choice = placer.choose(
        pool, 0.0, body_bytes=18000, result_bytes={"south-a": 96_000}
    )
    assert choice.endpoint.id == "own"


def test_equal_prefixes_select_the_same_engine(placer):
    pool = [endpoint(f"e{number}") for number in range(5)]
    chosen = {
        placer.choose(order, 0.0, affinity="part").endpoint.id
        for order in (pool, pool[::-1])
    }
    assert len(chosen) == 1


def test_a_frequent_prefix_does_not_overload_its_engine(placer):
    """Much of the traffic has the same prefix.

    Its requests go to other engines once the load of its own engine exceeds
    that of the least loaded one by more than the slack.
    """
    pool = [endpoint(f"e{number}") for number in range(3)]
    for _ in range(30):
        choice = placer.choose(pool, 0.0, affinity="hot")
        placer.record_start(choice.endpoint)
    counts = [placer.in_flight(each) for each in pool]
    assert max(counts) - min(counts) <= placement.AFFINITY_SLACK + 1


def test_an_avoided_endpoint_is_used_if_it_is_the_only_one(placer, health):
    only = endpoint("only")
    health.record_failure(only, 0.0, "refused", reachable=False)
    assert placer.choose([only], 0.1).endpoint is only
    assert placer.choose([only], 0.1, tried={"only"}) is None


def test_consecutive_failures_make_an_endpoint_avoided_for_a_while(health):
    """A single failure must not be enough."""
    failing = endpoint("failing")
    for number in range(healths.CONSECUTIVE_FAILURES):
        assert not health.is_avoided(failing, number)
        health.record_failure(failing, number, "500")
    assert health.is_avoided(failing, number + 0.1)
    assert not health.is_avoided(failing, number + 60.0)


def test_an_endpoint_that_fails_half_its_answers_is_avoided(health):
    """Successes in between reset the count of consecutive failures."""
    grey = endpoint("grey")
    avoided = False
    for number in range(40):
        now = number * 0.01
        if number % 2:
            health.record_success(grey, now)
        else:
            health.record_failure(grey, now, "500")
        avoided = avoided or health.is_avoided(grey, now)
    assert avoided


def test_a_service_with_a_constant_failure_rate_is_not_avoided(health):
    """One answer in seven always fails, at every endpoint."""
    usual = endpoint("usual")
    for number in range(140):
        now = number * 0.01
        if number % 7:
            health.record_success(usual, now)
        else:
            health.record_failure(usual, now, "500")
        assert not health.is_avoided(usual, now)


def test_connections_to_an_endpoint_stay_within_the_share(placer):
    """An endpoint accepts ten connections, five from each of two instances.

    It resets any further connection, and the outcome of a request that was
    sent on it is unknown.
    """
    near, far = endpoint("near"), endpoint("far", "south-a")
    limit = placement.connection_share(10, 2)
    for _ in range(5):
        placer.record_start(
            placer.choose([near, far], 0.0, max_in_flight=limit).endpoint
        )
    assert placer.in_flight(near) == 5
    assert placer.choose([near, far], 0.0, max_in_flight=limit).endpoint is far
    assert placer.choose([near], 0.0, max_in_flight=limit) is None
    placer.record_end(near)
    assert placer.choose([near], 0.0, max_in_flight=limit).endpoint is near


def test_load_spills_over_from_a_zone_with_one_slow_engine(placer):
    """Two of three engines of a zone are being replaced, the third is slow.

    Without a spill-over the requests of the zone accumulate there and their
    streams end late while engines of other zones are idle.
    """
    pool = [
        endpoint("slow"),
        endpoint("a", "south-a"),
        endpoint("b", "south-a"),
    ]
    result_bytes = {"north-a": 7_500_000}
    for number in range(40):
        affinity = None if number % 2 else "part"
        choice = placer.choose(
            pool, 0.0, affinity=affinity, result_bytes=result_bytes
        )
        placer.record_start(choice.endpoint)
    assert placer.in_flight(pool[0]) < 20
    assert placer.in_flight(pool[1]) > 5
    assert placer.in_flight(pool[2]) > 5


def test_a_small_difference_in_load_does_not_spill_over(placer):
    pool = [endpoint("own"), endpoint("far", "south-a")]
    for _ in range(placement.SPILL_SLACK):
        placer.record_start(placer.choose(pool, 0.0).endpoint)
    assert placer.in_flight(pool[1]) == 0


def test_a_long_prefix_selects_the_same_engine_from_every_zone(health):
    """Callers in three regions ask about the same collection of documents.

    If an engine in each region prefills its 13,000 tokens, the first event
    of the request comes 0.2 s later, and so do the events of all other
    requests that the engine has in progress.
    """
    regions = {"north-a": "north", "south-a": "south", "east-a": "east"}
    pool = [
        endpoint(f"{zone}-{number}", zone)
        for zone in regions
        for number in range(2)
    ]
    for part in ("a", "b", "c", "d"):
        chosen = set()
        for zone in regions:
            placer = placement.Placer(
                zone=zone, regions=regions, health=health
            )
            # The stage results are stored in the zone of the instance.
            choice = placer.choose(
                pool,
                0.0,
                affinity=part,
                shared_tokens=13_300,
                body_bytes=17_000,
                result_bytes={zone: 7_500_000},
            )
            chosen.add(choice.endpoint.id)
        assert len(chosen) == 1


def test_a_short_prefix_does_not_select_another_region(placer):
    pool = [
        endpoint("own"),
        endpoint("a", "south-a"),
        endpoint("b", "north-b"),
    ]
    for part in map(str, range(20)):
        choice = placer.choose(
            pool, 0.0, affinity=part, shared_tokens=350, body_bytes=1500
        )
        assert choice.endpoint.zone != "south-a"


def _told_placer(health, told):
    """Return a placer that knows what endpoints told at 0.0."""
    loads = told_loads.ToldLoads()
    for each, load in told.items():
        loads.record(each, toldloads.ToldLoad(*load), 0.0)
    return placement.Placer(
        zone="north-a",
        regions={},
        health=health,
        told_loads=loads,
        speeds=speeds.Speeds(told=loads),
    )


@pytest.mark.parametrize(
    ("busy", "slow"), [((60, 9, 64), (0, 0, 64)), ((8, 0, 64), (4, 0, 64, 3))]
)
def test_plain_calls_avoid_endpoints_that_tell_of_load(health, busy, slow):
    """Load: calls of other instances, which this one does not see."""
    one, other = endpoint("one"), endpoint("other")
    load = toldloads.ToldLoad(*slow)
    placer = _told_placer(health, {one: busy, other: load})
    choices = {
        placer.choose([one, other], at / 100, is_plain=True).endpoint.id
        for at in range(20)
    }
    # The told slowdown is three times the usual.
    expected = "one" if load.slowdown > 1 else "other"
    assert choices == {expected}


def test_old_loads_and_those_of_engines_change_no_choice(health):
    """Guards against a load that was told by an endpoint long ago."""
    pool = [endpoint(f"e{number}") for number in range(4)]
    plain = placement.Placer(zone="north-a", regions={}, health=health)
    placer = _told_placer(health, dict.fromkeys(pool[:2], (60, 0, 64, 1.0)))
    for number in range(40):
        for now, is_plain in ((number / 100, False), (1 + number, True)):
            choice = placer.choose(pool, now, is_plain=is_plain)
            assert choice == plain.choose(pool, now)
