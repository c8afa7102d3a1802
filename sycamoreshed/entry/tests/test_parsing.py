"""Parsing and checking callers' requests."""

import pytest

from sycamoreshed.config import state
from sycamoreshed.entry import parsing
from sycamoreshed.errors import kinds
from testkit import builders

TEAM = {"Team": "gaucho"}
GOOD = b'{"input": 1}'
BAD = kinds.Kind.BAD_REQUEST
LONG = {"Idempotency-Key": "k" * 201}


def parse(headers=TEAM, pipeline="summary", raw=GOOD, config=None):
    return parsing.parse(
        headers,
        pipeline,
        raw,
        config=config or builders.config(),
        region="north",
        now=100.0,
    )


@pytest.mark.parametrize(
    "headers, pipeline, raw, kind, reason",
    [
        ({}, "summary", GOOD, kinds.Kind.UNKNOWN_TEAM, "team ''"),
        ({"Team": "x"}, "summary", GOOD, kinds.Kind.UNKNOWN_TEAM, "'x'"),
        (TEAM, "x", GOOD, kinds.Kind.UNKNOWN_PIPELINE, "'x'"),
        (TEAM, "summary", b"", BAD, "JSON"),
        (TEAM, "summary", b"{", BAD, "JSON"),
        (TEAM, "summary", b"\xff", BAD, "JSON"),
        (TEAM, "summary", b"[]", BAD, "object"),
        (TEAM, "summary", b"{}", BAD, "input"),
        (TEAM, "summary", b'{"input": 1, "x": 2}', BAD, "$.x: unknown key"),
        (TEAM, "summary", b'{"input": 1, "stream": 1}', BAD, "$.stream"),
        ({**TEAM, "Deadline-Ms": "x"}, "summary", GOOD, BAD, "Deadline-Ms"),
        ({**TEAM, "Deadline-Ms": "nan"}, "summary", GOOD, BAD, "Deadline-Ms"),
        ({**TEAM, "Deadline-Ms": "inf"}, "summary", GOOD, BAD, "Deadline-Ms"),
        ({**TEAM, "Deadline-Ms": "0"}, "summary", GOOD, BAD, "Deadline-Ms"),
        ({**TEAM, "Deadline-Ms": "6e5"}, "summary", GOOD, None, None),
        ({**TEAM, "Deadline-Ms": "600001"}, "summary", GOOD, BAD, "600000"),
        ({**TEAM, "Priority": "high"}, "summary", GOOD, BAD, "Priority"),
        ({**TEAM, "Priority": "10"}, "summary", GOOD, BAD, "Priority"),
        ({**TEAM, "Priority": "-1"}, "summary", GOOD, BAD, "Priority"),
        ({**TEAM, "Priority": "0"}, "summary", GOOD, None, None),
        ({**TEAM, "Idempotency-Repeat": "no"}, "summary", GOOD, BAD, "true"),
        (TEAM, "ballot", GOOD, kinds.Kind.KEY_MISSING, "'cast'"),
        ({**TEAM, **LONG}, "ballot", GOOD, BAD, "Idempotency-Key"),
    ],
)
def test_checks(headers, pipeline, raw, kind, reason):
    result = parse(headers, pipeline, raw)
    if kind is None:
        assert isinstance(result, parsing.ParsedCall)
        return
    assert (result.kind, result.sent) == (kind, False)
    assert reason in result.reason
    assert 400 <= kinds.answer_for(result).status < 500


@pytest.mark.parametrize(
    ("headers", "pipeline", "expected"),
    [
        ({}, "ballot", False),
        ({"Idempotency-Key": "k"}, "ballot", True),
        ({"Idempotency-Key": "k"}, "summary", False),
        ({"Idempotency-Key": "k"}, "gone", True),
        (LONG, "ballot", False),
        (
            {"Idempotency-Key": "k", "Idempotency-Repeat": "false"},
            "ballot",
            False,
        ),
        (
            {"Idempotency-Key": "k", "Idempotency-Repeat": "true"},
            "gone",
            True,
        ),
    ],
)
def test_earlier_may_have_run(headers, pipeline, expected):
    """A rejected retry must not deny that the first vote was counted.

    The pipeline may have been withdrawn since the vote was cast.
    """
    assert (
        parsing.earlier_may_have_run(headers, pipeline, builders.config())
        is expected
    )


def test_stream_of_unrepeatable_stage_is_rejected():
    headers = {**TEAM, "Idempotency-Key": "k"}
    result = parse(headers, "ballot", b'{"input": 1, "stream": true}')
    assert result.kind == BAD


@pytest.mark.parametrize(
    "limits, kind",
    [
        ({"teams": ["ilha"]}, kinds.Kind.NOT_ASSIGNED),
        ({"regions": ["south"]}, kinds.Kind.NOT_ASSIGNED),
        ({"teams": ["gaucho"], "regions": ["north"]}, None),
    ],
)
def test_assignment(limits, kind):
    spec = {**builders.PIPELINES["summary"], **limits}
    note = builders.note(1, changed={"pipelines": {"summary": spec}})
    config = state.apply_note(builders.config(), note)
    assert getattr(parse(config=config), "kind", None) == kind


def test_withdrawn_pipeline_differs_from_an_unknown_one():
    note = builders.note(1, withdrawn={"pipelines": ["summary"]})
    config = state.apply_note(builders.config(), note)
    assert parse(config=config).kind == kinds.Kind.WITHDRAWN


def test_deadline_starts_at_arrival_and_has_a_default():
    assert parse().request.deadline == 105.0
    short = parse({**TEAM, "Deadline-Ms": "250"})
    assert short.request.deadline == 100.25
