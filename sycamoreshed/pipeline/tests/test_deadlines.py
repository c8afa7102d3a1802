"""Time budgets of stages by shares and by measured durations."""

import pytest

from sycamoreshed.pipeline import deadlines

STAGES = [
    {"name": "encode", "share": 0.1},
    {"name": "rerank", "share": 0.2},
    {"name": "generate", "share": 0.7},
]


def measured(**seconds):
    times = deadlines.StageTimes()
    for name, value in seconds.items():
        for now in range(200):
            times.add("summary", name, value, now / 100)
    return times


@pytest.mark.parametrize(
    ("seconds", "index", "budget"),
    [
        # Later stages not all measured: the remaining time is divided by
        # shares.
        ({}, 0, 1.0),
        ({"rerank": 0.5}, 0, 1.0),
        # The time that later stages need is reserved, the rest may be used.
        ({"rerank": 0.5, "generate": 1.5}, 0, 8.0),
        ({"generate": 4.0}, 1, 6.0),
        ({}, 2, 10.0),
        # A stage keeps its share when later stages are slow.
        ({"rerank": 5.0, "generate": 20.0}, 0, 1.0),
    ],
)
def test_budget(seconds, index, budget):
    times = measured(**seconds)
    got = times.budget("summary", STAGES, index, 12.0, 2.0)
    assert got == pytest.approx(budget, abs=0.05)


@pytest.mark.parametrize(
    ("seconds", "deadline", "expected"),
    [
        ({}, 2.5, False),
        ({}, 1.9, True),
        ({"generate": 1.0}, 2.5, True),
        ({"generate": 1.0}, 3.5, False),
    ],
)
def test_cannot_finish(seconds, deadline, expected):
    times = measured(**seconds)
    assert times.cannot_finish("summary", STAGES, 2, deadline, 2.0) is expected


def test_slow_times_expire():
    """Measured durations of a slow stage lose their weight with age.

    Otherwise every request would be ended before the stage, and no new
    duration could be measured.
    """
    times = measured(generate=3.0)
    assert times.cannot_finish("summary", STAGES, 2, 4.0, 2.0)
    assert not times.cannot_finish("summary", STAGES, 2, 32.0, 30.0)
