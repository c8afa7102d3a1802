"""Policies select only candidates; `balanced` selects by cost."""

import collections

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from sycamoreshed.config import state
from sycamoreshed.routing import affinity
from sycamoreshed.routing import loads
from sycamoreshed.routing import policies
from sycamoreshed.routing import tariffs

FREE_CROSSING = tariffs.Prices(10.0, 0.0)
EXPENSIVE_CROSSING = tariffs.Prices(1.0, 1000.0)


def make_endpoint(number, zone="north-a", slots=4):
    return state.Endpoint(
        name=f"language-{number}",
        address="127.0.0.1:9",
        service="language",
        zone=zone,
        region=zone.partition("-")[0],
        slots=slots,
        checks_orders=False,
    )


def make_context(load_state, **changes):
    fields = {"zone": "north-a", "region": "north", "prefix": None}
    return policies.RoutingContext(
        **{**fields, "loads": load_state, **changes}
    )


FLEET = [
    make_endpoint(number, zone)
    for number, zone in enumerate(["north-a", "north-b", "south-a"] * 3)
]


@pytest.mark.parametrize("name", policies.POLICIES.names())
@settings(derandomize=True, deadline=None)
@given(
    indices=strategies.sets(strategies.integers(0, 8), min_size=1),
    prefix=strategies.none() | strategies.text(max_size=4),
    decision_count=strategies.integers(0, 50),
)
def test_only_candidates_are_chosen(name, indices, prefix, decision_count):
    """An endpoint that left is no candidate and must not be selected."""
    candidates = [FLEET[index] for index in sorted(indices)]
    context = make_context(
        loads.Loads(), prefix=prefix, decision_count=decision_count
    )
    choice = policies.POLICIES.get(name)(candidates, context, 1.0)
    assert choice in candidates


@settings(derandomize=True, deadline=None)
@given(key=strategies.text(), removed=strategies.integers(0, 8))
def test_only_keys_of_the_removed_endpoint_move(key, removed):
    before = affinity.preferred_endpoints(FLEET, key)[0]
    remaining = [item for item in FLEET if item is not FLEET[removed]]
    after = affinity.preferred_endpoints(remaining, key)[0]
    assert after == before or before is FLEET[removed]


def test_keys_spread_over_all_endpoints():
    counts = collections.Counter(
        affinity.preferred_endpoints(FLEET, f"{number:016x}")[0].name
        for number in range(9000)
    )
    assert len(counts) == len(FLEET)
    assert 800 < min(counts.values()) <= max(counts.values()) < 1200


def count_choices(context, candidates=FLEET, count=60):
    choices = collections.Counter()
    for _ in range(count):
        choices[policies.balanced(candidates, context, 1.0)] += 1
    return choices


def test_prefix_keeps_its_engine_until_that_is_loaded():
    """A popular prompt prefix must not overload its preferred engine."""
    load_state = loads.Loads()
    context = make_context(load_state, prefix="dossier", budget_s=3.0)
    (first,) = count_choices(context)
    for _ in range(first.slots * 3):
        load_state.record_start(first)
    assert count_choices(context)[first] == 0


def test_own_zone_is_preferred_and_regions_crossed_only_if_cheap():
    load_state = loads.Loads()
    same_region = [item for item in FLEET if item.region == "north"]
    expensive = make_context(
        load_state,
        prices=EXPENSIVE_CROSSING,
        transfer_bytes=20_000.0,
        budget_s=3.0,
    )
    assert {item.zone for item in count_choices(expensive)} == {"north-a"}
    for item in same_region:
        for _ in range(item.slots * 2):
            load_state.record_start(item)
    assert {item.region for item in count_choices(expensive)} == {"north"}
    cheap = expensive._replace(prices=FREE_CROSSING)
    assert {item.region for item in count_choices(cheap)} == {"south"}


def test_slow_endpoint_is_avoided_until_its_estimate_decays():
    load_state = loads.Loads()
    slow, *remaining = [item for item in FLEET if item.region == "north"]
    for item in remaining:
        load_state.observe_time(item, 0.1, 0.0, completed=True)
    load_state.observe_time(slow, 1.0, 0.0, completed=True)
    context = make_context(load_state, budget_s=3.0)
    candidates = [slow, *remaining]
    assert count_choices(context, candidates)[slow] == 0
    times = [
        load_state.expected_time_s(slow, now) for now in (1.0, 6.0, 12.0, 60.0)
    ]
    assert times == sorted(times, reverse=True)
    # The old measurement still has a small effect, through the service's mean.
    assert times[-1] < 2 * load_state.expected_time_s(remaining[0], 60.0)


def test_endpoint_with_the_adapter_loaded_is_preferred():
    reports = {
        item.name: ({"adapters": ["festival"] if index == 1 else []}, 0.0)
        for index, item in enumerate(FLEET)
    }
    load_state = loads.Loads(reports=lambda: reports)
    context = make_context(load_state, adapter="festival", budget_s=3.0)
    assert set(count_choices(context, FLEET[:2])) == {FLEET[1]}


def test_reported_load_decays_to_the_average_of_the_service():
    reports = {}
    load_state = loads.Loads(reports=lambda: reports)
    busy, idle = FLEET[:2]
    load_state.record_start(busy)
    reports[busy.name] = ({"running": 8, "waiting": 1}, 10.0)
    reports[idle.name] = ({"running": 0}, 10.0)
    assert load_state.utilization(busy, 10.0) == 9 / 4
    load_state.record_start(busy)
    assert load_state.utilization(busy, 10.0) == 10 / 4
    assert load_state.utilization(idle, 10.0) == 0
    # Without measurements the initial call time is the half-life.
    later = 10.0 + 20 * loads.INITIAL_CALL_TIME_S
    difference = load_state.utilization(busy, later) - load_state.utilization(
        idle, later
    )
    assert difference == pytest.approx(2 / 4, abs=0.01)
    assert load_state.utilization(idle, later) > 0
    assert load_state.utilization(busy, 30.0) == 2 / 4


@settings(derandomize=True, deadline=None)
@given(
    calls=strategies.lists(strategies.integers(0, 8)),
    running=strategies.integers(0, 20),
)
def test_utilization_is_never_below_the_own_calls(calls, running):
    reports = {item.name: ({"running": running}, 0.0) for item in FLEET}
    load_state = loads.Loads(reports=lambda: reports)
    for index in calls:
        load_state.record_start(FLEET[index])
        own = calls[: calls.index(index) + 1].count(index)
        assert load_state.utilization(FLEET[index], 0.5) >= own / 4


def test_preference_depends_on_the_cache_probability():
    """Prompts without common prefixes must not be routed by their hash."""
    load_state = loads.Loads()
    identical = [make_endpoint(number) for number in range(2)]
    context = make_context(load_state, prefix="dossier", budget_s=3.0)
    preferred, *_ = affinity.preferred_endpoints(identical, "/dossier")
    assert set(count_choices(context, identical)) == {preferred}
    uncached = context._replace(cache_probability=0.0)
    load_state.record_start(preferred)
    assert count_choices(uncached, identical)[preferred] == 0


def test_preferred_endpoints_are_regional_if_crossing_is_expensive():
    load_state = loads.Loads()
    for item in FLEET:
        load_state.observe_time(item, 0.5, 0.0, completed=True)
    key = next(
        str(number)
        for number in range(100)
        if affinity.preferred_endpoints(FLEET, f"/{number}")[0].region
        == "south"
    )
    cheap = make_context(
        load_state, prefix=key, budget_s=2.0, prices=FREE_CROSSING
    )
    assert {item.region for item in count_choices(cheap)} == {"south"}
    expensive = cheap._replace(
        prices=EXPENSIVE_CROSSING, transfer_bytes=2000.0
    )
    same_region = [item for item in FLEET if item.region == "north"]
    assert set(count_choices(expensive)) == {
        affinity.preferred_endpoints(same_region, f"/{key}")[0]
    }


def test_replaced_endpoints_leave_no_state():
    reports = {f"language-{number}": ({}, 0.0) for number in range(500)}
    load_state = loads.Loads(reports=lambda: reports)
    for number in range(500):
        load_state.observe_time(
            make_endpoint(number), 0.1, 0.0, completed=True
        )
    load_state.retain({item.name for item in FLEET})
    assert (
        len(load_state._endpoint_times)
        == len(load_state._reported_loads)
        == len(FLEET)
    )
