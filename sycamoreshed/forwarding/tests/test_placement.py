"""Which endpoint gets a request."""

import pytest

from sycamoreshed.catalog import types
from sycamoreshed.forwarding import health as healths
from sycamoreshed.forwarding import placement
from testkit import journals


@pytest.fixture
def health():
    """Return the evidence of an instance that has seen nothing."""
    return healths.Health(journal=journals.Journal())


@pytest.fixture
def placer(health):
    """Return the choice of an instance of north-a."""
    regions = {"north-a": "north", "north-b": "north", "south-a": "south"}
    return placement.Placer(zone="north-a", regions=regions, health=health)


def endpoint(name, zone="north-a"):
    """Return an endpoint of an engine."""
    return types.Endpoint(name, "engine", f"{name}:80", zone, 64)


def test_the_own_zone_first_then_the_region(placer, health):
    far = endpoint("far", "south-a")
    near = endpoint("near", "north-b")
    own = endpoint("own")
    pool = [far, near, own]
    assert placer.choose(pool, 0.0).endpoint is own
    health.record_failure(own, 0.0, "refused", reachable=False)
    assert placer.choose(pool, 0.1).endpoint is near


def test_large_results_draw_a_request_to_their_zone(placer):
    """Results of 7.5 MB lie in another zone.

    Fetched from there they cost a tenth of what the request is worth; its
    body is much smaller.
    """
    pool = [endpoint("own"), endpoint("far", "south-a")]
    choice = placer.choose(
        pool, 0.0, body_bytes=18000, held={"south-a": 7_500_000}
    )
    assert choice.endpoint.id == "far"
    choice = placer.choose(
        pool, 0.0, body_bytes=18000, held={"south-a": 96_000}
    )
    assert choice.endpoint.id == "own"


def test_equal_prefixes_find_the_same_engine(placer):
    pool = [endpoint(f"e{number}") for number in range(5)]
    chosen = {
        placer.choose(order, 0.0, affinity="part").endpoint.id
        for order in (pool, pool[::-1])
    }
    assert len(chosen) == 1


def test_a_prefix_does_not_overrun_its_engine(placer):
    """One key gets much of the traffic.

    Its requests spread over others once the engine has some more in
    flight than the least loaded.
    """
    pool = [endpoint(f"e{number}") for number in range(3)]
    for _ in range(30):
        choice = placer.choose(pool, 0.0, affinity="hot")
        placer.begin(choice.endpoint)
    counts = [placer.in_flight(each) for each in pool]
    assert max(counts) - min(counts) <= placement.AFFINITY_SLACK + 1


def test_avoided_endpoints_are_better_than_none(placer, health):
    only = endpoint("only")
    health.record_failure(only, 0.0, "refused", reachable=False)
    assert placer.choose([only], 0.1).endpoint is only
    assert placer.choose([only], 0.1, tried={"only"}) is None


def test_failures_in_a_row_put_an_endpoint_out_for_a_while(health):
    """An endpoint fails everything; one failure is no reason yet."""
    failing = endpoint("failing")
    for number in range(healths.FAILURES_OUT):
        assert not health.is_avoided(failing, number)
        health.record_failure(failing, number, "500")
    assert health.is_avoided(failing, number + 0.1)
    assert not health.is_avoided(failing, number + 60.0)


def test_an_endpoint_that_fails_half_its_answers_is_put_out(health):
    """Good answers in between end each row of failures."""
    grey = endpoint("grey")
    out = False
    for number in range(40):
        now = number * 0.01
        if number % 2:
            health.record_success(grey, now)
        else:
            health.record_failure(grey, now, "500")
        out = out or health.is_avoided(grey, now)
    assert out


def test_a_service_that_often_fails_a_read_is_not_put_out(health):
    """One answer in seven fails at all endpoints at all times."""
    usual = endpoint("usual")
    for number in range(140):
        now = number * 0.01
        if number % 7:
            health.record_success(usual, now)
        else:
            health.record_failure(usual, now, "500")
        assert not health.is_avoided(usual, now)


def test_no_more_connections_than_the_share_of_an_endpoint(placer):
    """An endpoint takes ten connections, five from each of two instances.

    The next one would be reset. A caller whose request was on its way
    then cannot be told whether it ran.
    """
    near, far = endpoint("near"), endpoint("far", "south-a")
    most = placement.connection_share(10, 2)
    for _ in range(5):
        placer.begin(placer.choose([near, far], 0.0, most=most).endpoint)
    assert placer.in_flight(near) == 5
    assert placer.choose([near, far], 0.0, most=most).endpoint is far
    assert placer.choose([near], 0.0, most=most) is None
    placer.end(near)
    assert placer.choose([near], 0.0, most=most).endpoint is near


def test_a_zone_with_one_slow_engine_left_does_not_get_all(placer):
    """Two of three engines of a zone are replaced, the third is slow.

    Requests gather there, and callers of the zone wait for streams that
    never end in time while engines of other zones have nothing to do.
    """
    pool = [
        endpoint("slow"),
        endpoint("a", "south-a"),
        endpoint("b", "south-a"),
    ]
    held = {"north-a": 7_500_000}
    for number in range(40):
        affinity = None if number % 2 else "part"
        choice = placer.choose(pool, 0.0, affinity=affinity, held=held)
        placer.begin(choice.endpoint)
    assert placer.in_flight(pool[0]) < 20
    assert placer.in_flight(pool[1]) > 5
    assert placer.in_flight(pool[2]) > 5


def test_a_few_more_in_flight_do_not_leave_the_zone(placer):
    pool = [endpoint("own"), endpoint("far", "south-a")]
    for _ in range(placement.SPILL_SLACK):
        placer.begin(placer.choose(pool, 0.0).endpoint)
    assert placer.in_flight(pool[1]) == 0


def test_a_long_prefix_finds_the_same_engine_from_every_zone(health):
    """Callers of three regions ask about the same collection of documents.

    If the engines of each region read its 13,000 tokens anew, the first
    event of each of them comes 0.2 s later, and so do the events of all
    that the engine works on meanwhile.
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
            # The results of its stages lie where its caller is.
            choice = placer.choose(
                pool,
                0.0,
                affinity=part,
                shared_tokens=13_300,
                body_bytes=17_000,
                held={zone: 7_500_000},
            )
            chosen.add(choice.endpoint.id)
        assert len(chosen) == 1


def test_a_short_prefix_is_not_worth_the_way_to_a_region(placer):
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
