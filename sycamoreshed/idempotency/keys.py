"""Names of requests that may not be repeated: keys and digests."""

import re
import urllib.parse

import msgspec
import xxhash

__all__ = ["PREFIX", "digest", "endpoint_key", "is_valid", "record_key"]

PREFIX = "once/"
_VALID = re.compile(r"[\x21-\x7e]{1,200}")


def is_valid(key):
    """Return whether a caller's key may be used.

    Parameters
    ----------
    key : str

    Returns
    -------
    bool

    Notes
    -----
    Visible ASCII only: other bytes of a header are decoded differently
    from one library to the next, so the key that is asked for later
    would not be the one that was recorded.

    Examples
    --------
    >>> is_valid("vote-7"), is_valid("a b"), is_valid("")
    (True, False, False)
    """
    return _VALID.fullmatch(key) is not None


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
