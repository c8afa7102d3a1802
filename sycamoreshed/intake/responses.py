"""Feeds the HTTP library's parser only what a response may make it keep.

The library bounds each field of a head and their number, which leaves
megabytes for each call, and its errors hold what a server has sent.  Here a
head is parsed once it has arrived whole, within the limit of heads, and if it
is one.  What follows a response is dropped.
"""

import re

import aiohttp
from aiohttp import http_exceptions

from sycamoreshed.intake import heads

__all__ = ["MAX_HEAD_BYTES", "BoundedResponseParser", "ResponseRefused"]

# Of a status line with all fields; also of the framing between two parts of
# the content of a body.
MAX_HEAD_BYTES = 32 * 1024
# Interim responses before one response.
MAX_INTERIM = 16
# Memory that a parsed head takes for each of its bytes, and for each field.
BYTE_COST = 3
FIELD_COST_BYTES = 384
# Of a body in chunks, parsed at a time.
PIECE_BYTES = 8 * 1024
# Framing of a body that is parsed without a pause.
FREE_FRAMING_BYTES = 64 * 1024

_LINE_END = b"\r\n"
_HEAD_BEGIN = b"HTTP/1."
_HEAD_END = re.compile(rb"\n\r?\n")
# Bytes of an incomplete head that may belong to its end.
_END_OVERLAP = 2
_FINAL_STATUS = 200
_BAD_GATEWAY = 502
_NOTHING = ((), False, b"")


class ResponseRefused(http_exceptions.HttpProcessingError):
    """What a server sent is no response, or not one that can be taken.

    Parameters
    ----------
    reason : str
        Without anything that the server has sent.
    """

    def __init__(self, reason):
        super().__init__(code=_BAD_GATEWAY, message=reason)


class BoundedResponseParser:
    """Parses one response.

    Has the interface of the library's parser, which it takes the place of.

    Parameters
    ----------
    parser : aiohttp.http_parser.HttpResponseParser
    update : callable
        Called with the bytes that wait and those of the parsed head.
    has_room : callable
        Tells whether a number of bytes may be held in addition.
    pause : callable
        Called with bytes of framing; returns whether to wait for `resume`.
    report_surplus : callable
        Called without arguments if bytes follow the response.
    report_unframed : callable
        Called without arguments when a body begins that has neither a length
        nor chunks, and ends where the connection ends.
    """

    def __init__(
        self,
        *,
        parser,
        update,
        has_room,
        pause,
        report_surplus,
        report_unframed,
    ):
        self._parser = parser
        self._update = update
        self._has_room = has_room
        self._pause = pause
        self._report_surplus = report_surplus
        self._report_unframed = report_unframed
        self._pending = bytearray()
        # Bytes of the pending ones that were searched for the end of a head.
        self._searched = 0
        self._blank_bytes = 0
        self._interim_count = 0
        self._head_cost = 0
        # Of the response, once its head was parsed.
        self._payload = None
        self._is_chunked = False
        # Of a body with a length, else None.
        self._body_left = None
        # Of a body in chunks.
        self._framing_bytes = 0
        self._bytes_since_content = 0
        self._is_flow_paused = False
        self._is_paced = False
        self._is_done = False

    @property
    def is_paced(self):
        """Whether input waits for `resume`."""
        return self._is_paced

    def feed_data(self, data):
        """Parse what has arrived; return as the library's parser does.

        Raises
        ------
        ResponseRefused
        """
        if self._is_done:
            if data:
                self._report_surplus()
            return _NOTHING
        # The library calls without data once a full buffer was read.
        if self._is_flow_paused and not data:
            self._is_flow_paused = False
            self._feed_body(b"")
        self._pending += data
        messages = ()
        while self._pending and not self._is_done:
            if self._is_flow_paused or self._is_paced:
                break
            if self._payload is not None:
                self._parse_body()
                continue
            parsed = self._parse_head()
            if not parsed:
                break
            messages += parsed
        if not self._is_done:
            self._tell()
        return messages, False, b""

    def pause_reading(self):
        """Take note that the buffer of a body is full."""
        self._is_flow_paused = True
        if self._parser is not None:
            self._parser.pause_reading()

    def resume(self):
        """Go on after a pause."""
        self._is_paced = False

    def feed_eof(self):
        """Handle the end of the connection; see the library's parser."""
        if self._is_done or self._payload is None:
            return None
        if self._pending:
            raise http_exceptions.TransferEncodingError("body is not whole")
        return self._parser.feed_eof()

    def refuse(self, reason):
        """Give up the response; return the error for its reader."""
        payload = self._payload
        self.close()
        if payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(reason))
        return ResponseRefused(reason)

    def close(self):
        """Release everything, and drop all further input."""
        self._is_done = True
        self._pending.clear()
        self._head_cost = 0
        # It keeps the fields of trailers that are not whole.
        self._parser = None
        self._tell()

    def _tell(self):
        waiting = len(self._pending) if self._payload is None else 0
        self._update(waiting, self._head_cost)

    def _take(self, size):
        piece = bytes(self._pending[:size])
        del self._pending[:size]
        return piece

    def _parse_head(self):
        """Parse a head that has arrived whole; return its message."""
        self._skip_blank_lines()
        begin = bytes(self._pending[: len(_HEAD_BEGIN)])
        if not _HEAD_BEGIN.startswith(begin):
            raise self.refuse("not a response")
        start = max(0, self._searched - _END_OVERLAP)
        end = _HEAD_END.search(self._pending, start)
        self._searched = len(self._pending)
        arrived = self._searched if end is None else end.end()
        if arrived > MAX_HEAD_BYTES:
            raise self.refuse("head of a response is too large")
        if end is None:
            return ()
        head = self._take(arrived)
        self._searched = 0
        cost = BYTE_COST * arrived + FIELD_COST_BYTES * head.count(b"\n")
        if not self._has_room(cost):
            raise self.refuse("no memory for the head of a response")
        try:
            heads.check_head(head)
            messages = self._feed(head)
            if not messages:
                raise heads.HeadError("not the head of a response")
            message, payload = messages[0]
            heads.check_framing(message)
        except heads.HeadError as err:
            raise self.refuse(str(err)) from err
        self._head_cost = cost
        if message.code < _FINAL_STATUS:
            self._interim_count += 1
            if self._interim_count > MAX_INTERIM:
                raise self.refuse("too many interim responses")
        else:
            self._begin_body(message, payload)
        return messages[:1]

    def _skip_blank_lines(self):
        if self._pending[:1] not in (b"\r", b"\n"):
            return
        size = len(self._pending)
        self._pending = self._pending.lstrip(_LINE_END)
        self._searched = 0
        self._blank_bytes += size - len(self._pending)
        if self._blank_bytes > MAX_HEAD_BYTES:
            raise self.refuse("too many empty lines before a response")

    def _begin_body(self, message, payload):
        self._payload = payload
        self._is_chunked = bool(message.chunked)
        length = message.headers.get("Content-Length")
        self._body_left = None if length is None else int(length)
        if payload.is_eof():
            self._finish()
        elif not self._is_chunked and self._body_left is None:
            self._report_unframed()

    def _finish(self):
        """Drop what follows the response."""
        if self._pending:
            self._report_surplus()
        self.close()

    def _parse_body(self):
        size = len(self._pending)
        if self._is_chunked:
            size = min(size, PIECE_BYTES)
        elif self._body_left is not None:
            size = min(size, self._body_left)
            self._body_left -= size
        if size:
            self._feed_body(self._take(size))
        else:
            # The library has the whole body, and is still decompressing it.
            self._pending.clear()
            self._report_surplus()

    def _feed_body(self, piece):
        payload = self._payload
        before = payload.total_raw_bytes
        try:
            messages = self._feed(piece)
        except heads.HeadError as err:
            if not payload.is_eof():
                raise self.refuse("body of a response is malformed") from err
            # What the library could not parse follows the response.
            self._report_surplus()
        else:
            if messages:
                self._report_surplus()
        if payload.is_eof():
            self._finish()
        elif self._is_chunked and piece:
            self._check_framing(len(piece), payload.total_raw_bytes - before)

    def _check_framing(self, size, arrived):
        """Bound what comes besides the content of a body in chunks."""
        self._bytes_since_content += size
        if arrived:
            self._bytes_since_content = 0
        if self._bytes_since_content > MAX_HEAD_BYTES:
            raise self.refuse("too much framing in a response")
        framing = max(0, size - arrived)
        self._framing_bytes += framing
        is_costly = framing > size // 2
        if is_costly and self._framing_bytes > FREE_FRAMING_BYTES:
            self._is_paced = self._pause(framing)

    def _feed(self, piece):
        """Return the messages that the library makes of some bytes."""
        try:
            messages, _, _ = self._parser.feed_data(piece)
        except (
            http_exceptions.HttpProcessingError,
            RuntimeError,
            ValueError,
        ) as err:
            # Its text has what the server sent.
            raise heads.HeadError("not HTTP") from err
        return tuple(messages)
