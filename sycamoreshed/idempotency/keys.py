"""Idempotency keys: validation, derived keys, and digests of requests."""

import re
import typing
import urllib.parse
import uuid

import msgspec
import xxhash

from sycamoreshed.errors import kinds
from sycamoreshed.pipeline import runner

__all__ = [
    "PREFIX",
    "DOUBLE_CLOCK_SKEW_S",
    "RequestKeys",
    "check_key",
    "digest",
    "endpoint_key",
    "issued_at",
    "record_key",
    "request_digest",
    "request_keys",
]

PREFIX = "once/"
# Twice the tolerated difference between callers' and instances' clocks.
DOUBLE_CLOCK_SKEW_S = 600.0
_VALID_KEY = re.compile(r"[\x21-\x7e]{1,200}")


def issued_at(key):
    """Return the creation time that a key contains, if any.

    Returns
    -------
    float or None
        Wall-clock seconds from a UUID of version 7; None for other keys.

    Examples
    --------
    >>> issued_at("01890a5d-ac96-774b-bcce-b302099a8057")
    1688096058.518
    >>> issued_at("vote-7") is None
    True
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != 7:
        return None
    return (parsed.int >> 80) / 1000


def check_key(key, now, ttl_s):
    """Return a failure if a caller's key is not valid, else None.

    Parameters
    ----------
    key : str
    now : float
        Wall-clock seconds.
    ttl_s : float
        Seconds for which records are kept.

    Returns
    -------
    Failure or None

    Notes
    -----
    Visible ASCII only: HTTP libraries decode other bytes of a header
    differently, so the key of a later look-up could differ from the
    recorded one.

    A UUIDv7 key older than `ttl_s` is rejected: its record may have been
    swept, and its request could run a second time, after as long as
    records are kept (usually a day).

    Examples
    --------
    >>> check_key("vote-7", 0.0, 10.0) is None
    True
    >>> check_key("a b", 0.0, 10.0).kind
    <Kind.BAD_REQUEST: 'bad-request'>
    >>> dated = "01890a5d-ac96-774b-bcce-b302099a8057"
    >>> check_key(dated, 1688096060.0, 10.0) is None
    True
    >>> check_key(dated, 1688096069.0, 10.0).kind
    <Kind.KEY_EXPIRED: 'key-expired'>
    >>> check_key(dated, 1688095000.0, 10.0).kind
    <Kind.BAD_REQUEST: 'bad-request'>
    """
    if _VALID_KEY.fullmatch(key) is None:
        return kinds.Failure(
            kinds.Kind.BAD_REQUEST,
            "Idempotency-Key must be 1 to 200 visible ASCII characters",
        )
    issued = issued_at(key)
    if issued is None:
        return None
    if issued + ttl_s < now:
        return kinds.Failure(
            kinds.Kind.KEY_EXPIRED, f"made {now - issued:.0f} s ago"
        )
    if issued - DOUBLE_CLOCK_SKEW_S / 2 > now:
        return kinds.Failure(
            kinds.Kind.BAD_REQUEST, "Idempotency-Key is dated in the future"
        )
    return None


def record_key(team, service, key):
    """Return the row key of a record.

    Notes
    -----
    Each part is quoted.  Otherwise team ``a/b`` with service ``c`` and
    team ``a`` with service ``b/c`` would share records, and one team
    would receive the answer of the other.

    Examples
    --------
    >>> record_key("a/b", "ballot", "k")
    'once/a%2Fb/ballot/k'
    """
    parts = (urllib.parse.quote(part, safe="") for part in (team, service))
    return PREFIX + "/".join((*parts, urllib.parse.quote(key, safe="")))


def endpoint_key(team, key):
    """Return the key under which a call is sent to an endpoint.

    Notes
    -----
    Endpoints serve all teams.  Without the team in the key, an endpoint
    would treat the calls of two teams with the same key as one call.

    Examples
    --------
    >>> endpoint_key("gaucho", "k1")
    'gaucho/k1'
    """
    return f"{urllib.parse.quote(team, safe='')}/{key}"


class RequestKeys(typing.NamedTuple):
    """Keys derived from a request's idempotency key, and their service.

    Parameters
    ----------
    record_key : str
        Row key of its record.
    service : str
        Service of the non-repeatable stage.
    endpoint_key : str
        The key as sent to endpoints of the service.
    """

    record_key: str
    service: str
    endpoint_key: str


def request_keys(request):
    """Return the `RequestKeys` of a request."""
    stage = runner.unrepeatable_stage(request.config, request.pipeline)
    service = stage["service"]
    return RequestKeys(
        record_key(request.team, service, request.key),
        service,
        endpoint_key(request.team, request.key),
    )


def request_digest(request):
    """Return the digest of a request's pipeline and input."""
    return digest(request.pipeline, request.body)


def digest(pipeline, body):
    """Return a digest of a pipeline's name and input.

    Parameters
    ----------
    pipeline : str
    body : object
        The caller's input; the order of object members does not matter.

    Returns
    -------
    str
        32 hexadecimal digits.

    Examples
    --------
    >>> digest("p", {"a": 1, "b": 2}) == digest("p", {"b": 2, "a": 1})
    True
    >>> digest("p", 1) == digest("q", 1)
    False
    """
    raw = msgspec.json.encode([pipeline, body], order="deterministic")
    return xxhash.xxh3_128_hexdigest(raw)
