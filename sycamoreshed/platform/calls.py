"""Wire format of request and response headers and of endpoint calls."""

import email.utils
import enum
import math
import typing

import msgspec
import multidict

from sycamoreshed.adapters import decoding
from sycamoreshed.platform import names

__all__ = [
    "Head",
    "PieceResult",
    "Verdict",
    "classify_response",
    "decode_piece_results",
    "forwarded_headers",
    "free_call",
    "is_leaving",
    "matches_request",
    "parse_head",
    "piece_call",
    "rate_limit",
    "rest_s",
    "response_headers",
    "shorten_deadline",
    "survived_rejections",
    "tolerated_rejections",
]

_JSON = {"Content-Type": "application/json"}
# Statuses that guarantee "not run" to callers, by the platform's protocol.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_MISDIRECTED_STATUS = 421
# Statuses of an endpoint without room.
_FULL_STATUSES = (429, 503)
_MIN_FAILED_STATUS = 500
# Of the numbers in a request's headers.
MAX_DIGITS = 15
# Of the ids of parts of a prompt, and of the parts that are used to choose an
# engine; what is forwarded has no such limit.
MAX_PART_CHARS = 64
MAX_PARTS = 256


class Head(typing.NamedTuple):
    """Content of the headers of a caller's request.

    Parameters
    ----------
    request_id : str
        Empty if the caller sent none.
    deadline_s : float or None
        Seconds that the caller will wait.
    key : str or None
        API key that identifies the team.
    prefix : tuple of (str, int)
        Parts of the prompt in order, each with its number of tokens;
        requests may have the first parts in common.
    prompt_tokens, max_output_tokens : int
        Tokens of the prompt, and the maximum number to generate.
    pieces : tuple of int
        Number of pieces of each stage of the route; 0 skips the stage.
    piece_key : str or None
        Identifies the source data of the pieces of first stages.
    last_event_id : str or None
        Id of the last event received of a broken stream to resume.
    resumes : str or None
        Id of the caller's request that brought the first event of that
        stream.
    length_hint : int
        The caller's estimate of the number of tokens to generate; 0 if it
        gave none.
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
    resumes: str | None = None
    length_hint: int = 0


class Verdict(enum.Enum):
    """What an endpoint's response says about its run of the request."""

    DONE = "done"
    NOT_RUN = "not-run"
    # Another endpoint has the address; the intended one is gone.
    MISDIRECTED = "elsewhere"
    FAILED = "failed"
    # A status that guarantees "not run" to callers, without the endpoint's
    # header that confirms it: forwarded, it could mislead the caller.
    UNCONFIRMED = "unsure"


def parse_head(headers):
    """Parse the headers of a request into a `Head`.

    Numbers that cannot be parsed, or are larger than any number of tokens or
    milliseconds, count as missing, and invalid parts of a prefix are skipped:
    the endpoint checks the forwarded headers too.
    """
    authorization = headers.get(names.AUTHORIZATION, "")
    key = None
    if authorization.startswith(names.KEY_SCHEME):
        key = authorization[len(names.KEY_SCHEME) :].strip()
    tokens = _parse_numbers(headers.get(names.TOKENS, ""))
    deadline = _parse_numbers(headers.get(names.DEADLINE_MS, ""))
    hint = _parse_numbers(headers.get(names.LENGTH_HINT, ""))
    return Head(
        request_id=headers.get(names.REQUEST_ID, ""),
        deadline_s=deadline[0] / 1000 if deadline else None,
        key=key,
        prefix=_parse_prefix(headers.get(names.PREFIX, "")),
        prompt_tokens=tokens[0] if tokens else 0,
        max_output_tokens=tokens[1] if len(tokens) > 1 else 0,
        pieces=_parse_numbers(headers.get(names.PIECES, "")),
        piece_key=headers.get(names.PIECE_KEY),
        last_event_id=headers.get(names.LAST_EVENT_ID),
        resumes=headers.get(names.RESUMES),
        length_hint=hint[0] if hint else 0,
    )


def _parse_numbers(text):
    parts = [part.strip() for part in text.split(",")]
    if max(map(len, parts)) > MAX_DIGITS:
        return ()
    try:
        return tuple(int(part) for part in parts if part)
    except ValueError:
        return ()


def _parse_prefix(text):
    parts = []
    for part in text.split(",", MAX_PARTS)[:MAX_PARTS]:
        name, _, tokens = part.strip().partition(":")
        if not 0 < len(name) <= MAX_PART_CHARS:
            continue
        if tokens.isdecimal() and len(tokens) <= MAX_DIGITS:
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
    """Return the headers to forward to an endpoint with a request.

    Parameters
    ----------
    headers : CIMultiDict
        As the caller sent them.
    team : str or None
        Name of the caller's team.
    endpoint : str
        Id of the endpoint; any other one does not run the request.
    remaining_s : float
        Seconds after which the endpoint is to stop working.
    priority : int, optional
        0 is the most urgent.
    inputs : list of str, optional
        Handles of results of stages.
    last_event_id : str, optional
        Replaces the one that the caller sent.
    """
    connection_headers = {
        name.strip().lower()
        for value in headers.getall("Connection", ())
        for name in value.split(",")
    }
    result = multidict.CIMultiDict()
    for name, value in headers.items():
        lower_name = name.lower()
        if (
            lower_name not in names.HOP_BY_HOP_HEADERS
            and lower_name not in names.RESERVED_HEADERS
            and lower_name not in connection_headers
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


def shorten_deadline(headers, elapsed_s):
    """Return headers to forward, with a deadline that is some time nearer.

    Examples
    --------
    >>> headers = {"X-Sycamoreshed-Deadline-Ms": "900"}
    >>> shorten_deadline(headers, 0.5)["X-Sycamoreshed-Deadline-Ms"]
    '400'
    """
    elapsed_ms = int(elapsed_s * 1000)
    deadline = _parse_numbers(headers.get(names.DEADLINE_MS, ""))
    if not deadline or not elapsed_ms:
        return headers
    result = multidict.CIMultiDict(headers)
    result[names.DEADLINE_MS] = str(max(1, deadline[0] - elapsed_ms))
    return result


def response_headers(headers, *, signed=True):
    """Return the headers of an endpoint's response to forward to a caller.

    Parameters
    ----------
    headers : CIMultiDict
    signed : bool
        Whether the response is forwarded unchanged, with its proof.
    """
    result = multidict.CIMultiDict()
    for name, value in headers.items():
        lower_name = name.lower()
        if lower_name in names.HOP_BY_HOP_HEADERS:
            continue
        if not signed and lower_name == names.SIGNATURE.lower():
            continue
        result.add(name, value)
    return result


def matches_request(headers, request_id):
    """Return whether a response names this request, or none at all."""
    named = headers.get(names.REQUEST_ID)
    return named is None or named == request_id


def classify_response(status, headers):
    """Return the `Verdict` of an endpoint's response."""
    if status == _MISDIRECTED_STATUS:
        return Verdict.MISDIRECTED
    if names.NOT_RUN in headers:
        return Verdict.NOT_RUN
    if status in _NOT_RUN_STATUSES:
        return Verdict.UNCONFIRMED
    if status >= _MIN_FAILED_STATUS:
        return Verdict.FAILED
    return Verdict.DONE


def is_leaving(headers):
    """Return whether an endpoint says that it leaves.

    Examples
    --------
    >>> is_leaving({"Server-Leaving": "1"}), is_leaving({})
    (True, False)
    """
    return headers.get(names.LEAVING, "").strip() == "1"


def rate_limit(headers):
    """Return the requests per second that an endpoint takes, or None.

    Examples
    --------
    >>> rate_limit({"Server-Limit": "1.5"})
    1.5
    >>> rate_limit({"Server-Limit": "few"}), rate_limit({})
    (None, None)
    """
    return _parse_rate(headers.get(names.RATE_LIMIT, ""))


def rest_s(status, headers, unix_s):
    """Return the seconds for which an endpoint wants no requests, or None.

    Parameters
    ----------
    status : int
    headers : CIMultiDict
    unix_s : float
        Unix time, for a time that is given as a date.

    Returns
    -------
    float or None
        Positive; None if the response asks for none, or names no time.

    Examples
    --------
    >>> rest_s(503, {"Retry-After": "1.5"}, 0.0)
    1.5
    >>> rest_s(503, {"Retry-After": "Thu, 01 Jan 1970 00:01:00 GMT"}, 50.0)
    10.0
    >>> rest_s(503, {"Retry-After": "soon"}, 0.0) is None
    True
    >>> rest_s(500, {"Retry-After": "3"}, 0.0) is None
    True
    """
    text = headers.get(names.RETRY_AFTER, "").strip()
    if status not in _FULL_STATUSES or not text:
        return None
    try:
        seconds = float(text)
    except ValueError:
        seconds = _parse_date(text) - unix_s
    return seconds if 0 < seconds < math.inf else None


def _parse_date(text):
    """Return the Unix time of a date in an HTTP header, or minus infinity."""
    try:
        return email.utils.parsedate_to_datetime(text).timestamp()
    except (ValueError, OverflowError):
        return -math.inf


def tolerated_rejections(status, headers):
    """Return how many rejections a second a full endpoint survives, or None.

    None if the response does not reject a request for lack of room, or the
    endpoint survives any number.

    Examples
    --------
    >>> full = {"X-Sycamoreshed-Not-Executed": "1", "Server-Brittle": "4"}
    >>> tolerated_rejections(503, full)
    4.0
    >>> tolerated_rejections(421, full), tolerated_rejections(503, {})
    (None, None)
    """
    if classify_response(status, headers) is not Verdict.NOT_RUN:
        return None
    if status not in _FULL_STATUSES:
        return None
    return survived_rejections(headers)


def survived_rejections(headers):
    """Return how many rejections a second an endpoint survives, or None.

    None if its answer, whichever it is, does not say so.

    Examples
    --------
    >>> survived_rejections({"Server-Brittle": "4"}), survived_rejections({})
    (4.0, None)
    """
    return _parse_rate(headers.get(names.MAX_REJECTIONS, ""))


def _parse_rate(text):
    try:
        rate = float(text)
    except ValueError:
        return None
    return rate if 0 <= rate < math.inf else None


class PieceResult(typing.NamedTuple):
    """Result of one piece: its handle, or the reason why there is none."""

    handle: str | None
    reason: str | None


class _WirePieceResult(msgspec.Struct):
    handle: str | None = None
    reason: str | None = None


class _WirePieceResults(msgspec.Struct):
    # The wire calls pieces of stages "items".
    items: list[_WirePieceResult]


def piece_call(pieces, *, endpoint, now):
    """Return path, headers and body of a call that runs pieces of stages.

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
        # On the wire "phase" is the stage and "segment" the piece's index.
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
    """Return a list of `PieceResult`, in the order of the call.

    Raises
    ------
    msgspec.MsgspecError
        If the body is not a valid response to a call of pieces.
    """
    results = decoding.decode(raw, _WirePieceResults).items
    return [PieceResult(each.handle, each.reason) for each in results]


def free_call(handles, *, endpoint):
    """Return path, headers and body of a call that frees results."""
    headers = {**_JSON, names.EXPECT_ENDPOINT: endpoint}
    body = msgspec.json.encode({"handles": list(handles)})
    return names.STAGE_FREE, headers, body
