"""How the handler of callers' requests ends."""

import asyncio
import types

from aiohttp import web
import multidict

from sycamoreshed.buffering import budget
from sycamoreshed.catalog import routes
from sycamoreshed.catalog import types as records
from sycamoreshed.gateway import handler
from sycamoreshed.gateway import metrics
from sycamoreshed.platform import platform
from sycamoreshed.stopping import deadline
from sycamoreshed.stopping import durations
from testkit import journals

ROUTE = records.Route("r", "h", "/", (("writer", 1.0),), streaming=True)
REQUEST = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"


class _BrokenForwarder:
    """Begins an answer, and then meets an unexpected error."""

    def __init__(self, events):
        self._events = events

    async def forward(self, _request, sink):
        """Pass on some events, then raise."""
        if self._events:
            await sink.begin(
                types.SimpleNamespace(
                    status=200, reason="OK", headers=multidict.CIMultiDict()
                )
            )
        for number in range(self._events):
            await sink.send(f"id: {number}\n\n".encode())
            await asyncio.sleep(0.02)
        raise KeyError("broken part")


def make_handler(forwarder):
    """Return a handler with one route and a forwarder."""
    catalog = types.SimpleNamespace(
        is_ready=True,
        configuration=types.SimpleNamespace(
            version=1, requires_key=False, teams={}, limits=records.Limits()
        ),
        routes=routes.RouteTable(routes=(ROUTE,)),
        age=lambda _table, _now: 0.0,
    )
    return handler.Handler(
        catalog=catalog,
        codec=platform.Platform(store=None),
        forwarder=forwarder,
        journal=journals.Journal(),
        metrics=metrics.GatewayMetrics(),
        stop_deadline=deadline.StopDeadline(
            known=durations.Durations(),
            journal=journals.Journal(),
            clock=asyncio.get_running_loop().time,
        ),
        clock=asyncio.get_running_loop().time,
        stopping=asyncio.Event(),
        buffers=budget.BufferBudget(),
        slow_reader_s=10.0,
    )


async def exchange(serve):
    """Return what a handler sends until the connection is closed."""
    runner = web.ServerRunner(web.Server(serve, handler_cancellation=True))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0]
    reader, writer = await asyncio.open_connection(host, port)
    raw = b""
    try:
        writer.write(REQUEST)
        async with asyncio.timeout(5.0):
            while data := await reader.read(65536):
                raw += data
                if b"internal" in data.lower():
                    break
    except ConnectionResetError:
        # Closed within the answer.
        pass
    finally:
        writer.close()
        await runner.cleanup()
    return raw


async def test_unexpected_error_within_a_stream_closes_the_connection():
    """A second response was written where the next part was due."""
    raw = await exchange(make_handler(_BrokenForwarder(events=3)))
    assert raw.count(b"HTTP/1.1 ") == 1
    assert b"id: 2" in raw
    assert not raw.endswith(b"0\r\n\r\n")


async def test_unexpected_error_before_an_answer_is_answered():
    """Its caller waits for an answer, and must not hear that it did not run.

    Whether it ran is not known.
    """
    raw = await exchange(make_handler(_BrokenForwarder(events=0)))
    assert raw.startswith(b"HTTP/1.1 502 ")
