"""Heads of requests and answers, and calls of endpoints, on the wire."""

import enum
import typing

import msgspec
import multidict

from sycamoreshed.platform import names

__all__ = [
    "Head",
    "PieceResult",
    "Verdict",
    "classify_response",
    "decode_piece_results",
    "forwarded_headers",
    "free_call",
    "matches_request",
    "parse_head",
    "piece_call",
    "response_headers",
]

_JSON = {"Content-Type": "application/json"}
# Statuses that promise "not run" to callers, by the platform's protocol.
_PROMISES = frozenset((408, 421, 429, 503))
_MISDIRECTED = 421
_FAILED = 500


class Head(typing.NamedTuple):
    """What the head of a caller's request says.

    Parameters
    ----------
    request_id : str
        Empty if the caller named none.
    deadline_s : float or None
        Seconds the caller will wait.
    key : str or None
        Names the team.
    prefix : tuple of (str, int)
        Parts of the prompt in order, with their tokens; requests share
        the first ones.
    prompt_tokens, max_output_tokens : int
        Of the prompt, and the most that are generated.
    pieces : tuple of int
        Pieces that each stage of the route has; 0 leaves a stage out.
    piece_key : str or None
        What the pieces of first stages are made from.
    last_event_id : str or None
        A broken stream is to go on after it.
    """

    request_id: str
    deadline_s: float | None
    key: str | None
    prefix: tuple
    prompt_tokens: int
    max_output_tokens: int
    pieces: tuple
    piece_key: str | None
    last_event_id: str | None


class Verdict(enum.Enum):
    """What an endpoint's answer says of the request."""

    DONE = "done"
    NOT_RUN = "not-run"
    # Another endpoint has the address; the one meant is gone.
    MISDIRECTED = "elsewhere"
    FAILED = "failed"
    # A status that promises "not run" without the endpoint's word for
    # it: passed on it would tell the caller what may not be true.
    UNCONFIRMED = "unsure"


def parse_head(headers):
    """Return the `Head` of a request's headers.

    What cannot be read counts as left out: the endpoint judges it too.
    """
    authorization = headers.get(names.AUTHORIZATION, "")
    key = None
    if authorization.startswith(names.KEY_SCHEME):
        key = authorization[len(names.KEY_SCHEME) :].strip()
    tokens = _numbers(headers.get(names.TOKENS, ""))
    deadline = _numbers(headers.get(names.DEADLINE_MS, ""))
    return Head(
        request_id=headers.get(names.REQUEST_ID, ""),
        deadline_s=deadline[0] / 1000 if deadline else None,
        key=key,
        prefix=_prefix(headers.get(names.PREFIX, "")),
        prompt_tokens=tokens[0] if tokens else 0,
        max_output_tokens=tokens[1] if len(tokens) > 1 else 0,
        pieces=_numbers(headers.get(names.PIECES, "")),
        piece_key=headers.get(names.PIECE_KEY),
        last_event_id=headers.get(names.LAST_EVENT_ID),
    )


def _numbers(text):
    try:
        return tuple(int(part) for part in text.split(",") if part.strip())
    except ValueError:
        return ()


def _prefix(text):
    parts = []
    for part in text.split(","):
        name, _, tokens = part.strip().partition(":")
        if name and tokens.isdecimal():
            parts.append((name, int(tokens)))
    return tuple(parts)


def forwarded_headers(
    headers,
    *,
    team,
    endpoint,
    remaining_s,
    priority=None,
    inputs=None,
    last_event_id=None,
):
    """Return the headers of a request as an endpoint is to get them.

    Parameters
    ----------
    headers : CIMultiDict
        As the caller sent them.
    team : str or None
        Name of the caller's team.
    endpoint : str
        Id of the endpoint; any other one does not run the request.
    remaining_s : float
        Seconds after which the endpoint is to stop work.
    priority : int, optional
        0 is the most urgent.
    inputs : list of str, optional
        Handles of results of stages.
    last_event_id : str, optional
        In place of the caller's own.
    """
    listed = {
        name.strip().lower()
        for value in headers.getall("Connection", ())
        for name in value.split(",")
    }
    result = multidict.CIMultiDict()
    for name, value in headers.items():
        lower = name.lower()
        if (
            lower not in names.HOP_BY_HOP
            and lower not in names.SET_BY_SYSTEM
            and lower not in listed
        ):
            result.add(name, value)
    result[names.DEADLINE_MS] = str(max(1, int(remaining_s * 1000)))
    result[names.EXPECT_ENDPOINT] = endpoint
    if team is not None:
        result[names.TEAM] = team
    if priority is not None:
        result[names.PRIORITY] = str(min(9, max(0, priority)))
    if inputs:
        result[names.INPUTS] = ",".join(inputs)
    if last_event_id is not None:
        result[names.LAST_EVENT_ID] = last_event_id
    return result


def response_headers(headers, *, signed=True):
    """Return the headers of an endpoint's answer as a caller gets them.

    Parameters
    ----------
    headers : CIMultiDict
    signed : bool
        Whether the answer is passed on unchanged, with its proof.
    """
    result = multidict.CIMultiDict()
    for name, value in headers.items():
        lower = name.lower()
        if lower in names.HOP_BY_HOP:
            continue
        if not signed and lower == names.SIGNATURE.lower():
            continue
        result.add(name, value)
    return result


def matches_request(headers, request_id):
    """Return whether an answer names a request, or names none."""
    named = headers.get(names.REQUEST_ID)
    return named is None or named == request_id


def classify_response(status, headers):
    """Return the `Verdict` of an endpoint's answer."""
    if status == _MISDIRECTED:
        return Verdict.MISDIRECTED
    if names.NOT_RUN in headers:
        return Verdict.NOT_RUN
    if status in _PROMISES:
        return Verdict.UNCONFIRMED
    if status >= _FAILED:
        return Verdict.FAILED
    return Verdict.DONE


class PieceResult(typing.NamedTuple):
    """Result of one piece: where it lies, or why there is none."""

    handle: str | None
    reason: str | None


class _WireResult(msgspec.Struct):
    handle: str | None = None
    reason: str | None = None


class _WireResults(msgspec.Struct):
    items: list[_WireResult]


_results = msgspec.json.Decoder(_WireResults)


def piece_call(pieces, *, endpoint, now):
    """Return path, headers and body of a call with pieces of stages.

    Parameters
    ----------
    pieces : iterable of Piece
    endpoint : str
        Id of the endpoint.
    now : float
        Monotonic time in seconds.
    """
    items = []
    for each in pieces:
        item = {
            "id": each.request,
            "phase": each.stage,
            "segment": each.index,
            "remaining_ms": max(1, int((each.deadline - now) * 1000)),
        }
        if each.inputs:
            item["inputs"] = list(each.inputs)
        else:
            item["key"] = each.key
        items.append(item)
    headers = {**_JSON, names.EXPECT_ENDPOINT: endpoint}
    return names.STAGE_RUN, headers, msgspec.json.encode({"items": items})


def decode_piece_results(raw):
    """Return a list of `PieceResult`, in the order asked for.

    Raises
    ------
    msgspec.MsgspecError
        If the body is no answer of that kind.
    """
    found = _results.decode(raw).items
    return [PieceResult(each.handle, each.reason) for each in found]


def free_call(handles, *, endpoint):
    """Return path, headers and body of a call that frees results."""
    headers = {**_JSON, names.EXPECT_ENDPOINT: endpoint}
    body = msgspec.json.encode({"handles": list(handles)})
    return names.STAGE_FREE, headers, body
