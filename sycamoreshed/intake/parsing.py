"""Feeds the HTTP library's parser no more than a connection may keep.

The library bounds each field and their number, which leaves megabytes for
each connection, and parses what follows a request while that is served.
Here a head is parsed once it has arrived whole, within the limit of heads,
and what follows a request only after its response.
"""

import string

from aiohttp import http_exceptions

from sycamoreshed.intake import refusals

__all__ = ["LIBRARY_MAX", "MAX_PENDING_BYTES", "BoundedParser"]

# In place of the library's own limits of lines, fields and their number.
LIBRARY_MAX = 1 << 30
# Input that is read ahead of a request in progress.
MAX_PENDING_BYTES = 16 * 1024
# What the system may hold in addition for a connection that is not read.
SOCKET_BYTES = 128 * 1024
# Memory that a parsed head takes for each of its bytes, and for each field.
BYTE_COST = 3
FIELD_COST_BYTES = 384
# Of a body in chunks, parsed at a time.
PIECE_BYTES = 8 * 1024
# Cost of each piece, in bytes of framing.
PIECE_UNITS = 64
# Framing of a body that is parsed without a pause.
FREE_UNITS = 64 * 1024

_LINE_END = b"\r\n"
_HEAD_END = b"\r\n\r\n"
# The library rejects it, without waiting for more.
_BARE_HEAD_END = b"\n\n"
_METHOD_LETTERS = frozenset(string.ascii_uppercase.encode())
_NOTHING = ((), False, b"")


class BoundedParser:
    """Parses one request at a time.

    Has the interface of the library's parser, which it takes the place of.

    Parameters
    ----------
    parser : aiohttp.http_parser.HttpRequestParser
    max_head_bytes : callable
        Returns the limit of the request line, and of all fields together.
    update : callable
        Called with the bytes that wait and those of the request in progress.
    has_room : callable
        Tells whether a number of bytes may be held in addition.
    pause : callable
        Called with cost units; returns whether to wait for `resume`.
    bodies : BodyHold, optional
        Counts the memory of bodies; not set if handlers do.

    Attributes
    ----------
    is_done : bool
        Whether all further input is dropped.
    """

    def __init__(
        self, *, parser, max_head_bytes, update, has_room, pause, bodies=None
    ):
        self._parser = parser
        self._max_head_bytes = max_head_bytes
        self._update = update
        self._has_room = has_room
        self._pause = pause
        self._bodies = bodies
        self._pending = bytearray()
        # Bytes of the pending ones that were searched for the end of a head.
        self._searched = 0
        self._blank_bytes = 0
        # Of the request in progress, until its response and its body ended.
        self._payload = None
        self._is_answered = False
        self._is_chunked = False
        self._body_left = 0
        self._request_cost = 0
        self._trailer_bytes = 0
        # The last bytes of a body in chunks that were parsed.
        self._chunked_end = b""
        self._units = 0
        self._is_flow_paused = False
        self._is_paced = False
        self.is_done = False

    @property
    def is_receiving(self):
        """Whether a part of a head has arrived."""
        return self._payload is None and bool(self._pending)

    @property
    def is_full(self):
        """Whether no more input should be read now."""
        is_ahead = self._payload is not None and not self.is_done
        return is_ahead and len(self._pending) > MAX_PENDING_BYTES

    @property
    def awaits_body(self):
        """Whether the body of the request in progress is not whole."""
        return self._payload is not None and not self._payload.is_eof()

    def feed_data(self, data):
        """Parse what has arrived; return as the library's parser does.

        Raises
        ------
        HeadRefused
            If it is no head, or one that cannot be taken.
        """
        if self.is_done:
            return _NOTHING
        self._pending += data
        # The library calls without data once a full buffer was read.
        was_paused = self._is_flow_paused and not data
        self._is_flow_paused = False
        messages = ()
        try:
            if was_paused and self.awaits_body:
                self._feed_body(b"")
            while not self.is_done and (found := self._step()) is not None:
                messages += found
        except refusals.HeadRefused:
            self.drop()
            raise
        finally:
            self._tell()
        return messages, False, b""

    def message_consumed(self):
        """See the library's parser."""
        if self._parser is not None:
            self._parser.message_consumed()

    def pause_reading(self):
        """Take note that the buffer of a body is full."""
        self._is_flow_paused = True
        if self._parser is not None:
            self._parser.pause_reading()

    def set_upgraded(self, value):
        """See the library's parser."""
        if self._parser is not None:
            self._parser.set_upgraded(value)

    def feed_eof(self):
        """See the library's parser."""
        return None if self._parser is None else self._parser.feed_eof()

    def record_response(self):
        """Record that the response to the request in progress was written.

        Returns
        -------
        bool
            Whether there is input to go on with.
        """
        self._is_answered = True
        self._end_request()
        self._tell()
        return bool(self._pending)

    def resume(self):
        """Go on after a pause."""
        self._is_paced = False

    def drop(self):
        """Drop what waits, and all further input, without an answer to it."""
        self.is_done = True
        self._pending.clear()
        # It keeps the fields of a head or of trailers that are not whole.
        self._parser = None

    def refuse_body(self, failure):
        """Let the handler's read of an incomplete body fail."""
        if self.awaits_body:
            self._refuse_body(failure)

    def abandon_body(self):
        """End an incomplete body whose connection is closed."""
        if not self.awaits_body:
            return
        if not self._is_answered:
            self._payload.set_exception(ConnectionResetError("closed"))
        # What reads on behalf of nobody ends without an error.
        self._payload.feed_eof()

    def close(self):
        """Release everything."""
        self.drop()
        self._request_cost = 0
        if self._bodies is not None:
            self._bodies.release()
        self._tell()

    def _tell(self):
        waiting = len(self._pending)
        if self.is_full:
            waiting += SOCKET_BYTES
        self._update(waiting, self._request_cost)

    def _step(self):
        """Parse a next part; return new messages, or None without one."""
        if self._payload is not None and self._payload.is_eof():
            self._end_request()
        if not self._pending or self._is_flow_paused or self._is_paced:
            return None
        if self._payload is None:
            return self._parse_head()
        if self._payload.is_eof():
            return None
        size = self._body_piece_size()
        self._feed_body(self._take(size))
        return () if size else None

    def _take(self, size):
        piece = bytes(self._pending[:size])
        del self._pending[:size]
        return piece

    def _end_request(self):
        if self._payload is None or not self._is_answered:
            return
        if self._payload.is_eof():
            self._payload = None
            self._request_cost = 0
            if self._bodies is not None:
                self._bodies.release()

    def _parse_head(self):
        """Parse a head that has arrived whole; return its message."""
        self._skip_blank_lines()
        if self._pending and self._pending[0] not in _METHOD_LETTERS:
            raise refusals.HeadRefused(refusals.MALFORMED)
        size = self._find_head_end()
        self._check_head(size)
        if size is None:
            return None
        head = self._take(size)
        self._searched = 0
        cost = BYTE_COST * size + FIELD_COST_BYTES * head.count(b"\n")
        if not self._has_room(cost):
            raise refusals.HeadRefused(refusals.NO_MEMORY)
        messages, is_upgraded, _ = self._feed(head)
        if not messages:
            raise refusals.HeadRefused(refusals.MALFORMED)
        self._begin_request(*messages[0], cost)
        if is_upgraded:
            self.drop()
        return tuple(messages)

    def _skip_blank_lines(self):
        size = len(self._pending)
        if self._pending[:1] in (b"\r", b"\n"):
            self._pending = self._pending.lstrip(_LINE_END)
            self._searched = 0
        self._blank_bytes += size - len(self._pending)
        if self._blank_bytes > self._max_head_bytes():
            raise refusals.HeadRefused(refusals.HEAD_TOO_LARGE)

    def _find_head_end(self):
        """Return the size of the pending head, or None."""
        start = max(0, self._searched - len(_HEAD_END))
        self._searched = len(self._pending)
        for end in (_HEAD_END, _BARE_HEAD_END):
            index = self._pending.find(end, start)
            if index >= 0:
                return index + len(end)
        return None

    def _check_head(self, size):
        """Check the limits of a head, or of what has come of one."""
        max_bytes = self._max_head_bytes()
        arrived = len(self._pending) if size is None else size
        if arrived <= max_bytes:
            return
        line_end = self._pending.find(_LINE_END, 0, max_bytes + 2)
        if line_end < 0:
            raise refusals.HeadRefused(refusals.HEAD_TOO_LARGE)
        fields = arrived - line_end - len(_LINE_END)
        if size is not None:
            fields -= len(_LINE_END)
        if fields > max_bytes:
            raise refusals.HeadRefused(refusals.HEAD_TOO_LARGE)

    def _begin_request(self, message, payload, cost):
        self._payload = payload
        self._is_answered = False
        self._is_chunked = message.chunked
        self._body_left = 0
        if not self._is_chunked and not payload.is_eof():
            self._body_left = int(message.headers.get("Content-Length", 0))
        self._request_cost = cost
        self._blank_bytes = 0
        self._trailer_bytes = 0
        self._chunked_end = b""
        self._units = 0

    def _body_piece_size(self):
        """Return the size of a next piece of a body.

        Each piece ends where the body may end, so that nothing that follows
        it is parsed with it.
        """
        if not self._is_chunked:
            size = min(len(self._pending), self._body_left)
            self._body_left -= size
            return size
        # The end may have arrived in parts.
        text = self._chunked_end + self._pending[:PIECE_BYTES]
        index = text.find(_HEAD_END)
        size = min(PIECE_BYTES, len(self._pending))
        if index >= 0:
            size = index + len(_HEAD_END) - len(self._chunked_end)
        parsed = self._chunked_end + self._pending[:size]
        self._chunked_end = bytes(parsed[1 - len(_HEAD_END) :])
        return size

    def _feed_body(self, piece):
        payload = self._payload
        raw_before = payload.total_raw_bytes
        before = payload.total_bytes
        try:
            self._feed(piece)
        except refusals.HeadRefused as err:
            self._refuse_body(err.failure)
            return
        if payload.exception() is not None:
            # The library reports some errors of bodies only so.
            self.drop()
            payload.feed_eof()
            return
        arrived = payload.total_raw_bytes - raw_before
        # More if the library decompresses it.
        size = max(arrived, payload.total_bytes - before)
        if self._bodies is not None and not self._bodies.try_add(size):
            self._refuse_body(refusals.NO_MEMORY)
        if self._is_chunked and not self.is_done:
            self._check_framing(piece, arrived)

    def _check_framing(self, piece, arrived):
        """Bound what comes besides the content of a body in chunks."""
        if arrived:
            self._trailer_bytes = 0
        elif not self._payload.is_eof():
            self._trailer_bytes += len(piece)
            cost = FIELD_COST_BYTES * piece.count(b"\n") + len(piece)
            self._request_cost += cost
            if not self._has_room(cost):
                self._refuse_body(refusals.NO_MEMORY)
                return
        if self._trailer_bytes > self._max_head_bytes():
            self._refuse_body(refusals.HEAD_TOO_LARGE)
            return
        units = PIECE_UNITS + max(0, len(piece) - arrived)
        self._units += units
        if self._units > FREE_UNITS and units > len(piece) // 2:
            self._is_paced = self._pause(units)

    def _refuse_body(self, failure):
        """Let the handler's read of a body fail."""
        payload = self._payload
        self.drop()
        if not self._is_answered:
            payload.set_exception(refusals.BodyRefused(failure))
        if not payload.is_eof():
            # Nothing else is expected of it.
            payload.feed_eof()

    def _feed(self, piece):
        try:
            return self._parser.feed_data(piece)
        except http_exceptions.HttpProcessingError as err:
            # Its text has what the peer sent.
            raise refusals.HeadRefused(refusals.MALFORMED) from err
        except (ValueError, RuntimeError) as err:
            # Such as an address that the library cannot take apart.
            raise refusals.HeadRefused(refusals.MALFORMED) from err
