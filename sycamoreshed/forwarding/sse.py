"""Splitting of a byte stream into server-sent events."""

import re
import typing

__all__ = ["EventBuffer", "MalformedEventError", "StreamEvent"]

MAX_EVENT_BYTES = 1024 * 1024
# Longer ids are none that an engine has counted up to.
MAX_ID_DIGITS = 18

_EVENT_END = re.compile(rb"\r?\n\r?\n")
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
    >>> buffer.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    [StreamEvent(raw=b'id: 1\ndata: a\n\n', event_id=1)]
    >>> buffer.rest
    b'id: 2\nda'
    """

    def __init__(self):
        self._rest = b""

    @property
    def rest(self):
        """Bytes of an incomplete event."""
        return self._rest

    def feed(self, data):
        """Add received bytes; return the events that they complete.

        Raises
        ------
        MalformedEventError
            If an event has more than `MAX_EVENT_BYTES`, or its id more than
            `MAX_ID_DIGITS`.
        """
        data = self._rest + data
        events = []
        start = 0
        for end in _EVENT_END.finditer(data):
            raw = data[start : end.end()]
            events.append(StreamEvent(raw, _parse_id(raw)))
            start = end.end()
        self._rest = data[start:]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise MalformedEventError(f"event of over {MAX_EVENT_BYTES} bytes")
        return events


def _parse_id(raw):
    """Return the numeric id of an event, or None."""
    id_line = _ID.search(raw)
    if id_line is None:
        return None
    digits = id_line[1]
    if len(digits) > MAX_ID_DIGITS:
        raise MalformedEventError(f"event id of {len(digits)} digits")
    return int(digits)
