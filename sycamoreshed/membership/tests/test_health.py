import random

import pytest

from sycamoreshed.membership import health


def record_calls(record, outcomes, *, start=0.0, interval_s=0.1, **kw):
    for number, ok in enumerate(outcomes):
        record = health.record_call(
            record, start + number * interval_s, ok=ok, **kw
        )
    return record


GRAY = [
    ("failing one call in five", 0.2, 0.01, True),
    ("as bad as the others", 0.2, 0.2, False),
    ("a rare failure", 0.02, 0.01, False),
    ("failing always", 1.0, 0.0, True),
]


@pytest.mark.parametrize(
    "share, usual, expected",
    [row[1:] for row in GRAY],
    ids=[r[0] for r in GRAY],
)
def test_gray_failure_is_relative_to_the_other_endpoints(
    share, usual, expected
):
    """An endpoint fails one call in five but answers its probes.

    Users would see every fifth call retried or lost.
    """
    rng = random.Random(7)
    own = record_calls(
        health.EndpointHealth(), [rng.random() >= share for _ in range(300)]
    )
    rest = record_calls(
        health.EndpointHealth(), [rng.random() >= usual for _ in range(900)]
    )
    now = 300 * 0.1
    tally = health.decayed(own.tally, now)
    others = health.decayed(rest.tally, now)
    assert health.is_gray(tally, others) is expected


def test_few_calls_of_many_instances_are_pooled():
    """With hundreds of instances each sends an endpoint few calls.

    Alone no instance could tell a gray failure from chance.
    """
    own = health.Tally(3.0, 1.0, 0.0)
    others = [health.Tally(3.0, 1.0, 0.0)] * 9
    rest = health.Tally(500.0, 5.0, 0.0)
    assert not health.is_gray(own, rest)
    assert health.is_gray(health.pooled(own, others, 50, 0.0), rest) is False
    assert health.is_gray(health.pooled(own, others, 25, 0.0), rest)


SLOW = [
    (0.010, [0.010, 0.012], False),
    (0.500, [0.010, 0.012, 0.011], True),
    (0.050, [0.010, 0.012], False),
    (None, [0.1], False),
    (9.0, [], False),
]


@pytest.mark.parametrize("seconds, others, expected", SLOW)
def test_slow_is_relative_to_the_median(seconds, others, expected):
    assert health.is_slow(seconds, others) is expected


def test_ejection_time_grows_and_successful_trials_end_it():
    record = health.eject(health.EndpointHealth(), 10.0)
    assert record.ejected_until == 12.0
    assert not health.can_try(record, 11.9)
    assert health.can_try(record, 12.0)
    failed = health.record_trial(record, 12.1, ok=False)
    assert failed.ejected_until == pytest.approx(16.1)
    now = 16.1
    for _ in range(health.TRIALS_TO_RETURN):
        assert failed.ejected_until is not None
        assert health.can_try(failed, now)
        failed = health.record_trial(failed, now, ok=True)
    assert failed.ejected_until is None
    assert health.eject(failed, 17.0).ejected_until == 17.0 + 8.0
    late = 17.0 + health.EJECTION_RESET_S
    assert health.eject(failed, late).ejected_until == late + 2.0


@pytest.mark.parametrize(
    "count, max_ejected", [(1, 0), (2, 1), (3, 1), (9, 4)]
)
def test_share_of_ejected_endpoints_is_limited_and_the_least_bad_are_used(
    count, max_ejected
):
    """All endpoints fail at once; the fault may be on the side of the caller.

    If most were ejected, the rest would be overloaded.
    """
    names = [f"e{n}" for n in range(count)]
    records = {}
    for number, name in enumerate(names):
        record = record_calls(
            health.EndpointHealth(), [True] * 10 + [False] * number
        )
        records[name] = health.eject(record, 3.0)
    exempt = health.exempt(names, records)
    assert len(exempt) == count - max_ejected
    assert "e0" in exempt
    assert health.exempt(names, {}) == set()
