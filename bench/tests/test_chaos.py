"""The check of a history finds each kind of violated guarantee."""

import json

import pytest

from bench import chaos
from testkit import ballots

RUN = {"key": "gaucho/k", "request": "r", "attempt": "a"}


def observation(outcome, request="r", **members):
    body = {"request": request, "outcome": outcome, **members}
    raw = json.dumps(body).encode()
    return chaos.Observation("k", ballots.Told(200, outcome, raw))


def complete(recorded="gaucho/k", request="r"):
    return observation("complete", request, output={"recorded": recorded})


NO_ANSWER = chaos.Observation("k", ballots.Told(None, None, None))


@pytest.mark.parametrize(
    ("history", "runs", "violations"),
    [
        ([complete(), complete(), NO_ANSWER], [RUN], 0),
        ([observation("outcome-unknown")], [RUN], 0),
        ([observation("not-run", "other"), complete()], [RUN], 0),
        (
            [observation("failed", ran={"output": {"recorded": "gaucho/k"}})],
            [RUN],
            0,
        ),
        ([], [RUN, RUN], 1),
        ([observation("not-run")], [RUN], 1),
        ([complete()], [], 1),
        ([complete(request="other")], [RUN], 1),
        ([complete("gaucho/other")], [RUN], 1),
        ([complete(), observation("complete", output="two")], [RUN], 1),
        ([observation("failed")], [RUN], 1),
        ([observation("late")], [], 1),
    ],
)
def test_check(history, runs, violations):
    assert len(chaos.check(history, runs)) == violations
