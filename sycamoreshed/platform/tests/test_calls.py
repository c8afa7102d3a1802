"""Wire format of request and response headers and of endpoint calls."""

import multidict
import pytest

from sycamoreshed.platform import calls
from sycamoreshed.platform import names
from sycamoreshed.staging import pieces
from testkit import wiredata


def forwarded(**headers):
    """Return the headers that an endpoint gets for a caller's."""
    sent = multidict.CIMultiDict(wiredata.head())
    sent.extend({k.replace("_", "-"): v for k, v in headers.items()})
    return calls.forwarded_headers(
        sent, team="team-a", endpoint="i-1", remaining_s=1.5, priority=2
    )


@pytest.mark.parametrize(
    "name",
    [
        "X-Sycamoreshed-Hold",
        "X-Sycamoreshed-Pin-Ms",
        "X-Sycamoreshed-Kv-Backup",
        "X-Sycamoreshed-Inputs",
        "X-Sycamoreshed-Expect-Version",
        "Kv-From",
        "Kv-Fetch",
        "Authorization",
        "Connection",
        "Transfer-Encoding",
        "Keep-Alive",
    ],
)
def test_reserved_and_hop_by_hop_headers_are_removed(name):
    """Some of these name memory or a reservation of another caller's request.

    If the header were forwarded, an engine would answer from those.
    """
    assert name not in forwarded(**{name: "x"})


def test_headers_named_by_connection_header_are_removed():
    headers = forwarded(Connection="close, X-Mine", X_Mine="1", X_Other="2")
    assert "X-Mine" not in headers
    assert headers["X-Other"] == "2"


def test_headers_set_for_the_endpoint():
    headers = forwarded(**{"X-Sycamoreshed-Tenant": "team-b"})
    assert headers.getall("X-Sycamoreshed-Tenant") == ["team-a"]
    assert headers["X-Sycamoreshed-Deadline-Ms"] == "1500"
    assert headers["X-Sycamoreshed-Expect-Instance"] == "i-1"
    assert headers["X-Sycamoreshed-Priority-Class"] == "2"


@pytest.mark.parametrize(
    ("status", "confirms_not_run", "verdict"),
    [
        (200, False, calls.Verdict.DONE),
        (404, False, calls.Verdict.DONE),
        (421, False, calls.Verdict.MISDIRECTED),
        (503, True, calls.Verdict.NOT_RUN),
        (409, True, calls.Verdict.NOT_RUN),
        (503, False, calls.Verdict.UNCONFIRMED),
        (429, False, calls.Verdict.UNCONFIRMED),
        (408, False, calls.Verdict.UNCONFIRMED),
        (500, False, calls.Verdict.FAILED),
        (504, False, calls.Verdict.FAILED),
    ],
)
def test_classification_of_responses(status, confirms_not_run, verdict):
    headers = {"X-Sycamoreshed-Not-Executed": "1"} if confirms_not_run else {}
    assert calls.classify_response(status, headers) is verdict


@pytest.mark.parametrize("text", ["", "x", "1,x", ":3", "a:b,c"])
def test_invalid_header_values_count_as_missing(text):
    head = calls.parse_head(
        {
            "X-Sycamoreshed-Deadline-Ms": "x" + text,
            "X-Sycamoreshed-Token-Usage": text,
            "X-Sycamoreshed-Prefix-Hash": text,
        }
    )
    assert head.deadline_s is None
    assert head.prefix == ()


def test_a_piece_has_a_key_or_inputs():
    """A piece of a first stage has a key, of a later one inputs.

    With a key instead of its inputs, a piece of a later stage would not be
    made from the results of its request.
    """
    first = pieces.Piece("r", 0, 1, deadline=2.0, key="k")
    later = pieces.Piece("r", 1, 0, deadline=2.0, inputs=("h",))
    _, headers, body = calls.piece_call([first, later], endpoint="i", now=1.0)
    assert headers["X-Sycamoreshed-Expect-Instance"] == "i"
    assert body == (
        b'{"items":[{"id":"r","phase":0,"segment":1,"remaining_ms":1000,'
        b'"key":"k"},{"id":"r","phase":1,"segment":0,"remaining_ms":1000,'
        b'"inputs":["h"]}]}'
    )


@pytest.mark.parametrize(
    "text, seconds",
    [
        ("3", 3.0),
        ("0.25", 0.25),
        (" 3 ", 3.0),
        ("Thu, 01 Jan 1970 00:01:03 GMT", 3.0),
        ("Thu, 01 Jan 1970 00:00:03 GMT", None),
        ("0", None),
        ("-3", None),
        ("inf", None),
        ("nan", None),
        ("soon", None),
        ("Thu, 99 Jan 1970", None),
        ("", None),
    ],
)
def test_time_for_which_an_endpoint_wants_no_requests(text, seconds):
    """A value that is no time ended the task that read it."""
    headers = multidict.CIMultiDict({"Retry-After": text})
    assert calls.rest_s(503, headers, 60.0) == seconds


@pytest.mark.parametrize(
    "status, is_rest",
    [(503, True), (429, True), (200, False), (421, False), (500, False)],
)
def test_only_rejections_ask_for_rest(status, is_rest):
    """Any answer with the header took an endpoint out of use."""
    headers = multidict.CIMultiDict({"Retry-After": "3"})
    assert (calls.rest_s(status, headers, 0.0) is not None) == is_rest


@pytest.mark.parametrize(
    "text", ["9" * 400, "9" * 5000, "1,nine", "1e400", "nan"]
)
def test_numbers_that_cannot_be_used_count_as_missing(text):
    """An error in the head of a request was logged as one of ours."""
    head = calls.parse_head(
        {
            names.DEADLINE_MS: text,
            names.TOKENS: text,
            names.PIECES: text,
            names.PREFIX: f"a1:{text},b2:7",
        }
    )
    assert head.deadline_s is None
    assert (head.prompt_tokens, head.pieces) == (0, ())
    assert head.prefix[-1] == ("b2", 7)
    assert all(tokens < 10**15 for _, tokens in head.prefix)


def test_prefix_of_many_parts_takes_little():
    """Ids and numbers of parts were kept, however many and long."""
    parts = [f"{number:x}:1" for number in range(3000)]
    head = calls.parse_head({names.PREFIX: ",".join(["f" * 200, *parts])})
    assert len(head.prefix) < 300
    assert max(len(name) for name, _ in head.prefix) <= 64
