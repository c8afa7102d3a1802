"""Fingerprints by which a repeated request is recognized."""

import hashlib

__all__ = ["fingerprint"]

# Long enough that no team can construct a request with the fingerprint of
# another one.
DIGEST_BYTES = 16


def fingerprint(*, method, host, target, team, body):
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

    Returns
    -------
    str
        Hexadecimal digest.

    Examples
    --------
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
    return digest.hexdigest()
