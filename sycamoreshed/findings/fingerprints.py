"""Fingerprints by which requests and parts of their prompts are recognized.

A fingerprint consists of a digest of the whole request, followed by the ids
of the parts of its prompt that other requests may have too.
"""

import hashlib
import re

__all__ = ["fingerprint", "is_part", "parts_of", "request_of"]

# Long enough that no team can construct a request with the fingerprint of
# another one.
DIGEST_BYTES = 16
# Parts of a prompt that are told apart: those at its end, as the first ones
# are common to most requests.
MAX_PARTS = 16
_SEPARATOR = "/"
# Ids of other forms are not recognized.
_PART = re.compile(r"[0-9A-Za-z_.-]{1,64}")
# Tells the key of a part from that of a request.
_PART_PREFIX = "part:"


def fingerprint(*, method, host, target, team, body, parts=()):
    """Return the fingerprint of a request.

    Callers give each repetition of a request another id, and send it to any
    instance.  The fingerprint covers what stays the same and what an
    endpoint receives.

    Parameters
    ----------
    method, host, target : str
    team : str or None
        Name of the caller's team; None on routes that need no key.
    body : bytes
    parts : iterable of str
        Ids of the parts of its prompt that other requests may have.

    Returns
    -------
    str
        Hexadecimal digest, and the ids behind it.

    Examples
    --------
    >>> named = fingerprint(
    ...     method="GET", host="h", target="/", team=None, body=b"", parts="ab"
    ... )
    >>> named == request_of(named) + "/a/b"
    True
    >>> parts_of(named)
    ('part:a', 'part:b')
    >>> sent = dict(method="GET", host="h", target="/a", team=None, body=b"")
    >>> fingerprint(**sent) == fingerprint(**{**sent, "host": "H"})
    True
    >>> fingerprint(**sent) == fingerprint(**{**sent, "team": "t"})
    False
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (method, host.lower(), target, team or ""):
        raw = part.encode()
        # The length keeps parts apart.
        digest.update(len(raw).to_bytes(4, "big"))
        digest.update(raw)
    digest.update(body)
    known = [each for each in parts if _PART.fullmatch(each)]
    return _SEPARATOR.join([digest.hexdigest(), *known[-MAX_PARTS:]])


def request_of(fingerprint):
    """Return the key of the whole request, under which it is blamed."""
    return fingerprint.partition(_SEPARATOR)[0]


def is_part(key):
    """Return whether a key is that of a part."""
    return key.startswith(_PART_PREFIX)


def parts_of(fingerprint):
    """Return the keys of the parts of the prompt, under which it is blamed."""
    _, *parts = fingerprint.split(_SEPARATOR)
    return tuple(_PART_PREFIX + each for each in parts)
