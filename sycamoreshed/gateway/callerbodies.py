"""Reads the bodies of callers' requests."""

import asyncio

from aiohttp import web

from sycamoreshed.buffering import budget
from sycamoreshed.errors import kinds
from sycamoreshed.intake import refusals

__all__ = ["read"]

_TOO_LARGE = kinds.Failure(kinds.Kind.TOO_LARGE, "body too large")
_NO_MEMORY = kinds.Failure(kinds.Kind.NO_MEMORY, "no memory for the body")


async def read(http, max_bytes, hold, *, timeout_s):
    """Read the body of a request; return it or a `Failure`.

    Parameters
    ----------
    http : aiohttp.web.BaseRequest
    max_bytes : int
    hold : Hold
    timeout_s : float
    """
    if http.headers.get("Expect", "").lower() == "100-continue":
        http.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    length = http.content_length
    if length is not None and length > max_bytes:
        return _TOO_LARGE
    if length is not None and not hold.allows(budget.Content.BODY, length):
        return _NO_MEMORY
    chunks = []
    size = 0
    try:
        async with asyncio.timeout(max(0.0, timeout_s)):
            async for chunk in http.content.iter_any():
                size += len(chunk)
                if size > max_bytes:
                    return _TOO_LARGE
                if not hold.try_add(budget.Content.BODY, len(chunk)):
                    return _NO_MEMORY
                chunks.append(chunk)
    except TimeoutError:
        return kinds.Failure(kinds.Kind.LATE, "the body did not come")
    except web.RequestPayloadError as err:
        return refusals.failure_of(err)
    return b"".join(chunks)
