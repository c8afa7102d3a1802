"""Reads bodies of HTTP messages, whose size has a limit.

A server in trouble may send bytes without end.  Limits apply to each body and
to all those that are read at the same time.
"""

import aiohttp

from sycamoreshed.adapters import protocol

__all__ = ["BodyTooLargeError", "read", "set_memory"]

MAX_BODY_BYTES = 16 * 1024 * 1024
# Of all requests together, and of all responses; beyond it, bodies above
# their share are given up.
MAX_TOTAL_BYTES = 64 * 1024 * 1024
# For responses, of the memory of a process, if that is less.
TOTAL_SHARE = 0.125
# Bodies of which each may have its share.
SHARES = 256


class BodyTooLargeError(aiohttp.ClientPayloadError):
    """The peer sends more than is accepted."""


class _Total:
    """Bytes of all bodies of one kind that are being read."""

    def __init__(self):
        self.size = 0
        self.max_bytes = MAX_TOTAL_BYTES


# Those of requests are counted by handlers as well, before they are read.
_of_requests = _Total()
_of_responses = _Total()


def set_memory(memory):
    """Set the bytes of memory that this process may use."""
    _of_responses.max_bytes = min(MAX_TOTAL_BYTES, int(TOTAL_SHARE * memory))


async def read(message):
    """Return the body of a message.

    Parameters
    ----------
    message : aiohttp.ClientResponse or aiohttp.web.BaseRequest

    Raises
    ------
    BodyTooLargeError
    aiohttp.ClientPayloadError
        If it is not whole.
    """
    length = message.content_length
    if length is not None and length > MAX_BODY_BYTES:
        raise BodyTooLargeError(f"body of {length} bytes is too large")
    is_response = isinstance(message, aiohttp.ClientResponse)
    total = _of_responses if is_response else _of_requests
    chunks = []
    size = 0
    try:
        async for chunk in message.content.iter_any():
            chunks.append(chunk)
            size += len(chunk)
            total.size += len(chunk)
            if size > MAX_BODY_BYTES or (
                total.size > total.max_bytes
                and size > total.max_bytes // SHARES
            ):
                raise BodyTooLargeError(
                    f"body is too large after {size} bytes"
                )
        if isinstance(message, protocol.Response):
            protocol.check_whole(message)
        return chunks[0] if len(chunks) == 1 else b"".join(chunks)
    finally:
        total.size -= size
