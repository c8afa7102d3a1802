"""What refusals say of a key, by what is known of it."""

import pytest

from sycamoreshed.adapters import table as tables
from sycamoreshed.errors import kinds
from sycamoreshed.idempotency import keys
from sycamoreshed.idempotency import prior_runs
from sycamoreshed.idempotency import rejections
from sycamoreshed.idempotency import trace
from sycamoreshed.observe import logs
from sycamoreshed.pipeline import requests
from testkit import builders

AWAY = kinds.Failure(kinds.Kind.STORE_AWAY, "away")
NEVER = {"state": "never"}
RAN = {"state": "ran", "output": 1}
ABSENT = tables.Row("k", None, 0)
BEGUN = tables.Row("k", {"state": "begun", "attempt": "a"}, 3)
UNSENT = tables.Row("k", {"state": "not-run", "attempt": "a"}, 3)
UNKNOWN, NOT_RUN = kinds.Outcome.OUTCOME_UNKNOWN, kinds.Outcome.NOT_RUN


class Asker:
    """Gives the answers of endpoints; counts how often it was asked."""

    def __init__(self, answers):
        self._answers = answers
        self.asked = 0

    async def ask_for_refusal(self, _config, _service, _key):
        self.asked += 1
        return self._answers


def make(*, repeat=None, is_seen=False, answers=()):
    """Return a refuser, its asker, and a request with a key."""
    request = requests.Request(
        id="r",
        team="gaucho",
        pipeline="ballot",
        config=builders.config(),
        deadline=9.0,
        body="film",
        key="k",
        repeat=repeat,
    )
    sightings = prior_runs.Sightings()
    if is_seen:
        sightings.add(keys.names_of(request).row)
    asker = Asker(list(answers))
    log = trace.Trace(log=logs.DecisionLog(), clock=lambda: 0.0)
    part = rejections.Refuser(sightings=sightings, asker=asker, trace=log)
    return part, asker, request


@pytest.mark.parametrize(
    ("repeat", "is_seen", "outcome"),
    [
        (None, False, UNKNOWN),
        (False, False, NOT_RUN),
        (True, False, UNKNOWN),
        (False, True, UNKNOWN),
    ],
)
def test_refusal_for_load(repeat, is_seen, outcome):
    """A refusal that looked at nothing must not deny a key that ran."""
    part, asker, request = make(repeat=repeat, is_seen=is_seen)
    told = part.refuse_at_once(request, AWAY)
    assert kinds.answer_for(told).outcome is outcome
    assert asker.asked == 0


@pytest.mark.parametrize(
    ("row", "repeat", "answers", "outcome"),
    [
        (ABSENT, None, [RAN], NOT_RUN),
        (UNSENT, None, [RAN], NOT_RUN),
        (BEGUN, None, [NEVER], UNKNOWN),
        (BEGUN, False, [NEVER], UNKNOWN),
        (ABSENT, True, [NEVER], UNKNOWN),
        (AWAY, None, [NEVER, NEVER], NOT_RUN),
        (AWAY, None, [NEVER, RAN], UNKNOWN),
        (AWAY, None, [NEVER, AWAY], UNKNOWN),
        (AWAY, None, [NEVER, None], UNKNOWN),
        (AWAY, None, [], UNKNOWN),
        (AWAY, False, [], NOT_RUN),
    ],
)
async def test_refusal_by_a_store_that_is_away(row, repeat, answers, outcome):
    """A key that may have run must not be told as not run unread."""
    part, _, request = make(repeat=repeat, answers=answers)
    told = await part.refuse_by_record(request, AWAY, row)
    assert kinds.answer_for(told).outcome is outcome


@pytest.mark.parametrize(
    ("earlier_may_have_run", "answers", "outcome", "asked"),
    [
        (False, [RAN], NOT_RUN, 0),
        (True, [RAN], UNKNOWN, 1),
        (True, [NEVER], NOT_RUN, 1),
        (True, [], UNKNOWN, 1),
    ],
)
async def test_refusal_of_an_attempt(
    earlier_may_have_run, answers, outcome, asked
):
    """An attempt that could not read its record must not deny the key."""
    part, asker, request = make(answers=answers)
    failure = AWAY._replace(earlier_may_have_run=earlier_may_have_run)
    told = await part.refuse_after_claim(request, failure)
    assert kinds.answer_for(told).outcome is outcome
    assert asker.asked == asked


def test_forgotten_keys_are_the_oldest():
    """A key seen lately must not be forgotten for one seen long ago."""
    sightings = prior_runs.Sightings(most=2)
    for key in ("a", "b", "a", "c"):
        sightings.add(key)
    assert [sightings.has(key) for key in "abc"] == [True, False, True]
