"""Limits apply to the whole system; shares follow demand within a bound."""

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


def local_shares(demands, peak_live):
    """Return the shares of instances that have all published demand."""
    result = []
    for index, own in enumerate(demands):
        others = tuple(demands[:index] + demands[index + 1 :])
        view = shares.DemandView(len(demands), peak_live, own, others)
        result.append(shares.local_share(view))
    return result


@settings(derandomize=True, deadline=None)
@given(demands=DEMANDS, splits=strategies.lists(strategies.integers(1, 23)))
def test_shares_of_partitioned_groups_never_exceed_the_bound(demands, splits):
    """Zones are partitioned; each group of instances continues alone."""
    edges = [0, *sorted({c for c in splits if c < len(demands)}), len(demands)]
    total = sum(
        sum(local_shares(demands[start:end], len(demands)))
        for start, end in zip(edges, edges[1:], strict=False)
    )
    assert total <= shares.MAX_TOTAL_SHARE + 1e-9
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
def test_shares_with_one_outdated_round_never_exceed_the_bound(pairs):
    """Some instances use the latest demand, others the previous one."""
    before = local_shares([old for old, _, _ in pairs], len(pairs))
    after = local_shares([new for _, new, _ in pairs], len(pairs))
    chosen = [
        after[index] if newest else before[index]
        for index, (_, _, newest) in enumerate(pairs)
    ]
    assert sum(chosen) <= shares.MAX_TOTAL_SHARE + 1e-9


class System:
    """Limits of several instances that receive publications at once."""

    def __init__(self, count):
        self.now = 0.0
        self.count = count
        self.limiters = [self._make(index) for index in range(count)]

    def _make(self, index):
        def publish(demand):
            for other in range(self.count):
                if other != index:
                    self.limiters[other].receive_demand(
                        str(index), [0, demand], self.now
                    )

        return limits.Limits(
            instance=str(index),
            live_count=lambda _: self.count,
            publish=publish,
        )

    def send(self, seconds, rates, spec):
        """Send at a rate to each instance; return the requests admitted."""
        admitted = 0
        ticks = int(seconds * 50)
        for tick in range(ticks):
            self.now += 0.02
            for limiter, rate in zip(self.limiters, rates, strict=True):
                due = int((tick + 1) * rate / 50) - int(tick * rate / 50)
                for _ in range(due):
                    failure = limiter.check("gaucho", spec, self.now)
                    admitted += failure is None
            if tick % 50 == 49:
                for limiter in self.limiters:
                    limiter.step(self.now)
        return admitted


@pytest.mark.parametrize(
    "rates", [(100, 0, 0, 0), (50, 50, 0, 0), (60, 20, 20, 5), (40,) * 4]
)
def test_full_limit_is_used_wherever_requests_arrive(rates):
    system = System(4)
    spec = {"rate": 40.0}
    system.send(10, rates, spec)
    admitted = system.send(20, rates, spec)
    # Instances without demand keep their even share of a part of the limit.
    assert 0.8 * 40 * 20 <= admitted <= 1.05 * 40 * 20


def test_no_request_is_rejected_below_the_limit():
    system = System(4)
    assert system.send(10, (5, 0, 10, 5), {"rate": 40.0}) == 200


def test_failure_over_the_limit_carries_a_retry_delay():
    limiter = limits.Limits(
        instance="a", live_count=lambda _: 1, publish=lambda _: None
    )
    spec = {"rate": 2.0, "burst": 1.0}
    results = [limiter.check("gaucho", spec, 0.0) for _ in range(5)]
    assert results[:4] == [None] * 4
    assert results[4].kind == kinds.Kind.OVER_LIMIT
    assert not results[4].sent
    assert results[4].retry_after == pytest.approx(0.5)
    assert limiter.check("gaucho", spec, 0.51) is None


def test_state_of_idle_teams_is_dropped():
    limiter = limits.Limits(
        instance="a", live_count=lambda _: 9, publish=lambda _: None
    )
    for number in range(35_000):
        limiter.check(f"team-{number}", {"rate": 10.0}, 0.0)
    assert limiter.active == 35_000
    for now in range(1, 40):
        limiter.step(float(now))
    assert limiter.active == 0


def test_number_of_published_teams_is_bounded():
    published = []
    limiter = limits.Limits(
        instance="a", live_count=lambda _: 9, publish=published.append
    )
    for number in range(500):
        for _ in range(number % 50 + 1):
            limiter.check(f"team-{number}", {"rate": 5.0}, 0.0)
    limiter.step(1.0)
    assert len(published[-1]) == limits.MAX_PUBLISHED_TEAMS
    assert all(demand >= 20 for demand in published[-1].values())


@pytest.mark.parametrize("live", [9, 60, 410])
def test_received_bytes_stay_within_their_limit(live):
    """The demand of many teams varies at all instances.

    Each instance publishes to all others.  If it did so at every change,
    control traffic would grow with their number until it fills the links.
    """
    published = []
    limiter = limits.Limits(
        instance="a", live_count=lambda _: live, publish=published.append
    )
    seconds = 600
    for now in range(1, seconds + 1):
        for number in range(40):
            for _ in range(2 + 18 * (now // 7 % 2)):
                limiter.check(f"team-{number}", {"rate": 10.0}, float(now))
        limiter.step(float(now))
    sent_bytes = sum(
        len(msgspec.json.encode(["a", 10**12, item])) for item in published
    )
    assert len(published) > 2
    assert live * sent_bytes / seconds <= limits.MAX_RECEIVED_BYTES_PER_S
