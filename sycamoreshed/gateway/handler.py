"""From a caller's HTTP request to its HTTP answer."""

import asyncio

from aiohttp import web

from sycamoreshed.entry import backlog
from sycamoreshed.errors import kinds
from sycamoreshed.forwarding import forwarder
from sycamoreshed.forwarding import requests
from sycamoreshed.gateway import answers
from sycamoreshed.gateway import patience
from sycamoreshed.kernel import kernel
from sycamoreshed.kernel import timeouts

__all__ = ["Handler"]

# Told to callers that are refused for a passing reason.
RETRY_SOON_S = 0.3
# While this instance stops: another one serves them at once.
RETRY_NOW_S = 0.0
# For a request that names no deadline of its own.
DEFAULT_DEADLINE_S = 60.0


class _Cut(Exception):
    """Ends a handler whose connection was closed within an answer."""


class Sink:
    """Takes the events of a stream for a caller.

    Parameters
    ----------
    http : aiohttp.web.BaseRequest
    codec : Platform
    closing : callable
        Returns whether the connection is to be closed after the answer.
    """

    def __init__(self, *, http, codec, closing):
        self._http = http
        self._codec = codec
        self._closing = closing
        self.response = None
        self.on_begin = None

    async def begin(self, response):
        """Send the head of the answer, that of the first engine."""
        headers = self._codec.answer_headers(response.headers)
        self.response = web.StreamResponse(
            status=response.status, reason=response.reason, headers=headers
        )
        if self._closing():
            self.response.force_close()
        await self.response.prepare(self._http)
        if self.on_begin is not None:
            self.on_begin()

    async def send(self, data):
        """Send whole events."""
        await self.response.write(data)


class Handler:
    """Answers callers.

    Parameters
    ----------
    catalog : Catalog
    codec : Platform
    forwarder : Forwarder
    journal : Journal
    metrics : GatewayMetrics
    clock : callable
    stopping : asyncio.Event
    """

    def __init__(
        self, *, catalog, codec, forwarder, journal, metrics, clock, stopping
    ):
        self._catalog = catalog
        self._codec = codec
        self._forwarder = forwarder
        self._journal = journal
        self._metrics = metrics
        self._clock = clock
        self._stopping = stopping
        self._waited = patience.Patience()
        self._taken = 0
        self.in_flight = 0
        self.accepting = True

    async def __call__(self, http):
        """Answer one request."""
        began = self._clock()
        self._taken += 1
        self.in_flight += 1
        route = None
        head = self._codec.read_head(http.headers)
        try:
            found = await self._admit(http, head, began)
            if isinstance(found, kinds.Failure):
                return self._refused(found, head, None, began)
            route = found.route
            return await self._serve(http, found, began)
        except _Cut:
            raise asyncio.CancelledError from None
        except (asyncio.CancelledError, ConnectionError):
            self._journal.write(
                "caller_left",
                request=head.request_id,
                route=route.name if route else None,
                took_s=round(self._clock() - began, 4),
            )
            self._metrics.ended(route, "left", self._clock() - began)
            raise
        except Exception as err:
            # A fault of ours must not reach the caller as a bare 500, and
            # whether the request ran is not known here.
            self._journal.write(
                "internal",
                where=head.request_id,
                why=f"{type(err).__name__}: {err}",
            )
            failure = kinds.Failure(
                kinds.Kind.INTERNAL, "internal error", sent=True
            )
            return self._refused(failure, head, route, began)
        finally:
            self.in_flight -= 1

    async def drained(self):
        """Return once the requests that have arrived are read."""
        await backlog.wait_until_read(lambda: self._taken, self._clock)

    async def _admit(self, http, head, began):
        """Return the `Request`, or the `Failure` that refuses it."""
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
        deadline = head.deadline_s
        if deadline is None:
            deadline = DEFAULT_DEADLINE_S
        waited = self._waited.observe(route.name, deadline)
        until = began + min(deadline, route.timeout_s)
        body = await self._read(http, configuration.limits, until)
        if isinstance(body, kinds.Failure):
            return body
        if not self.accepting:
            return kinds.Failure(kinds.Kind.DRAINING, "this instance stops")
        priority = requests.Priority(
            (team and team.priority) or 0, route.priority
        )
        self._journal.write(
            "admitted",
            request=head.request_id,
            route=route.name,
            version=configuration.version,
            team=team.name if team else None,
            priority=priority,
            left_s=round(until - began, 3),
        )
        return requests.Request(
            id=head.request_id,
            route=route,
            service=forwarder.pick_service(route),
            team=team,
            priority=priority,
            head=head,
            method=http.method,
            target=target,
            headers=http.headers,
            body=body,
            started_at=began,
            waited_s=waited,
            deadline=until,
        )

    async def _read(self, http, limits, until):
        if http.headers.get("Expect", "").lower() == "100-continue":
            http.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        length = http.content_length
        if length is not None and length > limits.body_bytes:
            return kinds.Failure(kinds.Kind.TOO_LARGE, "body too large")
        chunks = []
        size = 0
        try:
            async with asyncio.timeout(max(0.0, until - self._clock())):
                async for chunk in http.content.iter_any():
                    size += len(chunk)
                    if size > limits.body_bytes:
                        return kinds.Failure(
                            kinds.Kind.TOO_LARGE, "body too large"
                        )
                    chunks.append(chunk)
        except TimeoutError:
            return kinds.Failure(kinds.Kind.LATE, "the body did not come")
        except web.RequestPayloadError:
            return kinds.Failure(kinds.Kind.BAD_REQUEST, "body is not whole")
        return b"".join(chunks)

    async def _serve(self, http, request, began):
        sink = Sink(
            http=http, codec=self._codec, closing=self._stopping.is_set
        )
        left = max(0.0, request.deadline - self._clock())
        try:
            async with timeouts.time_limit(left):
                outcome = await self._forwarder.forward(request, sink)
        except TimeoutError:
            # Whatever was sent has been cancelled, and may have run.
            outcome = forwarder.Outcome(
                failure=kinds.Failure(
                    kinds.Kind.LATE, "deadline passed", sent=True
                ),
                has_started=sink.response is not None,
            )
        return await self._finish(http, request, sink, outcome, began)

    async def _finish(self, http, request, sink, outcome, began):
        now = self._clock()
        if outcome.failure is not None:
            if sink.response is None:
                return self._refused(
                    outcome.failure, request.head, request.route, began
                )
            return self._cut(http, request, outcome, now)
        if outcome.answer is not None:
            response = self._whole(outcome.answer)
        else:
            response = sink.response
            await response.write_eof()
        self._journal.write(
            "answered",
            request=request.id,
            status=response.status,
            endpoint=outcome.endpoint.id,
            first_s=outcome.first_s and round(outcome.first_s, 4),
            took_s=round(now - began, 4),
            events=outcome.events,
        )
        self._metrics.answered(request.route, outcome, now - began)
        return response

    def _whole(self, answer):
        headers = self._codec.answer_headers(answer.headers)
        response = web.Response(
            status=answer.status,
            reason=answer.reason,
            headers=headers,
            body=answer.body,
        )
        self._part(response)
        return response

    def _cut(self, http, request, outcome, now):
        """Close the connection within an answer that has begun.

        Without the mark that ends it the caller sees that it is not
        whole; ended politely, half an answer would look complete.
        """
        self._journal.write(
            "broken",
            request=request.id,
            route=request.route.name,
            endpoint=outcome.endpoint and outcome.endpoint.id,
            why=outcome.failure.reason,
            events=outcome.events,
            took_s=round(now - request.started_at, 4),
        )
        self._metrics.ended(request.route, "broken", now - request.started_at)
        if http.transport is not None:
            http.transport.abort()
        raise _Cut

    def _refused(self, failure, head, route, began):
        now = self._clock()
        retry_after = max(RETRY_SOON_S, failure.retry_after or 0.0)
        if failure.kind is kinds.Kind.DRAINING:
            retry_after = RETRY_NOW_S
        response = answers.told(failure, head.request_id, retry_after)
        self._part(response)
        configuration = self._catalog.configuration
        self._journal.write(
            "failed",
            request=head.request_id,
            route=route.name if route else None,
            status=response.status,
            kind=failure.kind,
            why=failure.reason,
            sent=failure.sent,
            took_s=round(now - began, 4),
            version=configuration.version if configuration else None,
            age_s=round(min(1e6, self._catalog.age("settings", now)), 2),
        )
        self._metrics.ended(route, failure.kind, now - began)
        return response

    def _part(self, response):
        """Close the connection after the answer once the stop has begun.

        A caller's next request on a kept connection could cross with the
        end of the process.
        """
        if self._stopping.is_set():
            response.force_close()


@kernel.plugin(
    "handler",
    needs=("catalog", "platform", "forwarder", "journal", "gateway_metrics"),
)
async def handler(core):
    """Provide the handler of callers' requests."""
    yield Handler(
        catalog=core.part("catalog"),
        codec=core.part("platform"),
        forwarder=core.part("forwarder"),
        journal=core.part("journal"),
        metrics=core.part("gateway_metrics"),
        clock=core.clock,
        stopping=core.stopping,
    )
