"""Limits hold for the system; parts follow demand within a bound."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import msgspec
import pytest

from sycamoreshed.admission import limits
from sycamoreshed.admission import shares
from sycamoreshed.errors import kinds

DEMANDS = strategies.lists(
    strategies.one_of(strategies.just(0.0), strategies.floats(0.01, 1e4)),
    min_size=1,
    max_size=24,
)


def parts(demands, most):
    """Return the parts of instances that all know each other's demand."""
    result = []
    for index, own in enumerate(demands):
        others = tuple(demands[:index] + demands[index + 1 :])
        view = shares.View(len(demands), most, own, others)
        result.append(shares.part(view))
    return result


@settings(derandomize=True, deadline=None)
@given(demands=DEMANDS, cuts=strategies.lists(strategies.integers(1, 23)))
def test_parts_of_cut_off_groups_never_exceed_the_bound(demands, cuts):
    """Zones lose each other; each group of instances goes on alone."""
    edges = [0, *sorted({c for c in cuts if c < len(demands)}), len(demands)]
    total = sum(
        sum(parts(demands[begin:end], len(demands)))
        for begin, end in zip(edges, edges[1:], strict=False)
    )
    assert total <= shares.FACTOR + 1e-9
    if len(edges) == 2:
        assert total == pytest.approx(1.0)


@settings(derandomize=True, deadline=None)
@given(
    pairs=strategies.lists(
        strategies.tuples(
            strategies.floats(0, 1e4),
            strategies.floats(0, 1e4),
            strategies.booleans(),
        ),
        min_size=1,
        max_size=24,
    )
)
def test_parts_with_one_late_round_never_exceed_the_bound(pairs):
    """Some instances have the newest demands, others those before."""
    before = parts([old for old, _, _ in pairs], len(pairs))
    after = parts([new for _, new, _ in pairs], len(pairs))
    chosen = [
        after[index] if newest else before[index]
        for index, (_, _, newest) in enumerate(pairs)
    ]
    assert sum(chosen) <= shares.FACTOR + 1e-9


class System:
    """Limits of some instances that hear each other at once."""

    def __init__(self, count):
        self.now = 0.0
        self.count = count
        self.parts = [self._make(index) for index in range(count)]

    def _make(self, index):
        def tell(demand):
            for other in range(self.count):
                if other != index:
                    self.parts[other].hear(str(index), [0, demand], self.now)

        return limits.Limits(
            instance=str(index), live_count=lambda _: self.count, publish=tell
        )

    def send(self, seconds, rates, spec):
        """Send at a rate through each instance; return those let in."""
        passed = 0
        ticks = int(seconds * 50)
        for tick in range(ticks):
            self.now += 0.02
            for part, rate in zip(self.parts, rates, strict=True):
                due = int((tick + 1) * rate / 50) - int(tick * rate / 50)
                for _ in range(due):
                    failure = part.check("gaucho", spec, self.now)
                    passed += failure is None
            if tick % 50 == 49:
                for part in self.parts:
                    part.step(self.now)
        return passed


@pytest.mark.parametrize(
    "rates", [(100, 0, 0, 0), (50, 50, 0, 0), (60, 20, 20, 5), (40,) * 4]
)
def test_whole_limit_is_used_wherever_requests_arrive(rates):
    system = System(4)
    spec = {"rate": 40.0}
    system.send(10, rates, spec)
    passed = system.send(20, rates, spec)
    # One instance without demand keeps its even part of the floor.
    assert 0.8 * 40 * 20 <= passed <= 1.05 * 40 * 20


def test_under_the_limit_nothing_is_refused():
    system = System(4)
    assert system.send(10, (5, 0, 10, 5), {"rate": 40.0}) == 200


def test_over_the_limit_is_told_when_to_return():
    part = limits.Limits(
        instance="a", live_count=lambda _: 1, publish=lambda _: None
    )
    spec = {"rate": 2.0, "burst": 1.0}
    answers = [part.check("gaucho", spec, 0.0) for _ in range(5)]
    assert answers[:4] == [None] * 4
    assert answers[4].kind == kinds.Kind.OVER_LIMIT
    assert not answers[4].sent
    assert answers[4].retry_after == pytest.approx(0.5)
    assert part.check("gaucho", spec, 0.51) is None


def test_state_of_idle_teams_goes():
    part = limits.Limits(
        instance="a", live_count=lambda _: 9, publish=lambda _: None
    )
    for number in range(35_000):
        part.check(f"team-{number}", {"rate": 10.0}, 0.0)
    assert part.active == 35_000
    for now in range(1, 40):
        part.step(float(now))
    assert part.active == 0


def test_what_is_told_is_bounded():
    told = []
    part = limits.Limits(
        instance="a", live_count=lambda _: 9, publish=told.append
    )
    for number in range(500):
        for _ in range(number % 50 + 1):
            part.check(f"team-{number}", {"rate": 5.0}, 0.0)
    part.step(1.0)
    assert len(told[-1]) == limits.MOST_TOLD
    assert all(demand >= 20 for demand in told[-1].values())


@pytest.mark.parametrize("live", [9, 60, 410])
def test_bytes_told_stay_within_their_part(live):
    """The demand of many teams goes up and down at all instances.

    Each tells all others; told at every change, control traffic would
    grow with the number of instances until it takes the links.
    """
    told = []
    part = limits.Limits(
        instance="a", live_count=lambda _: live, publish=told.append
    )
    seconds = 600
    for now in range(1, seconds + 1):
        for number in range(40):
            for _ in range(2 + 18 * (now // 7 % 2)):
                part.check(f"team-{number}", {"rate": 10.0}, float(now))
        part.step(float(now))
    size = sum(len(msgspec.json.encode(["a", 10**12, item])) for item in told)
    assert len(told) > 2
    assert live * size / seconds <= limits.HEARD_BYTES
