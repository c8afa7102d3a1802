"""Every policy keeps to the candidates; `balanced` weighs them."""

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

FREE = tariffs.Worth(10.0, 0.0)
DEAR = tariffs.Worth(1.0, 1000.0)


def endpoint(number, zone="north-a", slots=4):
    return state.Endpoint(
        name=f"language-{number}",
        address="127.0.0.1:9",
        service="language",
        zone=zone,
        region=zone.partition("-")[0],
        slots=slots,
        checks_orders=False,
    )


def context(known, **changes):
    fields = {"zone": "north-a", "region": "north", "prefix": None}
    return policies.RoutingContext(**{**fields, "loads": known, **changes})


FLEET = [
    endpoint(number, zone)
    for number, zone in enumerate(["north-a", "north-b", "south-a"] * 3)
]


@pytest.mark.parametrize("name", policies.POLICIES.names())
@settings(derandomize=True, deadline=None)
@given(
    kept=strategies.sets(strategies.integers(0, 8), min_size=1),
    prefix=strategies.none() | strategies.text(max_size=4),
    turn=strategies.integers(0, 50),
)
def test_only_candidates_are_chosen(name, kept, prefix, turn):
    """A leaver is no candidate, so it must never come back here."""
    candidates = [FLEET[index] for index in sorted(kept)]
    here = context(loads.Loads(), prefix=prefix, turn=turn)
    choice = policies.POLICIES.get(name)(candidates, here, 1.0)
    assert choice in candidates


@settings(derandomize=True, deadline=None)
@given(key=strategies.text(), gone=strategies.integers(0, 8))
def test_only_keys_of_the_one_that_left_move(key, gone):
    before = affinity.homes(FLEET, key)[0]
    rest = [item for item in FLEET if item is not FLEET[gone]]
    after = affinity.homes(rest, key)[0]
    assert after == before or before is FLEET[gone]


def test_keys_spread_over_all_endpoints():
    counts = collections.Counter(
        affinity.homes(FLEET, f"{number:016x}")[0].name
        for number in range(9000)
    )
    assert len(counts) == len(FLEET)
    assert 800 < min(counts.values()) <= max(counts.values()) < 1200


def chosen(here, candidates=FLEET, count=60):
    picks = collections.Counter()
    for _ in range(count):
        picks[policies.balanced(candidates, here, 1.0)] += 1
    return picks


def test_same_prefix_same_engine_until_it_is_loaded():
    """One prompt prefix becomes popular: its engine must not drown."""
    known = loads.Loads()
    here = context(known, prefix="dossier", budget_s=3.0)
    (first,) = chosen(here)
    for _ in range(first.slots * 3):
        known.record_start(first)
    assert chosen(here)[first] == 0


def test_zone_first_and_region_only_when_worth_it():
    known = loads.Loads()
    near = [item for item in FLEET if item.region == "north"]
    dear = context(known, worth=DEAR, crossing_bytes=20_000.0, budget_s=3.0)
    assert {item.zone for item in chosen(dear)} == {"north-a"}
    for item in near:
        for _ in range(item.slots * 2):
            known.record_start(item)
    assert {item.region for item in chosen(dear)} == {"north"}
    cheap = dear._replace(worth=FREE)
    assert {item.region for item in chosen(cheap)} == {"south"}


def test_slow_endpoint_is_avoided_and_tried_again_later():
    known = loads.Loads()
    slow, *rest = [item for item in FLEET if item.region == "north"]
    for item in rest:
        known.observe(item, 0.1, 0.0, whole=True)
    known.observe(slow, 1.0, 0.0, whole=True)
    here = context(known, budget_s=3.0)
    candidates = [slow, *rest]
    assert chosen(here, candidates)[slow] == 0
    ages = [known.seconds(slow, now) for now in (1.0, 6.0, 12.0, 60.0)]
    assert ages == sorted(ages, reverse=True)
    # What it once took still weighs a little, by the service's mean.
    assert ages[-1] < 2 * known.seconds(rest[0], 60.0)


def test_warm_adapter_goes_first():
    reports = {
        item.name: ({"adapters": ["festival"] if index == 1 else []}, 0.0)
        for index, item in enumerate(FLEET)
    }
    known = loads.Loads(reports=lambda: reports)
    here = context(known, adapter="festival", budget_s=3.0)
    assert set(chosen(here, FLEET[:2])) == {FLEET[1]}


def test_report_counts_others_and_fades_to_the_level_of_all():
    reports = {}
    known = loads.Loads(reports=lambda: reports)
    busy, idle = FLEET[:2]
    known.record_start(busy)
    reports[busy.name] = ({"running": 8, "waiting": 1}, 10.0)
    reports[idle.name] = ({"running": 0}, 10.0)
    assert known.utilization(busy, 10.0) == 9 / 4
    known.record_start(busy)
    assert known.utilization(busy, 10.0) == 10 / 4
    assert known.utilization(idle, 10.0) == 0
    # Calls take the time expected before any was measured.
    later = 10.0 + 20 * loads.FIRST_SECONDS
    apart = known.utilization(busy, later) - known.utilization(idle, later)
    assert apart == pytest.approx(2 / 4, abs=0.01)
    assert known.utilization(idle, later) > 0
    assert known.utilization(busy, 30.0) == 2 / 4


@settings(derandomize=True, deadline=None)
@given(
    calls=strategies.lists(strategies.integers(0, 8)),
    running=strategies.integers(0, 20),
)
def test_estimates_are_never_below_our_own(calls, running):
    reports = {item.name: ({"running": running}, 0.0) for item in FLEET}
    known = loads.Loads(reports=lambda: reports)
    for index in calls:
        known.record_start(FLEET[index])
        own = calls[: calls.index(index) + 1].count(index)
        assert known.utilization(FLEET[index], 0.5) >= own / 4


def test_home_only_as_far_as_prefixes_return():
    """Prompts that share nothing must not be spread by their hash."""
    known = loads.Loads()
    equal = [endpoint(number) for number in range(2)]
    here = context(known, prefix="dossier", budget_s=3.0)
    home, *_ = affinity.homes(equal, "/dossier")
    assert set(chosen(here, equal)) == {home}
    unknown = here._replace(cached=0.0)
    known.record_start(home)
    assert chosen(unknown, equal)[home] == 0


def test_homes_stay_in_the_region_when_crossing_is_dear():
    known = loads.Loads()
    for item in FLEET:
        known.observe(item, 0.5, 0.0, whole=True)
    key = next(
        str(number)
        for number in range(100)
        if affinity.homes(FLEET, f"/{number}")[0].region == "south"
    )
    cheap = context(known, prefix=key, budget_s=2.0, worth=FREE)
    assert {item.region for item in chosen(cheap)} == {"south"}
    dear = cheap._replace(worth=DEAR, crossing_bytes=2000.0)
    near = [item for item in FLEET if item.region == "north"]
    assert set(chosen(dear)) == {affinity.homes(near, f"/{key}")[0]}


def test_replaced_endpoints_leave_nothing_behind():
    reports = {f"language-{number}": ({}, 0.0) for number in range(500)}
    known = loads.Loads(reports=lambda: reports)
    for number in range(500):
        known.observe(endpoint(number), 0.1, 0.0, whole=True)
    known.forget({item.name for item in FLEET})
    assert len(known._times) == len(known._known) == len(FLEET)
