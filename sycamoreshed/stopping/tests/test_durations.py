"""Estimates from durations of which some have not ended."""

import random

import pytest

from sycamoreshed.stopping import durations


def samples(values, *, limit=float("inf")):
    """Return samples of which those beyond a limit were given up there."""
    return [
        durations.Sample(min(value, limit), value <= limit) for value in values
    ]


@pytest.mark.parametrize("risk", [0.5, 0.2, 0.05])
def test_quantile_of_what_has_ended_is_that_of_the_values(risk):
    values = [float(each) for each in range(1, 101)]
    random.Random(1).shuffle(values)
    assert durations.quantile(samples(values), risk) == pytest.approx(
        100 * (1 - risk), abs=1.0
    )


def test_what_was_given_up_does_not_shorten_the_estimate():
    """Times of attempts that were given up stood for those of answers."""
    rng = random.Random(2)
    values = [rng.lognormvariate(0.0, 0.5) for _ in range(400)]
    whole = durations.quantile(samples(values), 0.3)
    limit = sorted(values)[300]
    partly = [
        durations.Sample(min(value, limit), value <= limit)
        if number % 2
        else durations.Sample(value)
        for number, value in enumerate(values)
    ]
    assert durations.quantile(partly, 0.1) == pytest.approx(
        durations.quantile(samples(values), 0.1), rel=0.2
    )
    assert durations.quantile(partly, 0.3) == pytest.approx(whole, rel=0.2)


def test_series_that_is_not_used_is_forgotten_first():
    """The busiest route was forgotten, as it was the first one."""
    known = durations.Durations()
    first = known.series("first")
    for number in range(durations.MAX_SERIES + 10):
        known.series(number)
        assert known.series("first") is first
    assert 0 not in dict(known.items())


def test_what_runs_long_counts_less_the_more_has_ended():
    """Nearly all was rejected, as a few of many requests were under way."""
    running = [durations.Sample(4.0, False)] * 10
    ended = [durations.Sample(1.0)] * 50
    alone = durations.quantile(running, 0.05)
    among = durations.quantile([*running, *ended], 0.05)
    assert alone == pytest.approx(8.0)
    assert 4.0 < among < 6.0
    assert durations.quantile([*running, *ended], 0.0) == pytest.approx(8.0)


def test_span_counts_once():
    """A request that was given up and then ended counted twice."""
    series = durations.Series()
    span = series.begin(1.0, units=2.0)
    assert series.all_samples(4.0) == [durations.Sample(1.5, False)]
    span.end(5.0)
    span.end(9.0)
    assert series.all_samples(9.0) == [durations.Sample(2.0)]
    assert not series.running
