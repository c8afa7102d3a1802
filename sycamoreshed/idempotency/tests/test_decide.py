"""Decision tables of at-most-once execution (DESIGN.md, "At most once")."""

import pytest

from sycamoreshed.adapters import table as tables
from sycamoreshed.errors import kinds
from sycamoreshed.idempotency import decide

Step = decide.Step
RunEnd = decide.RunEnd


def failure(sent):
    return kinds.Failure(kinds.Kind.STORE_AWAY, "", sent=sent)


def row(state=None, attempt="a", body="x", version=3):
    if state is None:
        return tables.Row("k", None, tables.ABSENT)
    value = {"state": state, "attempt": attempt, "body": body}
    return tables.Row("k", value, version)


READS = [
    (failure(False), Step.TRY_AGAIN),
    (failure(True), Step.TRY_AGAIN),
    (row(), Step.CLAIM_AGAIN),
    (row("begun", "a"), Step.SEND),
    (row("begun", "b"), Step.WAIT),
    (row("begun", "b", "y"), Step.CONFLICT),
    (row("done", "b"), Step.REPLAY),
    (row("done", "a"), Step.REPLAY),
    (row("done", "b", "y"), Step.CONFLICT),
    (row("not-run", "b"), Step.CLAIM_AGAIN),
    (row("not-run", "b", "y"), Step.CONFLICT),
    (row("not-run", "a"), Step.REFUSE),
]


@pytest.mark.parametrize(("found", "step"), READS)
def test_after_read(found, step):
    assert decide.after_read(found, "a", "x") is step


@pytest.mark.parametrize(
    ("result", "step"),
    [
        (tables.Written((1,)), Step.SEND),
        (failure(True), Step.READ_BACK),
        (failure(False), Step.TRY_AGAIN),
        *(
            (tables.Conflict((found,)), step)
            for found, step in READS
            if isinstance(found, tables.Row)
        ),
    ],
)
def test_after_write(result, step):
    assert decide.after_write(result, "a", "x") is step


@pytest.mark.parametrize(
    ("found", "version"),
    [
        (row(), 0),
        (row("begun", "a"), 3),
        (row("begun", "b"), None),
        (row("done", "a"), None),
        (row("done", "b"), None),
        (row("not-run", "a"), None),
        (row("not-run", "b"), 3),
    ],
)
def test_fence_write_version(found, version):
    """A write with a lost answer takes effect after its attempt has ended.

    Without the fence, retries with the key would receive "unknown" for
    ever.
    """
    assert decide.fence_write_version(found, "a") == version


@pytest.mark.parametrize(
    ("result", "has_output", "end"),
    [
        (None, True, RunEnd.FINISH),
        (failure(False), False, RunEnd.RELEASE),
        (failure(True), False, RunEnd.LEAVE),
        (failure(True), True, RunEnd.FINISH),
    ],
)
def test_after_run(result, has_output, end):
    assert decide.after_run(result, has_output) is end


@pytest.mark.parametrize(
    ("result", "step"),
    [
        (tables.Written((4,)), Step.SEND),
        (failure(True), Step.TRY_AGAIN),
        (failure(False), Step.TRY_AGAIN),
        (tables.Conflict((row("done", "a"),)), Step.REPLAY),
        (tables.Conflict((row("begun", "a"),)), Step.CLAIM_AGAIN),
        (tables.Conflict((row("not-run", "a"),)), Step.REFUSE),
        (tables.Conflict((row("begun", "b"),)), Step.REFUSE),
        (tables.Conflict((row("done", "b"),)), Step.REFUSE),
        (tables.Conflict((row(),)), Step.REFUSE),
    ],
)
def test_after_finish(result, step):
    assert (
        decide.after_finish(result, {"state": "done", "attempt": "a"}) is step
    )


RAN = {"state": "ran", "output": 7}


@pytest.mark.parametrize(
    ("answers", "expected"),
    [
        ([], None),
        ([{"state": "never"}], None),
        ([failure(True), {"state": "never"}], None),
        ([{"state": "ran"}], None),
        ([None, [], "ran"], None),
        ([{"state": "never"}, failure(False), RAN], RAN),
    ],
)
def test_find_ran_answer(answers, expected):
    """An endpoint reports "never" for a call that is still in flight.

    If that were reported as "not run", the vote would be counted after
    the member was told that it had not been.
    """
    assert decide.find_ran_answer(answers) == expected


@pytest.mark.parametrize(
    ("now", "is_store_unavailable", "expected"),
    [(1.0, False, False), (9.99, False, True), (1.0, True, True)],
)
def test_is_claiming_over(now, is_store_unavailable, expected):
    assert decide.is_claiming_over(now, 10.0, is_store_unavailable) is expected
