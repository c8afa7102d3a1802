"""Passes a stream of events on, and goes on with it where it broke."""

import typing

from sycamoreshed.adapters import web
from sycamoreshed.errors import kinds
from sycamoreshed.forwarding import attempts
from sycamoreshed.forwarding import client
from sycamoreshed.forwarding import sse
from sycamoreshed.kernel import limits

__all__ = ["StreamEnd", "pass_on"]

# A stream that may go on elsewhere is given up on at an engine after a
# silence of this many times the pause its route still counts as on time;
# callers hang up after eight.
SILENT_PAUSES = 4.0
# Before the first event: a share of the time in which it is due.  It leaves
# time for another engine.
FIRST_SHARE = 0.6
LEAST_FIRST_S = 0.5


class StreamEnd(typing.NamedTuple):
    """How a stream ended.

    Parameters
    ----------
    failure : Failure or None
        None if all of it was passed on.
    first_s : float or None
        From the request's arrival to its first event.
    events : int
    endpoint : Endpoint
        The last one.
    """

    failure: typing.Any
    first_s: float | None
    events: int
    endpoint: typing.Any


class _Progress:
    """What of a stream has been passed on."""

    def __init__(self):
        self.begun = False
        self.first_s = None
        self.count = 0
        self.last = None


async def pass_on(opened, tries, request, sink, parts):
    """Pass a stream on to a caller until it is whole or broken.

    Parameters
    ----------
    opened : Opened
        The first engine's answer.
    tries : Attempts
    request : Request
    sink : Sink
        ``begin(response)`` before the first event, then ``send(bytes)``.
    parts : Parts

    Returns
    -------
    StreamEnd or Ended
        `Ended` if another engine, asked to go on, answered with a
        failure before anything was passed on.
    """
    progress = _Progress()
    while True:
        began = parts.clock()
        try:
            failure = await _pump(opened, request, sink, parts, progress)
        finally:
            tries.closed(opened)
        if failure is None:
            parts.health.record_success(opened.endpoint, parts.clock())
            return _end(None, progress, opened)
        tries.failed(opened.endpoint, failure, began)
        if not request.route.resumable or not tries.may_retry(failure):
            return _end(failure, progress, opened)
        again = await tries.open(last_event_id=progress.last)
        if not isinstance(again, attempts.Opened):
            if isinstance(again, attempts.Ended) and not progress.begun:
                return again
            return _end(_not_resumed(failure, again), progress, opened)
        opened = again
        parts.journal.write(
            "resumed",
            request=request.id,
            endpoint=opened.endpoint.id,
            after=progress.last,
        )


def _end(failure, progress, opened):
    return StreamEnd(
        failure, progress.first_s, progress.count, opened.endpoint
    )


def _not_resumed(failure, again):
    """Return a failure that also tells why no other engine went on."""
    why = again
    if isinstance(again, attempts.Ended):
        why = again.failure
    # A whole answer where the rest of a stream was asked for.
    told = f"status {again.answer.status}" if why is None else why.reason
    return failure._replace(reason=f"{failure.reason}; not resumed: {told}")


async def _pump(opened, request, sink, parts, progress):
    """Pass on one engine's part of a stream; return a failure or None."""
    response = opened.response
    buffer = sse.EventBuffer()
    while True:
        try:
            async with limits.limit(_patience(request, parts, progress)):
                data = await response.content.readany()
        except TimeoutError:
            return _broken("engine is silent")
        except web.ERRORS as err:
            return _broken(web.describe(err))
        if not data:
            break
        for event in buffer.feed(data):
            fault = await _take(
                event, response, request, sink, parts, progress
            )
            if fault is not None:
                return fault
    if buffer.rest:
        return _broken("ended within an event")
    if client.was_reset(response):
        return _broken("reset")
    if not progress.begun:
        await sink.begin(response)
        progress.begun = True
    return None


async def _take(event, response, request, sink, parts, progress):
    if event.number is not None and progress.last is not None:
        expected = int(progress.last) + 1
        if event.number < expected and request.route.resumable:
            return None
        if event.number != expected:
            return _broken(f"event {event.number} after {progress.last}")
    if not progress.begun:
        progress.begun = True
        progress.first_s = parts.clock() - request.started_at
        await sink.begin(response)
    await sink.send(event.raw)
    progress.count += 1
    if event.number is not None:
        progress.last = str(event.number)
    return None


def _patience(request, parts, progress):
    """Return the seconds until an engine's silence ends the attempt."""
    left = max(0.001, request.deadline - parts.clock())
    if not request.route.resumable:
        return left
    if progress.begun:
        return min(left, SILENT_PAUSES * request.route.pause_s)
    first = max(LEAST_FIRST_S, FIRST_SHARE * request.route.target_s)
    return min(left, first)


def _broken(why):
    return kinds.Failure(kinds.Kind.BROKEN_STREAM, why, sent=True)
