"""Exhaustive exploration of two attempts at one key, also with faults."""

import pytest

from sycamoreshed.adapters import table as tables
from sycamoreshed.errors import kinds
from sycamoreshed.idempotency import decide
from sycamoreshed.idempotency.tests import exploration

Step = decide.Step
ORIGINAL = {
    name: getattr(decide, name)
    for name in (
        "after_read",
        "after_run",
        "after_write",
        "row_after_completion",
        "fence_write_version",
    )
}


def send_after_lost_answer(result, attempt, body_digest):
    if isinstance(result, kinds.Failure) and result.sent:
        return Step.SEND
    return ORIGINAL["after_write"](result, attempt, body_digest)


def send_when_absent(row, attempt, body_digest):
    step = ORIGINAL["after_read"](row, attempt, body_digest)
    absent = isinstance(row, tables.Row) and row.value is None
    return Step.SEND if absent else step


def expire_begun_records(row, attempt, body_digest):
    step = ORIGINAL["after_read"](row, attempt, body_digest)
    return Step.CLAIM_AGAIN if step is Step.WAIT else step


def fence_off_other_attempts(row, attempt):
    if row.value and row.value["state"] == decide.State.BEGUN:
        return row.version
    return ORIGINAL["fence_write_version"](row, attempt)


def write_no_fence(row, attempt):
    return None


def keep_not_run_of_others(row, attempt):
    if row.value and row.value["state"] == decide.State.NOT_RUN:
        return None
    return ORIGINAL["fence_write_version"](row, attempt)


def release_after_send(failure, has_output):
    end = ORIGINAL["after_run"](failure, has_output)
    return decide.RunEnd.RELEASE if end is decide.RunEnd.LEAVE else end


def accept_never_as_answer(answers):
    return next(a for a in answers if not isinstance(a, kinds.Failure))


def assume_written(result, write):
    return tables.Row(write.key, write.value, write.if_version)


def assume_written_unless_done(result, write):
    if isinstance(result, tables.Conflict):
        row = result.rows[0]
        if row.value and row.value["state"] == decide.State.DONE:
            return row
        return tables.Row(write.key, write.value, write.if_version)
    return ORIGINAL["row_after_completion"](result, write)


def assume_written_when_lost(result, write):
    if isinstance(result, kinds.Failure):
        return tables.Row(write.key, write.value, write.if_version)
    return ORIGINAL["row_after_completion"](result, write)


RAN_TWICE = "runs more than once"
RAN_AFTER_NOT_RUN = "told not-run, and runs"
THIRD_MAY_RUN = "the record lets another attempt run"
COMPLETE_WITHOUT_RUN = "told complete, and has not run"
LEFT_BEGUN = "left begun although told not-run"
FAULTS = [
    ("after_write", send_after_lost_answer, THIRD_MAY_RUN),
    ("after_read", send_when_absent, THIRD_MAY_RUN),
    ("after_read", expire_begun_records, RAN_TWICE),
    ("fence_write_version", fence_off_other_attempts, THIRD_MAY_RUN),
    ("fence_write_version", write_no_fence, LEFT_BEGUN),
    ("fence_write_version", keep_not_run_of_others, LEFT_BEGUN),
    ("after_run", release_after_send, RAN_AFTER_NOT_RUN),
    ("row_after_completion", assume_written, COMPLETE_WITHOUT_RUN),
    ("row_after_completion", assume_written_unless_done, COMPLETE_WITHOUT_RUN),
    ("row_after_completion", assume_written_when_lost, COMPLETE_WITHOUT_RUN),
    ("find_ran_answer", accept_never_as_answer, COMPLETE_WITHOUT_RUN),
]


def test_no_order_of_events_violates_an_invariant():
    """Writes, answers and calls are lost, late or refused; instances die.

    A vote would be counted twice, or counted although it was reported as
    "not run".
    """
    report = exploration.explore()
    print(f"{report.states} states; told at the end:")
    for outcomes, count in sorted(report.end_counts.items()):
        print(f"  {' + '.join(outcomes)}: {count}")
    assert report.violation is None, report.path
    assert report.states > 10_000
    for outcome in ("complete", "not-run", "unknown"):
        assert any(outcome in end for end in report.end_counts)
    assert ("complete", "complete") in report.end_counts
    assert ("complete", "not-run") in report.end_counts


@pytest.mark.parametrize(
    ("name", "fault", "expected"),
    FAULTS,
    ids=[fault.__name__ for _, fault, _ in FAULTS],
)
def test_injected_fault_is_detected(monkeypatch, name, fault, expected):
    """Each fault is one that a change of the decisions could introduce.

    If it went undetected, the exploration would prove nothing.
    """
    monkeypatch.setattr(decide, name, fault)
    report = exploration.explore()
    print(f"{fault.__name__}: {report.violation}, {report.states} states")
    for event in report.path:
        print(f"  {event}")
    assert report.violation == expected
