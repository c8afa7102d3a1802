"""Splitting of a byte stream into server-sent events."""

import re
import typing

__all__ = ["EventBuffer", "MalformedEventError", "StreamEvent"]

MAX_EVENT_BYTES = 1024 * 1024
# Longer ids are none that an engine has counted up to.
MAX_ID_DIGITS = 18

# From the end of an event's last line; further empty lines are not events.
_EVENT_END = re.compile(rb"\n\r?\n(?:\r?\n)*")
# Bytes before others that may belong to the same end.
_END_OVERLAP = 2
_ID = re.compile(rb"^id: ?(\d+)\r?$", re.MULTILINE)


class StreamEvent(typing.NamedTuple):
    """The bytes of an event, and its id, or None without a numeric one."""

    raw: bytes
    event_id: int | None


class MalformedEventError(ValueError):
    """An event does not end in time, or has an impossible id."""


class EventBuffer:
    r"""Buffers received bytes and returns complete events.

    An engine may fail in the middle of an event.  A partial event that had
    been passed on could not be withdrawn, so that the stream could not be
    resumed at another engine.

    Examples
    --------
    >>> buffer = EventBuffer()
    >>> list(buffer.feed(b"id: 1\ndata: a\n\nid: 2\nda"))
    [StreamEvent(raw=b'id: 1\ndata: a\n\n', event_id=1)]
    >>> buffer.rest
    b'id: 2\nda'
    """

    def __init__(self):
        self._rest = bytearray()

    @property
    def rest(self):
        """Bytes of an incomplete event."""
        return bytes(self._rest)

    @property
    def rest_size(self):
        """Number of bytes of an incomplete event."""
        return len(self._rest)

    def feed(self, data):
        """Add received bytes; yield the events that they complete.

        The events are made one by one: together they would take much more
        memory than their bytes.

        Raises
        ------
        MalformedEventError
            If an event has more than `MAX_EVENT_BYTES`, or its id more than
            `MAX_ID_DIGITS`.
        """
        # What was searched before is not searched again.
        search_from = max(0, len(self._rest) - _END_OVERLAP)
        self._rest += data
        start = 0
        while end := _EVENT_END.search(self._rest, search_from):
            raw = bytes(self._rest[start : end.end()])
            start = search_from = end.end()
            yield StreamEvent(raw, _parse_id(raw))
        del self._rest[:start]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise MalformedEventError(f"event of over {MAX_EVENT_BYTES} bytes")


def _parse_id(raw):
    """Return the numeric id of an event, or None."""
    id_line = _ID.search(raw)
    if id_line is None:
        return None
    digits = id_line[1]
    if len(digits) > MAX_ID_DIGITS:
        raise MalformedEventError(f"event id of {len(digits)} digits")
    return int(digits)
