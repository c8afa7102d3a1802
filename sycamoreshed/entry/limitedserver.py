"""An HTTP server with a limited number of connections."""

import asyncio

from aiohttp import web
from aiohttp import web_protocol
from loguru import logger

from sycamoreshed.adapters import truncation
from sycamoreshed.entry import connections

__all__ = ["LimitedAppRunner", "LimitedServer"]

SWEEP_INTERVAL_S = 0.5


class Connection(web_protocol.RequestHandler):
    """A connection that tells its server what it waits for.

    Notes
    -----
    The HTTP library has no public hooks for this; a test fails if the
    methods that are overridden here change.
    """

    __slots__ = ("_server",)

    def __init__(self, server, **options):
        super().__init__(server, **options)
        self._server = server

    def connection_made(self, transport):
        """Handle a new connection."""
        super().connection_made(transport)
        self._server.on_open(self)

    def data_received(self, data):
        """Handle bytes of the peer."""
        self._server.on_data(self)
        super().data_received(data)

    def connection_lost(self, error):
        """Handle the end of the connection."""
        self._server.on_lost(self)
        super().connection_lost(error)

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
        Returns the seconds for which a connection may be idle, and those
        within which the head of a request has to arrive.
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
        report_full,
        clock,
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
        self._report_full = report_full
        self._clock = clock
        self._options = options
        self._table = connections.ConnectionTable(max_open=max_connections)
        self._surplus_count = 0

    def __call__(self):
        """Return the protocol of a new connection."""
        return Connection(self, loop=self._loop, **self._options)

    @property
    def open_count(self):
        """Number of open connections."""
        return len(self._table)

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

    async def run_sweeping(self):
        """Close connections that wait too long for a request."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            idle_s, head_s = self._limits()
            expired = self._table.expired(
                self._clock(), idle_s=idle_s, head_s=head_s
            )
            for each in expired:
                each.force_close()
            if self._surplus_count:
                self._report_full(
                    open=self.open_count, closed=self._surplus_count
                )
                self._surplus_count = 0

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
