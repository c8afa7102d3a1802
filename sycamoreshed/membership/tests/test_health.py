import random

import pytest

from sycamoreshed.membership import health


def run(record, outcomes, *, start=0.0, gap=0.1, **kw):
    for number, ok in enumerate(outcomes):
        record = health.add(record, start + number * gap, ok=ok, **kw)
    return record


GRAY = [
    ("failing one call in five", 0.2, 0.01, True),
    ("as bad as the rest", 0.2, 0.2, False),
    ("a rare failure", 0.02, 0.01, False),
    ("failing always", 1.0, 0.0, True),
]


@pytest.mark.parametrize(
    "share, usual, expected",
    [row[1:] for row in GRAY],
    ids=[r[0] for r in GRAY],
)
def test_gray_is_what_is_out_of_line_with_the_rest(share, usual, expected):
    """An endpoint fails one call in five and answers probes well.

    Members would see every fifth summary retried or lost.
    """
    draw = random.Random(7)
    own = run(health.Record(), [draw.random() >= share for _ in range(300)])
    rest = run(health.Record(), [draw.random() >= usual for _ in range(900)])
    now = 300 * 0.1
    tally = health.decayed(own.tally, now)
    others = health.decayed(rest.tally, now)
    assert health.is_gray(tally, others) is expected


def test_few_calls_of_many_instances_make_one_tally():
    """At full size each instance sends an endpoint few calls.

    Alone none could tell a gray failure from bad luck.
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
def test_slow_is_out_of_line_with_the_median(seconds, others, expected):
    assert health.is_slow(seconds, others) is expected


def test_ejection_grows_and_trial_calls_go_one_at_a_time():
    record = health.eject(health.Record(), 10.0)
    assert record.until == 12.0
    assert not health.may_try(record, 11.9)
    assert health.may_try(record, 12.0)
    failed = health.tried(record, 12.1, ok=False)
    assert failed.until == pytest.approx(16.1)
    now = 16.1
    for _ in range(health.TRIALS):
        assert failed.until is not None
        assert health.may_try(failed, now)
        failed = health.tried(failed, now, ok=True)
    assert failed.until is None
    assert health.eject(failed, 17.0).until == 17.0 + 8.0
    late = 17.0 + health.HEALTHY_S
    assert health.eject(failed, late).until == late + 2.0


@pytest.mark.parametrize("count, most", [(1, 0), (2, 1), (3, 1), (9, 4)])
def test_never_more_than_a_share_is_out_and_the_least_bad_stay(count, most):
    """Everything fails at once: the fault may be on our side.

    If all were ejected, the rest would fall over under the whole load.
    """
    names = [f"e{n}" for n in range(count)]
    records = {}
    for number, name in enumerate(names):
        record = run(health.Record(), [True] * 10 + [False] * number)
        records[name] = health.eject(record, 3.0)
    kept = health.keep(names, records)
    assert len(kept) == count - most
    assert "e0" in kept
    assert health.keep(names, {}) == set()
