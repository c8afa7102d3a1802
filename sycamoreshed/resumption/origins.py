"""What began each stream, for as long as callers may take it up."""

import collections
import typing

import xxhash

__all__ = ["Entry", "Origin", "OriginTable", "stream_key"]

# Longer than the deadline of any caller of a stream.
TTL_S = 60.0
# The oldest entries are dropped above this number.
MAX_ENTRIES = 50_000
# Longer ids of streams are kept and told as a digest.
MAX_ID_CHARS = 128


class Origin(typing.NamedTuple):
    """What began a stream, and must go on with it.

    Parameters
    ----------
    service : str
    software_version : str
        That of the engine of its first event.
    """

    service: str
    software_version: str


class Entry(typing.NamedTuple):
    """The origin of a stream, as instances send it to each other.

    Parameters
    ----------
    stream : str
        Id of the request that brought its first event.
    origin : Origin
    """

    stream: str
    origin: Origin


def stream_key(request_id):
    """Return what a stream is known by, given the id of its first request.

    Examples
    --------
    >>> stream_key("9c41d07be2a35f68")
    '9c41d07be2a35f68'
    >>> len(stream_key(16_000 * "a"))
    32
    """
    if len(request_id) <= MAX_ID_CHARS:
        return request_id
    return xxhash.xxh3_128_hexdigest(
        request_id.encode("utf-8", "surrogateescape")
    )


class _Known(typing.NamedTuple):
    origin: Origin
    expires_at: float


class OriginTable:
    """Origins of streams by id; bounded in number and time.

    Examples
    --------
    >>> table = OriginTable()
    >>> table.add("s-1", Origin("writer", "v2"), 0.0)
    >>> table.find("s-1", 1.0)
    Origin(service='writer', software_version='v2')
    >>> table.find("s-1", 1.0 + TTL_S) is None
    True
    """

    def __init__(self):
        # Ordered by the time at which entries expire.
        self._known = collections.OrderedDict()

    def __len__(self):
        return len(self._known)

    def add(self, stream, origin, now):
        """Record what began a stream; restarts the entry's time."""
        self._known[stream] = _Known(origin, now + TTL_S)
        self._known.move_to_end(stream)
        while len(self._known) > MAX_ENTRIES or self._is_first_expired(now):
            self._known.popitem(last=False)

    def find(self, stream, now):
        """Return the `Origin` of a stream, or None if it is not known."""
        known = self._known.get(stream)
        if known is None or known.expires_at <= now:
            return None
        return known.origin

    def remove(self, stream):
        """Forget a stream."""
        self._known.pop(stream, None)

    def entries(self, now):
        """Return all entries that have not expired."""
        return [
            Entry(stream, known.origin)
            for stream, known in self._known.items()
            if known.expires_at > now
        ]

    def _is_first_expired(self, now):
        first = next(iter(self._known.values()), None)
        return first is not None and first.expires_at <= now
