"""Long answers, which are passed on to callers while they arrive."""

import typing

from sycamoreshed.adapters import bodies
from sycamoreshed.adapters import protocol
from sycamoreshed.adapters import web
from sycamoreshed.buffering import budget
from sycamoreshed.errors import kinds
from sycamoreshed.forwarding import client
from sycamoreshed.kernel import timeouts

__all__ = ["Start", "pass_on", "read_start"]

# An answer is read as a whole up to this size.  Until then a request whose
# answer breaks off can be sent to another endpoint.
MAX_START_BYTES = 256 * 1024
CHUNK_BYTES = 32 * 1024
# Lowest status that tells of an error.
_ERROR_STATUS = 400


class Start(typing.NamedTuple):
    """The first bytes of a long answer; the rest is still to be read."""

    body: bytes


async def read_start(response, hold, *, timeout_s, extend=None):
    """Read an answer as far as it may be held.

    Parameters
    ----------
    response : aiohttp.ClientResponse
        It is closed unless a `Start` is returned.
    hold : Hold
    timeout_s : float
    extend : callable, optional
        See `timeouts.time_limit`.

    Returns
    -------
    FullAnswer, Start or Failure
    """
    length = response.content_length
    if length is not None and length > bodies.MAX_BODY_BYTES:
        response.close()
        return _broken(f"answer of {length} bytes is too large")
    chunks = []
    is_begun = False
    try:
        async with timeouts.time_limit(max(timeout_s, 0.001), extend=extend):
            while not _is_long(response, sum(map(len, chunks)), hold):
                data = await response.content.read(CHUNK_BYTES)
                if not data:
                    protocol.check_whole(response)
                    break
                hold.add(budget.Content.ANSWER, len(data))
                chunks.append(data)
            else:
                is_begun = True
                return Start(b"".join(chunks))
    except TimeoutError:
        return kinds.Failure(kinds.Kind.LATE, "answer not whole", sent=True)
    except web.TRANSPORT_ERRORS as err:
        return _broken(web.describe(err))
    finally:
        if not is_begun:
            response.close()
    return client.FullAnswer(
        response.status,
        response.reason or "",
        response.headers,
        b"".join(chunks),
    )


def _is_long(response, size, hold):
    """Return whether an answer is passed on after its first bytes."""
    length = response.content_length
    if size and length is not None and length > MAX_START_BYTES:
        return True
    if size + CHUNK_BYTES > MAX_START_BYTES:
        return True
    return size >= budget.SMALL_BYTES and not hold.allows(
        budget.Content.ANSWER, CHUNK_BYTES
    )


async def pass_on(opened, tries, request, sink, parts):
    """Pass a long answer on to a caller; return a `Failure` or None.

    Parameters
    ----------
    opened : Opened
        With the start of the answer.
    tries : Attempts
    request : Request
    sink : Sink
    parts : Parts

    Notes
    -----
    Nothing more is read from the endpoint while the caller does not read.
    """
    started_at = parts.clock()
    try:
        failure = await _pass_on(opened, tries, request, sink, parts)
        if failure is not None:
            tries.record_failure(
                opened.endpoint,
                failure,
                started_at,
                is_cut_off=failure.kind is kinds.Kind.REFUSED,
            )
    finally:
        tries.close(opened)
    if failure is None:
        is_success = opened.response.status < _ERROR_STATUS
        tries.record_served(opened.endpoint, is_success=is_success)
    else:
        await tries.settle(opened.endpoint)
    return failure


async def _pass_on(opened, tries, request, sink, parts):
    response, hold = opened.response, request.hold
    tries.record_data()
    await sink.begin(response, length=response.content_length)
    await sink.send(opened.start.body)
    size = len(opened.start.body)
    hold.remove(budget.Content.ANSWER, size)
    while size <= bodies.MAX_BODY_BYTES:
        remaining_s = max(0.001, request.deadline - parts.clock())
        try:
            async with timeouts.time_limit(remaining_s):
                data = await response.content.read(CHUNK_BYTES)
            if not data:
                protocol.check_whole(response)
        except TimeoutError:
            return kinds.Failure(
                kinds.Kind.LATE, "answer not whole", sent=True
            )
        except web.TRANSPORT_ERRORS as err:
            return _broken(web.describe(err))
        if not data:
            return None
        size += len(data)
        tries.record_data()
        await sink.send(data)
    return _broken(f"answer is too large after {size} bytes")


def _broken(reason):
    return kinds.Failure(kinds.Kind.REFUSED, reason, sent=True)
