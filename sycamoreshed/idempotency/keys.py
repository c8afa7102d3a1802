"""Names of requests that may not be repeated: keys and digests."""

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
    "SLACK_S",
    "Names",
    "digest",
    "digest_of",
    "endpoint_key",
    "fault",
    "issued_at",
    "names_of",
    "record_key",
]

PREFIX = "once/"
# How far callers' and instances' clocks may be apart, twice.
SLACK_S = 600.0
_VALID = re.compile(r"[\x21-\x7e]{1,200}")


def issued_at(key):
    """Return when a key was made, if it tells.

    Returns
    -------
    float or None
        Wall-clock seconds of a UUID of version 7; None for other keys.

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


def fault(key, now, ttl_s):
    """Return why a caller's key may not be used.

    Parameters
    ----------
    key : str
    now : float
        Wall-clock seconds.
    ttl_s : float
        How long records are kept.

    Returns
    -------
    Failure or None

    Notes
    -----
    Visible ASCII only: other bytes of a header are decoded differently
    from one library to the next, so the key that is asked for later
    would not be the one that was recorded.

    A dated key whose record may have been swept is refused.  It could
    otherwise run a second time, a day after it ran first.

    Examples
    --------
    >>> fault("vote-7", 0.0, 10.0) is None
    True
    >>> fault("a b", 0.0, 10.0).kind
    <Kind.BAD_REQUEST: 'bad-request'>
    >>> dated = "01890a5d-ac96-774b-bcce-b302099a8057"
    >>> fault(dated, 1688096060.0, 10.0) is None
    True
    >>> fault(dated, 1688096069.0, 10.0).kind
    <Kind.KEY_EXPIRED: 'key-expired'>
    >>> fault(dated, 1688095000.0, 10.0).kind
    <Kind.BAD_REQUEST: 'bad-request'>
    """
    if _VALID.fullmatch(key) is None:
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
    if issued - SLACK_S / 2 > now:
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
    would be handed the answer of another.

    Examples
    --------
    >>> record_key("a/b", "ballot", "k")
    'once/a%2Fb/ballot/k'
    """
    parts = (urllib.parse.quote(part, safe="") for part in (team, service))
    return PREFIX + "/".join((*parts, urllib.parse.quote(key, safe="")))


def endpoint_key(team, key):
    """Return the key under which an endpoint knows a call.

    Notes
    -----
    Endpoints serve all teams: told the bare key, one would take the
    calls of two teams that chose the same key for one call.

    Examples
    --------
    >>> endpoint_key("gaucho", "k1")
    'gaucho/k1'
    """
    return f"{urllib.parse.quote(team, safe='')}/{key}"


class Names(typing.NamedTuple):
    """Names of a request's key.

    Parameters
    ----------
    row : str
        Key of its record.
    service : str
        Of the stage that may not be repeated.
    endpoint : str
        The key as endpoints of the service know it.
    """

    row: str
    service: str
    endpoint: str


def names_of(request):
    """Return the `Names` of a request's key."""
    stage = runner.unrepeatable_stage(request.config, request.pipeline)
    service = stage["service"]
    return Names(
        record_key(request.team, service, request.key),
        service,
        endpoint_key(request.team, request.key),
    )


def digest_of(request):
    """Return the digest of what a request asks for."""
    return digest(request.pipeline, request.body)


def digest(pipeline, body):
    """Return a digest of what a request asks for.

    Parameters
    ----------
    pipeline : str
    body : object
        The caller's input; the order of an object's members does not
        matter.

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
