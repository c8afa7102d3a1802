"""Forwarding of event streams, which resume at another engine on failure."""

import asyncio
import functools
import typing

from sycamoreshed.adapters import protocol
from sycamoreshed.adapters import web
from sycamoreshed.buffering import budget
from sycamoreshed.engineload import samples
from sycamoreshed.errors import kinds
from sycamoreshed.forwarding import exchanges
from sycamoreshed.forwarding import sse
from sycamoreshed.kernel import timeouts
from sycamoreshed.resumption import origins

__all__ = ["StreamEnd", "forward_stream"]

# A resumable stream moves to another engine after no data for this many times
# the pause that its route counts as on time.  Callers wait for at least eight
# times the pause, see `requests.WAIT_PAUSE_FACTOR`.
TIMEOUT_PAUSE_FACTOR = 4.0
# Time limit for each read before the first event, as a share of the route's
# target.  It leaves time for another engine.
FIRST_EVENT_SHARE = 0.6
MIN_FIRST_EVENT_S = 0.5
# An event costs as much processing time as so many bytes at least.
MIN_EVENT_BYTES = 16
# Bytes that short events of a stream may lack of that without a pause.
FREE_SHORT_BYTES = 64 * 1024


# Of a stream that other instances would take for one of another version.
_UNHELD = kinds.Failure(
    kinds.Kind.NO_ENDPOINT,
    "no other instance could be told what began the stream",
    sent=True,
)


class StreamEnd(typing.NamedTuple):
    """How a stream ended.

    Parameters
    ----------
    failure : Failure or None
        None if the stream was passed on completely.
    first_s : float or None
        Seconds from the arrival of the request to its first event.
    events : int
    endpoint : Endpoint
        The last engine that the stream came from.
    max_gap_s : float
        Longest time between events.
    """

    failure: typing.Any
    first_s: float | None
    events: int
    endpoint: typing.Any
    max_gap_s: float = 0.0


class _Break(typing.NamedTuple):
    """Why an engine's part of a stream is not whole.

    ``is_cut_off`` tells whether the engine closed the connection, and
    ``is_final`` whether the engine is sound, but the stream cannot begin.
    """

    failure: typing.Any
    is_cut_off: bool = False
    is_final: bool = False


class _Progress:
    """What part of a stream has been passed on."""

    def __init__(self):
        self.has_started = False
        self.first_s = None
        self.count = 0
        self.last_event_id = None
        self.max_gap_s = 0.0
        self._latest_at = None

    def record_event(self, event_id, now):
        """Record that an event has been passed on."""
        self.count += 1
        if self._latest_at is not None:
            self.max_gap_s = max(self.max_gap_s, now - self._latest_at)
        self._latest_at = now
        if event_id is not None:
            self.last_event_id = str(event_id)


class _Batch:
    """Events that arrived together, which are passed on in one write."""

    def __init__(self, *, sink):
        self._sink = sink
        self._ready = []

    def add(self, raw):
        """Add the bytes of an event."""
        self._ready.append(raw)

    async def send(self):
        """Pass on what was added."""
        if self._ready:
            raw = b"".join(self._ready)
            self._ready.clear()
            await self._sink.send(raw)


class _HeldRest:
    """The memory of an event that has not arrived whole."""

    def __init__(self, *, hold):
        self._hold = hold
        self._size = 0

    def try_set(self, size):
        """Set the bytes that are held; return whether they may be."""
        if size > self._size and not self._hold.allows(
            budget.Content.ANSWER, size - self._size
        ):
            return False
        self._hold.add(budget.Content.ANSWER, size - self._size)
        self._size = size
        return True


async def forward_stream(opened, tries, request, sink, parts):
    """Pass a stream on to a caller until it is complete or fails.

    Parameters
    ----------
    opened : Opened
        The first engine's answer.
    tries : Attempts
    request : Request
    sink : Sink
        Receives ``begin(response)`` before the first event, then
        ``send(bytes)``.
    parts : Parts

    Returns
    -------
    StreamEnd or Answered
        `Answered` if a later engine sent a full answer before any part of the
        stream had been passed on.
    """
    progress = _Progress()
    while True:
        started_at = parts.clock()
        pacing = samples.Pacing()
        try:
            broken = await _forward_part(
                opened, tries, request, sink, parts, progress, pacing
            )
            if broken is not None and not broken.is_final:
                tries.record_failure(
                    opened.endpoint,
                    broken.failure,
                    started_at,
                    is_cut_off=broken.is_cut_off,
                )
        finally:
            tries.record_pace(pacing)
            tries.close(opened)
        if broken is None:
            tries.record_served(opened.endpoint)
            return _end(None, progress, opened)
        failure = broken.failure
        if broken.is_final:
            return _end(failure, progress, opened)
        await tries.settle(opened.endpoint)
        if not request.route.resumable:
            return _end(failure, progress, opened)
        if not await tries.try_retry(failure):
            return _end(failure, progress, opened)
        resumed = await tries.open(last_event_id=progress.last_event_id)
        if not isinstance(resumed, exchanges.Opened):
            if (
                isinstance(resumed, exchanges.Answered)
                and not progress.has_started
            ):
                return resumed
            return _end(_not_resumed(failure, resumed), progress, opened)
        opened = resumed
        parts.journal.write(
            "resumed",
            request=request.id,
            endpoint=opened.endpoint.id,
            software_version=opened.endpoint.software_version,
            after=progress.last_event_id,
        )


def _end(failure, progress, opened):
    return StreamEnd(
        failure,
        progress.first_s,
        progress.count,
        opened.endpoint,
        progress.max_gap_s,
    )


def _not_resumed(failure, result):
    """Add to a failure why the stream was not resumed."""
    cause = result
    if isinstance(result, exchanges.Answered):
        cause = result.failure
    # Without a failure the engine sent a full answer instead of the rest of
    # the stream.
    reason = (
        f"status {result.answer.status}" if cause is None else cause.reason
    )
    return failure._replace(reason=f"{failure.reason}; not resumed: {reason}")


async def _forward_part(opened, tries, request, sink, parts, progress, pacing):
    """Pass on one engine's part of a stream; return a `_Break` or None."""
    rest = _HeldRest(hold=request.hold)
    try:
        return await _read_part(
            opened, tries, request, sink, parts, progress, pacing, rest
        )
    finally:
        rest.try_set(0)


async def _read_part(
    opened, tries, request, sink, parts, progress, pacing, rest
):
    response = opened.response
    buffer = sse.EventBuffer()
    short_bytes = 0
    while True:
        began_at = parts.clock()
        timeout_s = _timeout(request, parts, progress)
        try:
            async with timeouts.time_limit(
                timeout_s,
                extend=functools.partial(tries.extension_s, timeout_s),
            ):
                data = await response.content.readany()
            if not data and not buffer.rest_size:
                protocol.check_whole(response)
        except TimeoutError:
            return _broken("engine is silent")
        except web.TRANSPORT_ERRORS as err:
            return _broken(web.describe(err), is_cut_off=True)
        if not data:
            break
        read_at = parts.clock()
        tries.record_data()
        count, broken = await _forward_events(
            buffer, data, opened, tries, request, sink, parts, progress
        )
        pacing.record_read(count, began_at, read_at)
        if broken is not None:
            return broken
        if not rest.try_set(buffer.rest_size):
            return _broken("no memory for an event")
        lacking = max(0, MIN_EVENT_BYTES * count - len(data))
        short_bytes += lacking
        if lacking and short_bytes > FREE_SHORT_BYTES:
            await asyncio.sleep(parts.pacer.spend(lacking, parts.clock()))
    if buffer.rest_size:
        return _broken("ended within an event", is_cut_off=True)
    if not progress.has_started:
        await sink.begin(response)
        progress.has_started = True
    return None


async def _forward_events(
    buffer, data, opened, tries, request, sink, parts, progress
):
    """Pass on the events that some bytes complete.

    Returns
    -------
    (int, _Break or None)
        How many events there were.
    """
    batch = _Batch(sink=sink)
    count = 0
    broken = None
    try:
        for event in buffer.feed(data):
            count += 1
            broken = await _forward_event(
                event, batch, opened, tries, request, sink, parts, progress
            )
            if broken is not None:
                break
    except sse.MalformedEventError as err:
        broken = _broken(str(err))
    await batch.send()
    return count, broken


async def _forward_event(
    event, batch, opened, tries, request, sink, parts, progress
):
    if event.event_id is not None and progress.last_event_id is not None:
        expected = int(progress.last_event_id) + 1
        # Skip events that have been passed on already.
        if event.event_id < expected and request.route.resumable:
            return None
        if event.event_id != expected:
            return _broken(
                f"event {event.event_id} after {progress.last_event_id}"
            )
    if not progress.has_started:
        origin = origins.Origin(
            request.service, opened.endpoint.software_version
        )
        if not await parts.resumption.record_first_event(request, origin):
            return _Break(_UNHELD, is_final=True)
        progress.has_started = True
        progress.first_s = parts.clock() - request.started_at
        tries.bind_to(origin)
        await sink.begin(opened.response)
    batch.add(event.raw)
    progress.record_event(event.event_id, parts.clock())
    return None


def _timeout(request, parts, progress):
    """Return the seconds after which an unresponsive engine is abandoned."""
    remaining_s = max(0.001, request.deadline - parts.clock())
    if not request.route.resumable:
        return remaining_s
    if progress.has_started:
        timeout_s = TIMEOUT_PAUSE_FACTOR * request.route.max_event_gap_s
    else:
        timeout_s = max(
            MIN_FIRST_EVENT_S, FIRST_EVENT_SHARE * request.route.target_s
        )
    return min(remaining_s, timeout_s)


def _broken(reason, *, is_cut_off=False):
    failure = kinds.Failure(kinds.Kind.BROKEN_STREAM, reason, sent=True)
    return _Break(failure, is_cut_off)
