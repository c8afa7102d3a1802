"""The check of a history finds each kind of broken promise."""

import json

import pytest

from bench import chaos
from testkit import ballots

RUN = {"key": "gaucho/k", "request": "r", "attempt": "a"}


def heard(outcome, request="r", **members):
    body = {"request": request, "outcome": outcome, **members}
    raw = json.dumps(body).encode()
    return chaos.Heard("k", ballots.Told(200, outcome, raw))


def whole(recorded="gaucho/k", request="r"):
    return heard("complete", request, output={"recorded": recorded})


NOTHING = chaos.Heard("k", ballots.Told(None, None, None))


@pytest.mark.parametrize(
    ("history", "runs", "broken"),
    [
        ([whole(), whole(), NOTHING], [RUN], 0),
        ([heard("outcome-unknown")], [RUN], 0),
        ([heard("not-run", "other"), whole()], [RUN], 0),
        (
            [heard("failed", ran={"output": {"recorded": "gaucho/k"}})],
            [RUN],
            0,
        ),
        ([], [RUN, RUN], 1),
        ([heard("not-run")], [RUN], 1),
        ([whole()], [], 1),
        ([whole(request="other")], [RUN], 1),
        ([whole("gaucho/other")], [RUN], 1),
        ([whole(), heard("complete", output="two")], [RUN], 1),
        ([heard("failed")], [RUN], 1),
        ([heard("late")], [], 1),
    ],
)
def test_check(history, runs, broken):
    assert len(chaos.check(history, runs)) == broken
