"""From a request's id to its cause, with lines of a day that was played.

The walks are those of docs/OPERATIONS.md.
"""

import pathlib

import pytest

from sycamoreshed.observe import explain

DATA = pathlib.Path(__file__).parent / "data"


def told(name, request):
    """Return the explanation of a request from a file of lines."""
    with open(DATA / f"{name}.jsonl") as log:
        return explain.tell(explain.trace(explain.read([log]), request))


def test_refused_though_engines_were_free():
    """Nine engines were free, and the request never came to one.

    Its stages had 0.79 s of work before them, more than its time allowed.
    """
    text = told("refused", "71a801a8797e3c41")
    assert text[0].startswith("edge-cwb-a-3 believed: configuration 4 for")
    staged = next(line for line in text if " staged: " in line)
    assert "is_late=True" in staged and "'huny79e': 0.789" in staged
    assert "status=503" in text[-2] and "sent=False" in text[-2]
    assert text[-1].startswith("cause: its stages could not have been done")


def test_a_vote_whose_outcome_is_unknown():
    """The endpoint reset the connection after the vote was sent.

    It is not sent again, since it may have been recorded.
    """
    text = told("unknown", "9548826414271963")
    failed = next(line for line in text if " attempt_failed: " in line)
    assert "reset by peer" in failed and "sent=True" in failed
    kept = next(line for line in text if " no_retry: " in line)
    assert "why=may have run" in kept
    assert "status=502" in text[-2]
    assert text[-1].endswith("nobody knows whether it ran")


def test_a_stream_that_broke_midway():
    """After 20 events the engine's connection broke off within a chunk."""
    text = told("broken", "0498a1af22b7ec9a")
    broken = next(line for line in text if " broken: " in line)
    assert "events=20" in broken
    assert any(" attempt_failed: " in line for line in text)


def test_a_request_that_nobody_names():
    assert told("broken", "none") == ["no line names this request"]


def test_what_was_believed_at_the_time():
    """The store was lost for a while and an endpoint avoided."""
    lines = [
        {"t": 1.0, "at": "e", "event": "start"},
        {"t": 2.0, "at": "e", "event": "configuration", "version": 7},
        {"t": 3.0, "at": "e", "event": "store_lost", "table": "settings"},
        {"t": 4.0, "at": "e", "event": "endpoint_out"}
        | {"endpoint": "i-1", "why": "500"},
        {"t": 5.0, "at": "e", "event": "admitted", "request": "r"},
        {"t": 6.0, "at": "e", "event": "store_back", "table": "settings"},
    ]
    (first, *_) = explain.tell(explain.trace(lines, "r"))
    assert first == (
        "e believed: configuration 7 for 3.0 s; store lost for settings for "
        "2.0 s; i-1 avoided lately (500)"
    )


def test_causes_are_counted():
    lines = []
    for name in ("refused", "unknown", "broken"):
        with open(DATA / f"{name}.jsonl") as log:
            lines += explain.read([log])
    found = explain.failures(lines)
    assert sum(count for _, count, _ in found) == 4
    assert all(example for _, _, example in found)


@pytest.mark.parametrize("text", ["", "no json", "{", '{"a":1}', "[1]"])
def test_other_lines_are_left_out(text):
    assert not list(explain.read([[text]]))
