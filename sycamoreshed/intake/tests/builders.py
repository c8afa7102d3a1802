"""Builders of parsers, for tests."""

import asyncio

import aiohttp
from aiohttp import http_parser
from aiohttp import web_protocol

from sycamoreshed.intake import heads
from sycamoreshed.intake import parsing
from sycamoreshed.intake import responses

__all__ = ["Input", "ResponseInput", "feed", "make_input"]

HEADER_BYTES = 200


class Protocol:
    """What the library's parser needs of a connection."""

    def __init__(self):
        self.parser = None

    def pause_reading(self):
        """Pass a pause on, as connections do."""
        self.parser.pause_reading()

    def resume_reading(self, resume_parser=True):
        """Go on, as connections do."""
        if resume_parser:
            self.parser.feed_data(b"")


class Input:
    """A `BoundedParser` and what it told.

    Parameters
    ----------
    max_bytes : int
        Bytes that may be held for requests.
    pauses : bool
        Whether costly input has to wait.
    bodies : object, optional
        As for `BoundedParser`.
    auto_decompress : bool
        Whether the library decompresses bodies.
    """

    def __init__(
        self,
        *,
        max_bytes=1 << 20,
        pauses=False,
        bodies=None,
        auto_decompress=False,
    ):
        self.held = (0, 0)
        self.units = 0
        self._pauses = pauses
        protocol = Protocol()
        self.parser = protocol.parser = parsing.BoundedParser(
            parser=http_parser.HttpRequestParser(
                protocol,
                asyncio.get_running_loop(),
                2**16,
                max_line_size=parsing.LIBRARY_MAX,
                max_field_size=parsing.LIBRARY_MAX,
                max_headers=parsing.LIBRARY_MAX,
                payload_exception=web_protocol.RequestPayloadError,
                auto_decompress=auto_decompress,
                max_msg_queue_size=32,
            ),
            max_head_bytes=lambda: HEADER_BYTES,
            update=lambda *held: setattr(self, "held", held),
            has_room=lambda size: sum(self.held) + size <= max_bytes,
            pause=self._pause,
            bodies=bodies,
        )

    def _pause(self, units):
        self.units += units
        return self._pauses


def make_input(**options):
    """Return an `Input`."""
    return Input(**options)


async def feed(parser, raw, *, size=None):
    """Feed bytes in pieces, and answer each request at once.

    Returns
    -------
    list of (str, bytes)
        Path and body of each request.
    """
    seen = []
    answered = 0
    size = size or max(1, len(raw))
    for start in range(0, len(raw), size):
        seen.extend(parser.feed_data(raw[start : start + size])[0])
        while answered < len(seen) and seen[answered][1].is_eof():
            answered += 1
            if parser.record_response():
                seen.extend(parser.feed_data(b"")[0])
    return [
        (message.path, await payload.read() if payload.is_eof() else None)
        for message, payload in seen
    ]


class ResponseInput:
    """A `BoundedResponseParser` and what it told.

    Parameters
    ----------
    max_bytes : int
        Bytes that may be held for heads.
    pauses : bool
        Whether costly input has to wait.
    """

    def __init__(self, *, max_bytes=1 << 20, pauses=False):
        self.held = (0, 0)
        self.units = 0
        self.surplus_count = 0
        self.unframed_count = 0
        self._pauses = pauses
        protocol = Protocol()
        self.parser = protocol.parser = responses.BoundedResponseParser(
            parser=http_parser.HttpResponseParser(
                protocol,
                asyncio.get_running_loop(),
                2**16,
                max_line_size=responses.MAX_HEAD_BYTES,
                max_field_size=responses.MAX_HEAD_BYTES,
                max_headers=heads.MAX_FIELDS,
                payload_exception=aiohttp.ClientPayloadError,
                read_until_eof=True,
                auto_decompress=False,
            ),
            update=lambda *held: setattr(self, "held", held),
            has_room=lambda size: sum(self.held) + size <= max_bytes,
            pause=self._pause,
            report_surplus=self._count_surplus,
            report_unframed=self._count_unframed,
        )

    def feed(self, raw, *, size=None):
        """Feed bytes in pieces; return the messages and their bodies."""
        seen = []
        size = size or max(1, len(raw))
        for start in range(0, len(raw), size):
            seen += self.parser.feed_data(raw[start : start + size])[0]
        return seen

    def _pause(self, units):
        self.units += units
        return self._pauses

    def _count_surplus(self):
        self.surplus_count += 1

    def _count_unframed(self):
        self.unframed_count += 1
