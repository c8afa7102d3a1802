"""Tests of the selection of engines, and of the loads that it answers."""

import random

import pytest

from sycamoreshed.catalog import types
from sycamoreshed.engineload import ledger as ledgers
from sycamoreshed.engineload import speeds
from sycamoreshed.engineload import view as views
from sycamoreshed.engineload import work
from sycamoreshed.forwarding import enginechoice
from sycamoreshed.forwarding import engineloads
from sycamoreshed.forwarding import health
from sycamoreshed.forwarding import placement
from testkit import enginepool
from testkit import journals
from testkit import virtualtime

REGIONS = {"north-a": "north", "north-b": "north", "south-a": "south"}
SPEC = types.EngineSpec(64, 100_000)
REQUEST = work.Work(900, 600, 80)
# Six fast engines, three usual ones and three slow ones.
UNEVEN = {
    f"e{number}": (0.6, 0.6, 1.0, 1.6)[number % 4] for number in range(12)
}
TARGET_S = 0.3


def placer(view=None):
    """Return the placer of an instance in zone north-a."""
    return placement.Placer(
        zone="north-a",
        regions=REGIONS,
        health=health.Health(journal=journals.Journal()),
        engines=view
        and engineloads.EngineLoads(view=view, speeds=speeds.Speeds()),
    )


def engines(count):
    """Return engines in all zones."""
    return [
        types.Endpoint(
            f"e{number}",
            "llm",
            f"e{number}:80",
            tuple(REGIONS)[number % 3],
            64,
        )
        for number in range(count)
    ]


@pytest.mark.parametrize("affinity", [None, "prefix"])
@pytest.mark.parametrize("is_told", [False, True])
def test_idle_equal_engines_are_chosen_as_by_own_counts(affinity, is_told):
    """Deployments with little load were served in another way than before."""
    view = views.LoadView(ledger=ledgers.Ledger())
    by_load, by_count = placer(view), placer()
    pool = engines(12)
    needed = REQUEST if affinity else work.Work(900, 0, 80)
    for number in range(50):
        now = number * 0.01
        if is_told:
            view.record_report("other", {}, now - 0.1)
        options = {
            "affinity": f"{affinity}{number}" if affinity else None,
            "shared_tokens": needed.shared_tokens,
            "body_bytes": 4000,
        }
        expected = by_count.choose(pool, now, **options)
        choice = by_load.choose(
            pool, now, needed=needed, engine=SPEC, **options
        )
        assert choice.endpoint is expected.endpoint
        if number < 3 and not affinity:
            # The next ones go to engines without requests.
            by_count.record_start(choice.endpoint)
            view.ledger.record_start(choice.endpoint.boot, needed)


def play(arrivals, **options):
    """Return the records of requests that a `Pool` serves."""

    async def main():
        return await enginepool.Pool(**options).play(arrivals)

    return virtualtime.run(main())


def uneven_arrivals(share, seconds=4):
    """Return arrivals that take a share of what the uneven engines can do."""
    rng = random.Random(7)
    rate = share * sum(4 / (0.06 * each) for each in UNEVEN.values())
    at = 0.0
    arrivals = []
    while at < seconds:
        at += rng.expovariate(rate)
        arrivals.append(
            enginepool.Arrival(at, work.Work(), rng.expovariate(1 / 0.06))
        )
    return arrivals


@pytest.mark.parametrize(
    "options",
    [
        {},
        # Other instances cannot be heard.
        {"report_s": None},
        # No answer has shown how fast engines are.
        {"knows_speeds": False},
    ],
)
def test_uneven_engines_before_many_instances(options):
    """Many instances with few requests each chose alike, or blindly.

    The load: engines of 4 slots at 0.85 of what they can do, 78 instances,
    counts of the others 0.1 to 0.2 s old.
    """
    arrivals = uneven_arrivals(0.85)
    pool = {
        "slowness": UNEVEN,
        "spec": types.EngineSpec(4, 24_000),
        "instances": 78,
    }

    def late(**changes):
        records = play(arrivals, **pool, **changes)
        return sum(each.took_s > TARGET_S for each in records)

    before, after = late(knows_load=False), late(**options)
    # The speeds halve it again.
    assert after < before / (1 if "knows_speeds" in options else 2)


def memory_arrivals(count, rate):
    """Return prompts of 300 to 12,000 tokens, half with a common prefix."""
    rng = random.Random(3)
    at = 0.0
    arrivals = []
    for _ in range(count):
        at += rng.expovariate(rate)
        size = int(min(12_000, max(300, rng.lognormvariate(7.6, 1.0))))
        is_common = size > 2000 and rng.random() < 0.7
        needed = work.Work(size, 1500 if is_common else 0, 100)
        affinity = "common" if is_common else None
        arrivals.append(
            enginepool.Arrival(at, needed, rng.expovariate(1 / 0.6), affinity)
        )
    return arrivals


def test_no_engine_is_over_its_memory_while_another_has_room():
    """Prompts with a common prefix went to one engine beyond its memory."""
    records = play(
        memory_arrivals(400, 60.0),
        slowness=dict.fromkeys(UNEVEN, 1.0),
        spec=types.EngineSpec(16, 24_000),
        instances=1,
    )
    assert [each for each in records if each.overflow or each.failure] == []


@pytest.mark.parametrize("instances", [9, 78])
def test_memory_is_kept_by_counts_that_are_late(instances):
    """All instances took the same room before they heard of each other."""

    def overflows(**options):
        records = play(
            memory_arrivals(400, 40.0),
            slowness=dict.fromkeys(UNEVEN, 1.0),
            spec=types.EngineSpec(16, 24_000),
            instances=instances,
            **options,
        )
        return sum(each.overflow > 0 for each in records)

    assert overflows() < overflows(knows_load=False) / 4


def test_prefix_of_half_of_the_traffic_is_read_at_few_engines():
    """A common prefix was read everywhere, or its engine was overloaded."""
    rng = random.Random(5)
    arrivals = []
    for number in range(800):
        affinity = "hot" if number % 2 else f"p{number}"
        needed = work.Work(6000, 5000, 20)
        arrivals.append(
            enginepool.Arrival(number / 80, needed, rng.random(), affinity)
        )
    records = play(
        arrivals,
        slowness=dict.fromkeys(UNEVEN, 1.0),
        spec=types.EngineSpec(16, 400_000),
        instances=78,
    )
    hot = [each for each in records if each.arrival.affinity == "hot"]
    assert sum(each.reads == 6000 for each in hot) <= len(UNEVEN)
    by_engine = {}
    for each in records:
        by_engine[each.engine] = by_engine.get(each.engine, 0) + 1
    # Its engine has taken less than what its slots can do, half a second each.
    assert max(by_engine.values()) < 16 * 10 / 0.5
    assert len({each.engine for each in hot}) > 1


def test_count_that_is_not_taken_back_expires():
    """An engine stayed full by the report of an instance that had ended."""
    view = views.LoadView(ledger=ledgers.Ledger())
    (only,) = pool = engines(1)
    view.record_report("gone", {only.boot: work.Load(9, 0, 99_990)}, 0.0)
    options = {"needed": REQUEST, "engine": SPEC}
    under_test = placer(view)
    assert under_test.choose(pool, 1.0, **options) is None
    assert under_test.choose(pool, views.TTL_S, **options).endpoint is only


def test_slow_engine_gets_few_requests_but_some():
    """An engine was slow once and never got what would show its recovery."""
    candidates = [
        enginechoice.Candidate(each, work.NO_LOAD, slowness)
        for each, slowness in zip(engines(2), (1.0, 5.0), strict=True)
    ]
    chosen = [
        enginechoice.pick(
            candidates, REQUEST, SPEC, key=str(key)
        ).candidate.endpoint.id
        for key in range(2000)
    ]
    assert 0 < chosen.count("e1") < 2000 / enginechoice.EXPLORATION_PERIOD


def test_speeds_within_a_quarter_count_as_equal():
    """Requests followed the luckiest measurement."""
    candidates = [
        enginechoice.Candidate(each, work.NO_LOAD, slowness)
        for each, slowness in zip(engines(3), (0.92, 1.0, 1.1), strict=True)
    ]
    chosen = {
        enginechoice.pick(
            candidates, REQUEST, SPEC, key=str(key)
        ).candidate.endpoint.id
        for key in range(40)
    }
    assert len(chosen) == 3


def test_fast_engines_have_most_prefixes():
    """Slow engines had as many prefixes as fast ones, and long pauses.

    Load: 600 prefixes of long prompts on idle engines at 0.6, 1.0 and 1.6
    times the usual speed, as estimated in a spell and out of it.
    """
    slowness = {"slow": 1 / 0.6, "usual": 1.0, "fast": 1 / 1.6}
    needed = work.Work(9190, 6300, 52)
    spec = types.EngineSpec(64, 232_000)

    def homes(error):
        candidates = [
            enginechoice.Candidate(
                types.Endpoint(name, "llm", f"{name}:80", "north-a", 64),
                work.NO_LOAD,
                slowness=each * error,
            )
            for name, each in slowness.items()
        ]
        return [
            enginechoice.pick(
                candidates, needed, spec, key="k", affinity=f"p{number}"
            ).candidate.endpoint.id
            for number in range(600)
        ]

    found = homes(1.0)
    shares = {name: found.count(name) / len(found) for name in slowness}
    assert shares["slow"] < 0.15 < 0.5 < shares["fast"]
    assert homes(1.15) == homes(0.9) == found
