"""The table from kinds to answers."""

import pytest

from sycamoreshed.errors import kinds

BEGUN = {kinds.Outcome.NOT_RUN, kinds.Outcome.SHED}


def test_table_as_a_whole(snapshot):
    assert {
        str(kind): {
            "status": answer.status,
            "title": answer.title,
            "outcome": str(answer.outcome),
            "retry_after": answer.retry_after,
        }
        for kind, answer in kinds.ANSWERS.items()
    } == snapshot


def test_every_kind_has_one_answer_in_the_order_of_the_list():
    assert list(kinds.ANSWERS) == list(kinds.Kind)


@pytest.mark.parametrize("kind", kinds.Kind)
def test_answer_is_consistent(kind):
    """A caller that was told "not run" must be able to rely on it."""
    answer = kinds.ANSWERS[kind]
    assert 400 <= answer.status < 600
    assert answer.outcome != kinds.Outcome.COMPLETE
    sent = kinds.answer_for(kinds.Failure(kind, "", sent=True))
    assert sent.outcome not in BEGUN
    unsent = kinds.answer_for(kinds.Failure(kind, "", sent=False))
    assert unsent == answer
    named = kinds.answer_for(kinds.Failure(kind, "", retry_after=7.0))
    assert named.retry_after == 7.0
