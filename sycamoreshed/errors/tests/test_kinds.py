"""Tests of the table that maps error kinds to answers."""

import pytest

from sycamoreshed.errors import kinds

NOT_RUN_OUTCOMES = {kinds.Outcome.NOT_RUN, kinds.Outcome.SHED}


def test_table_matches_snapshot(snapshot):
    assert {
        str(kind): {
            "status": answer.status,
            "title": answer.title,
            "outcome": str(answer.outcome),
            "retry_after": answer.retry_after,
        }
        for kind, answer in kinds.ANSWERS.items()
    } == snapshot


def test_answers_cover_all_kinds_in_order():
    assert list(kinds.ANSWERS) == list(kinds.Kind)


@pytest.mark.parametrize("kind", kinds.Kind)
def test_answer_is_consistent(kind):
    """A failure after a send must not be reported to callers as "not run"."""
    answer = kinds.ANSWERS[kind]
    assert 400 <= answer.status < 600
    assert answer.outcome != kinds.Outcome.COMPLETE
    sent = kinds.answer_for(kinds.Failure(kind, "", sent=True))
    assert sent.outcome not in NOT_RUN_OUTCOMES
    unsent = kinds.answer_for(kinds.Failure(kind, "", sent=False))
    assert unsent == answer
    named = kinds.answer_for(kinds.Failure(kind, "", retry_after=7.0))
    assert named.retry_after == 7.0
