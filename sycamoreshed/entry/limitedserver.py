"""An HTTP server that bounds what its connections make it keep."""

import asyncio
import collections
import select

from aiohttp import web
from aiohttp import web_protocol
from loguru import logger

from sycamoreshed.adapters import truncation
from sycamoreshed.entry import connections
from sycamoreshed.intake import parsing
from sycamoreshed.intake import refusals

__all__ = ["LimitedAppRunner", "LimitedServer"]

SWEEP_INTERVAL_S = 0.5
# For a peer to read its refusal: what it still sends is dropped meanwhile,
# since a connection that is closed with unread input is reset.
LINGER_S = 2.0
# For a body that the library reads, from when it is seen to be incomplete.
BODY_S = 10.0


class Connection(web_protocol.RequestHandler):
    """A connection that tells its server what it waits for.

    Notes
    -----
    The HTTP library has no public hooks for this; a test fails if the
    methods that are overridden here change.
    """

    __slots__ = ("_intake", "_is_full", "_left", "_server")

    def __init__(self, server, *, make_intake, **options):
        super().__init__(server, **options)
        self._server = server
        self._is_full = False
        self._left = None
        self._intake = self._parser = make_intake(self, self._parser)

    def connection_made(self, transport):
        """Handle a new connection."""
        super().connection_made(transport)
        self._server.on_open(self)

    def data_received(self, data):
        """Handle bytes of the peer."""
        super().data_received(data)
        if self._intake.is_receiving:
            self._server.on_data(self)
        self._set_full(self._intake.is_full)

    def connection_lost(self, error):
        """Handle the end of the connection."""
        self._server.on_lost(self)
        super().connection_lost(error)
        self._intake.close()
        if self._left is not None and not self._left.done():
            self._left.set_result(None)

    @property
    def is_busy(self):
        """Whether a request is in progress, or bytes are to be written."""
        if self.transport is None:
            return False
        if self._waiter is None or self._waiter.done():
            return True
        return self.transport.get_write_buffer_size() > 0

    @property
    def awaits_body(self):
        """Whether a body has begun and is not whole."""
        return self._intake.awaits_body

    def refuse_body(self, failure):
        """Let the handler's read of an incomplete body fail."""
        self._intake.refuse_body(failure)
        self._set_full(False)

    def force_close(self):
        """Close the connection at once."""
        self._intake.abandon_body()
        super().force_close()

    async def shutdown(self, timeout=None):
        """Close the connection, once its request has been answered.

        A connection that was accepted after the server had closed the ones
        without a request would wait for one that is not read any more.
        """
        if not self._messages and not self._request_in_progress:
            self.force_close()
        await super().shutdown(timeout)

    def continue_reading(self):
        """Parse what has arrived and was held back."""
        self._intake.resume()
        if self.transport is not None and self._parser is not None:
            self.data_received(b"")

    def give_up_input(self):
        """Drop the input that waits; close the connection after its request.

        Without a request in progress it is closed at once.
        """
        was_receiving = self._intake.is_receiving
        self._intake.refuse_body(refusals.NO_MEMORY)
        self._intake.drop()
        self._close = True
        self._set_full(False)
        if was_receiving:
            self.force_close()

    def has_hung_up(self):
        """Return whether the peer has left while its input is not read."""
        if not self._is_full or self.transport is None:
            return False
        poll = select.poll()
        sock = self.transport.get_extra_info("socket")
        poll.register(sock.fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))

    def _set_full(self, is_full):
        if is_full == self._is_full:
            return
        self._is_full = is_full
        if is_full:
            self._pause_transport_reading()
        elif not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    def _resume_transport_reading(self):
        if not self._is_full:
            super()._resume_transport_reading()

    def handle_error(self, request, status=500, exc=None, message=None):
        """Return the response for an error, which is logged if it is ours."""
        failure = refusals.failure_of(exc)
        if failure is None:
            return super().handle_error(request, status, exc, message)
        response = self._server.refuse(failure)
        response.force_close()
        return response

    async def finish_response(self, request, response, start_time):
        """Write the response to a request.

        Within a response that has begun, a second one would be taken for a
        part of it; the connection is closed instead, so that the peer notices
        that the first one is truncated.
        """
        is_other = not getattr(response, "prepared", False)
        if is_other and request.writer.output_size > 0:
            # Handlers may return anything for a peer that has left.
            if self.transport is not None and not self.transport.is_closing():
                logger.bind(path=request.path).error(
                    "an error response came within a response"
                )
                truncation.truncate(request)
            return response, True
        try:
            return await super().finish_response(request, response, start_time)
        finally:
            self._server.on_response(self)
            # A refusal that is queued still has to be sent.
            if self._intake.is_done and not self._messages:
                self._close = True
                await self._linger()
            elif self._intake.record_response():
                self.continue_reading()

    async def _linger(self):
        """Wait until the peer has left, or has had time to."""
        if self.transport is None or self.transport.is_closing():
            return
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self._left = self._loop.create_future()
        await asyncio.wait([self._left], timeout=LINGER_S)


class LimitedServer(web.Server):
    """A server that closes connections which have no request.

    Once it has as many connections as it may, each new one replaces one that
    waits for a request, and is closed at once if none does.

    Parameters
    ----------
    handler : callable
        As for `aiohttp.web.Server`, and so are further options.
    max_connections : int
    limits : callable
        Returns the `connections.Limits` in force.
    allowance : Allowance
    pacer : Pacer
    make_refusal : callable
        Returns the response for a `Failure`.
    report_refused : callable
        Called with how many requests were refused before a handler had them,
        by kind, since the last call.
    make_bodies : callable, optional
        Returns the `BodyHold` of a connection, if handlers do not count the
        memory of bodies.
    report_full : callable
        Called with how many connections are ``open``, and how many were
        ``closed`` since the last call because there were too many.
    clock : callable
    """

    def __init__(
        self,
        handler,
        *,
        max_connections,
        limits,
        allowance,
        pacer,
        make_refusal,
        report_refused,
        report_full,
        clock,
        make_bodies=None,
        request_factory=None,
        handler_cancellation=False,
        **options,
    ):
        super().__init__(
            self._handle,
            request_factory=request_factory,
            handler_cancellation=handler_cancellation,
        )
        self._inner_handler = handler
        self._limits = limits
        self._allowance = allowance
        self._pacer = pacer
        self._make_refusal = make_refusal
        self._report_refused = report_refused
        self._report_full = report_full
        self._make_bodies = make_bodies
        self._clock = clock
        self._options = {
            "lingering_time": LINGER_S,
            "max_line_size": parsing.LIBRARY_MAX,
            "max_field_size": parsing.LIBRARY_MAX,
            "max_headers": parsing.LIBRARY_MAX,
            **options,
        }
        self._table = connections.ConnectionTable(max_open=max_connections)
        self._surplus_count = 0
        # Since when bodies are incomplete.
        self._bodies_since = {}
        self._refused = collections.Counter()

    def __call__(self):
        """Return the protocol of a new connection."""
        return Connection(
            self,
            loop=self._loop,
            make_intake=self._make_intake,
            **self._options,
        )

    @property
    def open_count(self):
        """Number of open connections."""
        return len(self._table)

    @property
    def is_busy(self):
        """Whether a connection has a request in progress, or is closing.

        Also one whose response is not all passed to the system yet, which
        the end of the process would truncate.
        """
        return any(each.is_busy for each in self.connections)

    def on_open(self, connection):
        """Count a new connection; close what is beyond the limit."""
        for each in self._table.add(connection, self._clock()):
            self._surplus_count += 1
            each.force_close()

    def on_data(self, connection):
        """Record bytes of a peer."""
        self._table.record_data(connection, self._clock())

    def on_response(self, connection):
        """Record the end of a response."""
        self._table.record_response(connection, self._clock())

    def on_lost(self, connection):
        """Record the end of a connection."""
        self._table.remove(connection)

    def refuse(self, failure):
        """Return the response to a request that no handler has."""
        self._refused[str(failure.kind)] += 1
        return self._make_refusal(failure)

    async def run_sweeping(self):
        """Close connections that wait too long for a request.

        Also those whose peer has left while nothing was read from it.
        """
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            limits = self._limits()
            expired = self._table.expired(
                self._clock(), idle_s=limits.idle_s, head_s=limits.head_s
            )
            for each in expired:
                each.force_close()
            for each in self.connections:
                if each.has_hung_up():
                    each.transport.abort()
            if self._make_bodies is not None:
                self._refuse_late_bodies(self._clock())
            if self._refused:
                self._report_refused(dict(self._refused))
                self._refused.clear()
            if self._surplus_count:
                self._report_full(
                    open=self.open_count, closed=self._surplus_count
                )
                self._surplus_count = 0

    def _refuse_late_bodies(self, now):
        self._bodies_since = {
            each: self._bodies_since.get(each, now)
            for each in self.connections
            if each.awaits_body
        }
        for each, since in self._bodies_since.items():
            if now - since >= BODY_S:
                self._refused[str(refusals.LATE_BODY.kind)] += 1
                each.refuse_body(refusals.LATE_BODY)

    def _make_intake(self, connection, parser):
        def update(waiting, in_progress):
            for each in self._allowance.update(
                connection, waiting=waiting, in_progress=in_progress
            ):
                self._refused["no-memory"] += 1
                each.give_up_input()

        def pause(units):
            delay_s = self._pacer.spend(units, self._clock())
            if delay_s > 0:
                self._loop.call_later(delay_s, connection.continue_reading)
            return delay_s > 0

        return parsing.BoundedParser(
            parser=parser,
            max_head_bytes=lambda: self._limits().header_bytes,
            update=update,
            has_room=self._allowance.has_room,
            pause=pause,
            bodies=self._make_bodies() if self._make_bodies else None,
        )

    async def _handle(self, http):
        self._table.record_request(http.protocol)
        return await self._inner_handler(http)


class LimitedAppRunner(web.AppRunner):
    """Runs an application on a `LimitedServer`.

    Parameters
    ----------
    app : aiohttp.web.Application
    make_server : callable
        Takes a handler and keyword arguments of `LimitedServer`.
    **options
        As for `aiohttp.web.AppRunner`.
    """

    def __init__(self, app, *, make_server, **options):
        super().__init__(app, **options)
        self._make_limited = make_server

    async def _make_server(self):
        server = await super()._make_server()
        return self._make_limited(
            server.request_handler, request_factory=server.request_factory
        )
