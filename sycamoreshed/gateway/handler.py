"""Handles the HTTP requests of callers."""

import asyncio

from aiohttp import web

from sycamoreshed.adapters import truncation
from sycamoreshed.buffering import budget
from sycamoreshed.buffering import slowreaders
from sycamoreshed.entry import backlog
from sycamoreshed.errors import kinds
from sycamoreshed.findings import fingerprints
from sycamoreshed.forwarding import forwarder
from sycamoreshed.forwarding import requests
from sycamoreshed.gateway import callerbodies
from sycamoreshed.gateway import deadline_history
from sycamoreshed.gateway import error_responses
from sycamoreshed.gateway import sinks
from sycamoreshed.kernel import kernel
from sycamoreshed.kernel import timeouts
from sycamoreshed.residency import residency
from sycamoreshed.stopping import measuring

__all__ = ["Handler"]

# Minimum `Retry-After` of requests that have not run, except while stopping.
MIN_RETRY_AFTER_S = 0.3
# While this instance stops, another one can serve the retry at once.
DRAINING_RETRY_AFTER_S = 0.0
# Bounds the length of a log line; parts at the end are the most specific ones.
MAX_LOGGED_PARTS = 16
# For requests without a deadline of their own.
DEFAULT_DEADLINE_S = 60.0


class _ResponseAborted(Exception):
    """Ends a handler that closed the connection during its response."""


class Handler:
    """Handles requests of callers.

    Parameters
    ----------
    catalog : Catalog
    codec : Platform
    forwarder : Forwarder
    journal : Journal
    metrics : GatewayMetrics
    stop_deadline : StopDeadline
    clock : callable
    stopping : asyncio.Event
    buffers : BufferBudget
    slow_readers : SlowReaders or None
    slow_reader_s : float
        See `Settings`.
    """

    def __init__(
        self,
        *,
        catalog,
        codec,
        forwarder,
        journal,
        metrics,
        stop_deadline,
        clock,
        stopping,
        buffers,
        slow_readers=None,
        slow_reader_s=0.0,
    ):
        self._catalog = catalog
        self._codec = codec
        self._forwarder = forwarder
        self._journal = journal
        self._metrics = metrics
        self._stop_deadline = stop_deadline
        self._clock = clock
        self._stopping = stopping
        self._buffers = buffers
        self._slow_readers = slow_readers
        self._slow_reader_s = slow_reader_s
        self._deadline_history = deadline_history.DeadlineHistory()
        self._received = 0
        self.in_flight = 0
        self.is_accepting = True

    async def __call__(self, http):
        """Handle one request."""
        started_at = self._clock()
        self._received += 1
        self.in_flight += 1
        route = None
        head = self._codec.parse_head(http.headers)
        sink = self._make_sink(http, head)
        hold = self._buffers.open()
        try:
            admitted = await self._admit(http, head, hold, started_at)
            if isinstance(admitted, kinds.Failure):
                return self._error_response(admitted, head, None, started_at)
            route = admitted.route
            return await self._serve(http, admitted, sink, started_at)
        except _ResponseAborted:
            raise asyncio.CancelledError from None
        except (asyncio.CancelledError, ConnectionError):
            took_s = self._clock() - started_at
            if sink.peer.is_given_up:
                self._metrics.record_ended(route, "slow_reader", took_s)
                raise
            self._journal.write(
                "caller_left",
                request=head.request_id,
                route=route.name if route else None,
                took_s=round(took_s, 4),
            )
            self._metrics.record_ended(route, "left", took_s)
            raise
        except Exception as err:
            # An internal error must not reach the caller as a bare 500, and
            # whether the request ran is unknown here.
            self._journal.write(
                "internal",
                where=head.request_id,
                why=f"{type(err).__name__}: {err}",
            )
            failure = kinds.Failure(
                kinds.Kind.INTERNAL, "internal error", sent=True
            )
            if sink.has_begun:
                outcome = forwarder.Outcome(failure=failure, has_started=True)
                self._abort_response(http, head, route, outcome, started_at)
                raise asyncio.CancelledError from None
            return self._error_response(failure, head, route, started_at)
        finally:
            self.in_flight -= 1
            hold.release()

    def _make_sink(self, http, head):
        return sinks.Sink(
            http=http,
            codec=self._codec,
            should_close=self._stopping.is_set,
            peer=slowreaders.Peer(
                http=http,
                request=head.request_id,
                clock=self._clock,
                slow_readers=self._slow_readers,
            ),
            patience_s=self._slow_reader_s,
        )

    async def wait_until_read(self):
        """Wait until the requests that have arrived are read."""
        await backlog.wait_until_read(lambda: self._received, self._clock)

    async def _admit(self, http, head, hold, started_at):
        """Return the `Request`, or the `Failure` that rejects it."""
        configuration = self._catalog.configuration
        if not self._catalog.is_ready:
            return kinds.Failure(
                kinds.Kind.NOT_READY, "no configuration is known yet"
            )
        target = http.raw_path
        route = self._catalog.routes.find(http.headers.get("Host", ""), target)
        if route is None:
            return kinds.Failure(kinds.Kind.UNKNOWN_PATH, "no such route")
        team = None
        if configuration.requires_key and not route.anonymous:
            team = configuration.teams.get(head.key)
            if team is None:
                return kinds.Failure(kinds.Kind.UNKNOWN_KEY, "no such key")
        deadline_s = head.deadline_s
        if deadline_s is None:
            deadline_s = DEFAULT_DEADLINE_S
        waited_s = self._deadline_history.observe(route.name, deadline_s)
        deadline = started_at + min(deadline_s, route.timeout_s)
        regions = residency.common_regions(
            route.allowed_regions, team.allowed_regions if team else ()
        )
        priority = requests.Priority(
            (team and team.priority) or 0, route.priority
        )
        request = requests.Request(
            id=head.request_id,
            route=route,
            service=forwarder.pick_service(route),
            team=team,
            priority=priority,
            head=head,
            method=http.method,
            target=target,
            headers=http.headers,
            body=b"",
            fingerprint="",
            started_at=started_at,
            waited_s=waited_s,
            deadline=deadline,
            hold=hold,
        )
        if not self.is_accepting:
            return kinds.Failure(kinds.Kind.DRAINING, "this instance stops")
        body = await self._stop_deadline.wait_for(
            callerbodies.read(
                http,
                configuration.limits.body_bytes,
                hold,
                timeout_s=deadline - self._clock(),
            ),
            request,
            measuring.Phase.REQUEST,
        )
        if isinstance(body, kinds.Failure):
            return body
        if not self.is_accepting:
            return kinds.Failure(kinds.Kind.DRAINING, "this instance stops")
        rejected = self._stop_deadline.check(
            request, measuring.Phase.REQUEST, self._clock()
        )
        if rejected is not None:
            return rejected
        fingerprint = fingerprints.fingerprint(
            method=http.method,
            host=http.headers.get("Host", ""),
            target=target,
            team=team.name if team else None,
            body=body,
            parts=[part for part, _ in head.prefix[:-1]],
        )
        self._journal.write(
            "admitted",
            request=head.request_id,
            fingerprint=fingerprint,
            parts=[part for part, _ in head.prefix[-MAX_LOGGED_PARTS:]],
            route=route.name,
            version=configuration.version,
            team=team.name if team else None,
            regions=None if regions is None else sorted(regions),
            priority=priority,
            left_s=round(deadline - started_at, 3),
        )
        return request._replace(body=body, fingerprint=fingerprint)

    async def _serve(self, http, request, sink, started_at):
        remaining_s = max(0.0, request.deadline - self._clock())
        try:
            async with (
                timeouts.time_limit(remaining_s),
                self._stop_deadline.time_limit() as stop,
            ):
                outcome = await self._forwarder.forward(request, sink)
        except TimeoutError:
            # A call that was sent has been cancelled, but may have run.
            failure = kinds.Failure(
                kinds.Kind.LATE, "deadline passed", sent=True
            )
            if stop.expired():
                failure = kinds.Failure(
                    kinds.Kind.DRAINING, "this instance ends", sent=True
                )
            outcome = forwarder.Outcome(
                failure=failure, has_started=sink.response is not None
            )
        return await self._finish(http, request, sink, outcome, started_at)

    async def _finish(self, http, request, sink, outcome, started_at):
        now = self._clock()
        if outcome.failure is not None:
            if sink.response is None:
                return self._error_response(
                    outcome.failure, request.head, request.route, started_at
                )
            self._abort_response(
                http, request.head, request.route, outcome, started_at
            )
            raise _ResponseAborted
        if outcome.answer is not None:
            response = await self._send_answer(outcome.answer, request, sink)
        else:
            response = sink.response
            await sink.end(patience_s=self._whole_patience_s)
        self._journal.write(
            "answered",
            request=request.id,
            status=response.status,
            endpoint=outcome.endpoint.id,
            first_s=outcome.first_s and round(outcome.first_s, 4),
            took_s=round(now - started_at, 4),
            events=outcome.events,
            max_gap_s=round(outcome.max_gap_s, 4),
        )
        self._metrics.record_answered(request.route, outcome, now - started_at)
        return response

    @property
    def _whole_patience_s(self):
        """Patience with callers for whom no engine has to wait."""
        return self._catalog.configuration.limits.idle_s

    async def _send_answer(self, answer, request, sink):
        """Send a whole answer; return a response that may be sent already."""
        is_long = len(answer.body) > budget.SMALL_BYTES
        if not request.hold.is_limited or not is_long:
            return self._buffered_response(answer)
        # What is held for it is released only when the caller has it.
        await sink.begin(answer, length=len(answer.body))
        await sink.send(answer.body, patience_s=self._whole_patience_s)
        await sink.end(patience_s=self._whole_patience_s)
        return sink.response

    def _buffered_response(self, answer):
        headers = self._codec.response_headers(answer.headers)
        response = web.Response(
            status=answer.status,
            reason=answer.reason,
            headers=headers,
            body=answer.body,
        )
        self._close_if_stopping(response)
        return response

    def _abort_response(self, http, head, route, outcome, started_at):
        """Close the connection in the middle of a response.

        Without the end marker of the body the caller detects that the
        response is truncated; ended normally, it would look complete.
        """
        took_s = self._clock() - started_at
        self._journal.write(
            "broken",
            request=head.request_id,
            route=route.name,
            endpoint=outcome.endpoint and outcome.endpoint.id,
            why=outcome.failure.reason,
            events=outcome.events,
            took_s=round(took_s, 4),
        )
        self._metrics.record_ended(route, "broken", took_s)
        truncation.truncate(http)

    def _error_response(self, failure, head, route, started_at):
        now = self._clock()
        retry_after = max(MIN_RETRY_AFTER_S, failure.retry_after or 0.0)
        if failure.kind is kinds.Kind.DRAINING:
            retry_after = DRAINING_RETRY_AFTER_S
        response = error_responses.error_response(
            failure, head.request_id, retry_after
        )
        self._close_if_stopping(response)
        configuration = self._catalog.configuration
        self._journal.write(
            "failed",
            request=head.request_id,
            route=route.name if route else None,
            status=response.status,
            kind=failure.kind,
            why=failure.reason,
            sent=failure.sent,
            took_s=round(now - started_at, 4),
            version=configuration.version if configuration else None,
            age_s=round(min(1e6, self._catalog.age("settings", now)), 2),
        )
        self._metrics.record_ended(route, failure.kind, now - started_at)
        return response

    def _close_if_stopping(self, response):
        """Close the connection after the response if the daemon is stopping.

        The caller's next request on a persistent connection could arrive
        while the process exits.
        """
        if self._stopping.is_set():
            response.force_close()


@kernel.plugin(
    "handler",
    needs=(
        "catalog",
        "buffers",
        "platform",
        "forwarder",
        "journal",
        "gateway_metrics",
        "slow_readers",
        "stop_deadline",
    ),
)
async def handler(core):
    """Provide the handler of callers' requests."""
    yield Handler(
        catalog=core.part("catalog"),
        codec=core.part("platform"),
        forwarder=core.part("forwarder"),
        journal=core.part("journal"),
        metrics=core.part("gateway_metrics"),
        stop_deadline=core.part("stop_deadline"),
        clock=core.clock,
        stopping=core.stopping,
        buffers=core.part("buffers"),
        slow_readers=core.part("slow_readers"),
        slow_reader_s=core.settings.slow_reader_s,
    )
