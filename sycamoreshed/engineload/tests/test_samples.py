"""Tests of what single answers show of an endpoint's speed."""

import pytest

from sycamoreshed.engineload import samples
from sycamoreshed.engineload import speeds
from sycamoreshed.engineload.tests import speedbuilders


def paced(intervals, *, reading_s=None, first_at=1.0):
    """Return the `Pacing` of events.

    `reading_s` is for how long this instance waits for each, all the time
    if None.
    """
    pacing = samples.Pacing()
    pacing.record_read(1, first_at, first_at)
    now = first_at
    for each in intervals:
        now += each
        began_at = now - (each if reading_s is None else reading_s)
        pacing.record_read(1, began_at, now)
    return pacing


def test_pauses_of_a_stream_do_not_count():
    assert paced([0.02] * 5 + [0.4] * 2).interval_s == pytest.approx(0.02)
    assert paced([0.02, 0.02]).interval_s is None


def test_intervals_at_a_slow_reader_do_not_count():
    """Guards against a slow caller that makes its engine look slow."""
    assert paced([0.5] * 20, reading_s=0.001).interval_s is None


def test_an_event_in_several_reads_is_waited_for_in_all_of_them():
    pacing = samples.Pacing()
    for number in range(16):
        is_end = number % 4 == 0
        pacing.record_read(is_end, number * 0.01, (number + 1) * 0.01)
    assert pacing.interval_s == pytest.approx(0.04)


@pytest.mark.parametrize(
    ("changes", "is_near", "is_known"),
    [
        ({}, True, True),
        ({}, False, False),
        ({"is_resumed": True}, True, False),
        ({"unread_tokens": 20}, True, False),
    ],
)
def test_first_events_that_show_the_time_for_a_prompt(
    changes, is_near, is_known
):
    """Guards against the way to another region that looks like reading."""
    learner = speeds.Speeds()
    sending = samples.Sending(0.9, 0, 4000)._replace(**changes)
    for number in range(10):
        samples.record_stream(
            learner,
            speedbuilders.engine("a"),
            sending,
            paced([0.02] * 4),
            number / 10,
            is_near=is_near,
        )
    known = learner.prompt_token_s(speedbuilders.engine("a"), 1.0)
    assert (known is not None) == is_known
    if is_known:
        assert known == pytest.approx(0.1 / 4000, rel=0.25)


def test_calls_to_other_regions_do_not_count():
    """Guards against distance that looks like slowness: 20 ms one way."""
    learner = speeds.Speeds()
    for number in range(40):
        now = number / 10
        for name, call_s, is_near in (("a", 0.02, True), ("b", 0.06, False)):
            sending = samples.Sending(now - call_s, 0)
            samples.record_call(
                learner,
                speedbuilders.engine(name),
                sending,
                now,
                is_near=is_near,
            )
    assert learner.slowness(speedbuilders.engine("b"), 4.0) == 1.0
    assert set(learner.report(4.0)) == {"a@1"}
