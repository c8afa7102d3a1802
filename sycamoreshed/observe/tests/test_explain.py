"""Explanations of single requests, most of them from recorded logs.

The recorded requests are the examples in docs/OPERATIONS.md.
"""

import pathlib

import pytest

from sycamoreshed.observe import explain

DATA = pathlib.Path(__file__).parent / "data"


def explain_request(name, request):
    """Return the explanation of a request from a log in `DATA`."""
    with open(DATA / f"{name}.jsonl") as log:
        return explain.format_trace(
            explain.trace_request(explain.read_events([log]), request)
        )


def test_request_rejected_as_too_late():
    """A request is rejected as too late although nine engines are free.

    One of its stages has a backlog of 0.79 s, so its zone rejects it before
    anything is sent to an endpoint.
    """
    text = explain_request("refused", "71a801a8797e3c41")
    assert text[0].startswith("edge-cwb-a-3 believed: configuration 4 for")
    staged = next(line for line in text if " staged: " in line)
    assert "is_late=True" in staged and "'huny79e': 0.789" in staged
    assert "status=503" in text[-2] and "sent=False" in text[-2]
    assert text[-1].startswith("cause: its stages could not have been done")


def test_vote_with_unknown_outcome():
    """An endpoint resets the connection after a vote was sent to it.

    The vote is not sent again, since it may have been recorded.
    """
    text = explain_request("unknown", "9548826414271963")
    failed = next(line for line in text if " attempt_failed: " in line)
    assert "reset by peer" in failed and "sent=True" in failed
    no_retry = next(line for line in text if " no_retry: " in line)
    assert "why=may have run" in no_retry
    assert "status=502" in text[-2]
    assert text[-1].endswith("nobody knows whether it ran")


def test_stream_broken_midway():
    """An engine's connection closes within a chunk after 20 events."""
    text = explain_request("broken", "0498a1af22b7ec9a")
    broken = next(line for line in text if " broken: " in line)
    assert "events=20" in broken
    assert any(" attempt_failed: " in line for line in text)


def test_request_without_lines():
    assert explain_request("broken", "none") == ["no line names this request"]


def test_state_at_first_line_of_request():
    """A request arrives while the store is lost and an endpoint avoided.

    The store is back only later, so the explanation must name both.
    """
    lines = [
        {"t": 1.0, "at": "e", "event": "start"},
        {"t": 2.0, "at": "e", "event": "configuration", "version": 7},
        {"t": 3.0, "at": "e", "event": "store_lost", "table": "settings"},
        {"t": 4.0, "at": "e", "event": "endpoint_out"}
        | {"endpoint": "i-1", "why": "500"},
        {"t": 5.0, "at": "e", "event": "admitted", "request": "r"},
        {"t": 6.0, "at": "e", "event": "store_back", "table": "settings"},
    ]
    (first, *_) = explain.format_trace(explain.trace_request(lines, "r"))
    assert first == (
        "e believed: configuration 7 for 3.0 s; store lost for settings for "
        "2.0 s; i-1 avoided lately (500)"
    )


def test_failures_are_counted_by_cause():
    lines = []
    for name in ("refused", "unknown", "broken"):
        with open(DATA / f"{name}.jsonl") as log:
            lines += explain.read_events([log])
    causes = explain.count_failures(lines)
    # The broken request has a line `broken` and a line `caller_left`.
    assert sum(count for _, count, _ in causes) == 4
    assert all(example for _, _, example in causes)


@pytest.mark.parametrize("text", ["", "no json", "{", '{"a":1}', "[1]"])
def test_lines_without_event_are_skipped(text):
    assert not list(explain.read_events([[text]]))
