"""Cuts a byte stream into whole server-sent events."""

import re
import typing

__all__ = ["EventBuffer", "StreamEvent"]

_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"^id: ?(\d+)\r?$", re.MULTILINE)


class StreamEvent(typing.NamedTuple):
    """One event as its bytes, and its id (None if it has none)."""

    raw: bytes
    number: int | None


class EventBuffer:
    r"""Takes bytes as they come, gives whole events.

    An engine may stop in the middle of an event.  Passed on, the half of
    it could not be taken back, and the stream could not go on elsewhere.

    Examples
    --------
    >>> buffer = EventBuffer()
    >>> buffer.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    [StreamEvent(raw=b'id: 1\ndata: a\n\n', number=1)]
    >>> buffer.rest
    b'id: 2\nda'
    """

    def __init__(self):
        self._rest = b""

    @property
    def rest(self):
        """Bytes of an event whose end has not come."""
        return self._rest

    def feed(self, data):
        """Take bytes; return the events that are whole by now."""
        data = self._rest + data
        events = []
        start = 0
        for end in _END.finditer(data):
            raw = data[start : end.end()]
            found = _ID.search(raw)
            number = int(found[1]) if found else None
            events.append(StreamEvent(raw, number))
            start = end.end()
        self._rest = data[start:]
        return events
