"""Requests that callers send while an instance stops."""

import pytest

from testkit import latecallers

# Scaled to it, the plays of other paths take half of the time.
SHORT_GRACE_S = 4.0
TRIALS = [
    latecallers.Plan(1, "safe", "nothing"),
    latecallers.Plan(2, "unsafe", "40 short", is_open=True),
    latecallers.Plan(3, "stream", "2 short"),
    latecallers.Plan(4, "resumable", "40 short", is_open=True),
    latecallers.Plan(5, "stream", "40 short", has_usage=True),
]
PATHS = {
    "stages": "stream",
    "queue": "unsafe",
    "all-faults": "resumable",
    "slow-upload": "unsafe",
    "endless-upload": "stream",
    "slow-reader": "stream",
    "store-away": "resumable",
    "second-signal": "unsafe",
    "three-instances": "safe",
}


@pytest.mark.parametrize("plan", TRIALS, ids=str)
async def test_late_requests_are_served_or_rejected(tmp_path, plan):
    """They were taken late in the grace period and cut at its end."""
    played = await latecallers.play(plan, tmp_path)
    assert not latecallers.violations(latecallers.report(played))


@pytest.mark.parametrize("name", PATHS)
async def test_late_requests_are_not_cut_on_other_paths(tmp_path, name):
    """Only the first attempt of a request asked whether it would end."""
    plan = latecallers.Plan(
        1,
        PATHS[name],
        "40 short",
        **{"grace_s": SHORT_GRACE_S, **latecallers.SCENARIOS[name]},
    )
    played = await latecallers.play(plan, tmp_path)
    assert not latecallers.violations(latecallers.report(played))
