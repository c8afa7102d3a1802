"""Outcomes of rejections, by what is recorded about the key."""

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

UNAVAILABLE = kinds.Failure(kinds.Kind.STORE_AWAY, "away")
NEVER = {"state": "never"}
RAN = {"state": "ran", "output": 1}
ABSENT = tables.Row("k", None, 0)
BEGUN = tables.Row("k", {"state": "begun", "attempt": "a"}, 3)
UNSENT = tables.Row("k", {"state": "not-run", "attempt": "a"}, 3)
UNKNOWN, NOT_RUN = kinds.Outcome.OUTCOME_UNKNOWN, kinds.Outcome.NOT_RUN


class FakeLookups:
    """Returns fixed answers of endpoints; counts look-ups."""

    def __init__(self, answers):
        self._answers = answers
        self.count = 0

    async def look_up_for_rejection(self, _config, _service, _key):
        self.count += 1
        return self._answers


def make(*, repeat=None, is_seen=False, answers=()):
    """Return a rejecter, its look-ups, and a request with a key."""
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
    prior = prior_runs.PriorRuns()
    if is_seen:
        prior.add(keys.request_keys(request).record_key)
    lookups = FakeLookups(list(answers))
    log = trace.Trace(log=logs.DecisionLog(), clock=lambda: 0.0)
    part = rejections.Rejecter(prior_runs=prior, lookups=lookups, trace=log)
    return part, lookups, request


@pytest.mark.parametrize(
    ("repeat", "is_seen", "outcome"),
    [
        (None, False, UNKNOWN),
        (False, False, NOT_RUN),
        (True, False, UNKNOWN),
        (False, True, UNKNOWN),
    ],
)
def test_rejection_under_overload(repeat, is_seen, outcome):
    """A rejection without any read must not report a key as not run.

    The exception is a caller that says that the request is its first.
    """
    part, lookups, request = make(repeat=repeat, is_seen=is_seen)
    rejection = part.reject_unread(request, UNAVAILABLE)
    assert kinds.answer_for(rejection).outcome is outcome
    assert lookups.count == 0


@pytest.mark.parametrize(
    ("row", "repeat", "answers", "outcome"),
    [
        (ABSENT, None, [RAN], NOT_RUN),
        (UNSENT, None, [RAN], NOT_RUN),
        (BEGUN, None, [NEVER], UNKNOWN),
        (BEGUN, False, [NEVER], UNKNOWN),
        (ABSENT, True, [NEVER], UNKNOWN),
        (UNAVAILABLE, None, [NEVER, NEVER], NOT_RUN),
        (UNAVAILABLE, None, [NEVER, RAN], UNKNOWN),
        (UNAVAILABLE, None, [NEVER, UNAVAILABLE], UNKNOWN),
        (UNAVAILABLE, None, [NEVER, None], UNKNOWN),
        (UNAVAILABLE, None, [], UNKNOWN),
        (UNAVAILABLE, False, [], NOT_RUN),
    ],
)
async def test_rejection_while_store_is_unavailable(
    row, repeat, answers, outcome
):
    """A key that may have run must not be reported as "not run" unread.

    It may be if all endpoints report "never", or the caller says that the
    request is its first.
    """
    part, _, request = make(repeat=repeat, answers=answers)
    rejection = await part.reject_by_record(request, UNAVAILABLE, row)
    assert kinds.answer_for(rejection).outcome is outcome


@pytest.mark.parametrize(
    ("earlier_may_have_run", "answers", "outcome", "lookup_count"),
    [
        (False, [RAN], NOT_RUN, 0),
        (True, [RAN], UNKNOWN, 1),
        (True, [NEVER], NOT_RUN, 1),
        (True, [], UNKNOWN, 1),
    ],
)
async def test_rejection_of_an_attempt(
    earlier_may_have_run, answers, outcome, lookup_count
):
    """An attempt that could not read its record must not report "not run".

    It may if all endpoints report "never".
    """
    part, lookups, request = make(answers=answers)
    failure = UNAVAILABLE._replace(earlier_may_have_run=earlier_may_have_run)
    rejection = await part.reject_unsent(request, failure)
    assert kinds.answer_for(rejection).outcome is outcome
    assert lookups.count == lookup_count


def test_oldest_keys_are_dropped_first():
    """A recently added key must not be dropped before an older one."""
    prior = prior_runs.PriorRuns(max_keys=2)
    for key in ("a", "b", "a", "c"):
        prior.add(key)
    assert [prior.has_other_request(key) for key in "abc"] == [
        True,
        False,
        True,
    ]
