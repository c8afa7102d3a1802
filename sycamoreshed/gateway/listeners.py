"""The listening sockets of a forwarding daemon, and its graceful stop."""

import asyncio
import functools
import resource

from aiohttp import web

from sycamoreshed.entry import servers
from sycamoreshed.kernel import kernel

__all__ = ["drain"]

# Must exceed the idle limit of every configuration: callers reuse connections
# up to that limit, and a request can be lost on one that is closed earlier.
KEEPALIVE_S = 120.0
# Of the request line, and of each header field.
MAX_HEADER_BYTES = 32768
# The load balancer checks readiness once a second and reacts to two failed
# checks, so new connections arrive for up to three seconds after SIGTERM.
ACCEPT_S = 3.2
# Part of the grace period that is reserved for writing the last responses.
WRITE_MARGIN_S = 0.6
POLL_S = 0.02


@kernel.plugin(
    "listeners",
    needs=("gateway_metrics", "handler", "inner", "sockets", "journal"),
)
async def listeners(core):
    """Provide the servers on the listening sockets."""
    sockets = core.part("sockets")
    runners = {
        "control": await servers.listen(
            core.control, sockets["control"], shutdown_timeout=0
        ),
        "public": await _start_server(core.part("handler"), sockets["public"]),
        "ready": await _start_server(_readiness(core), sockets["ready"]),
    }
    metrics = core.part("gateway_metrics")
    metrics.export_max_descriptors(_max_descriptors)
    for name, runner in runners.items():
        metrics.export_connections(
            name, functools.partial(_connection_count, runner.server)
        )
    yield runners
    for runner in runners.values():
        await runner.cleanup()


def _max_descriptors():
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return limit


def _connection_count(server):
    return len(server.connections)


async def _start_server(handler, bound_socket):
    server = web.Server(
        handler,
        handler_cancellation=True,
        access_log=None,
        keepalive_timeout=KEEPALIVE_S,
        auto_decompress=False,
        max_line_size=MAX_HEADER_BYTES,
        max_field_size=MAX_HEADER_BYTES,
    )
    runner = web.ServerRunner(server, shutdown_timeout=0)
    await runner.setup()
    # Sized for connections that arrive at once after many instances failed.
    await web.SockSite(runner, bound_socket, backlog=1024).start()
    return runner


def _readiness(core):
    catalog = core.part("catalog")

    async def check_readiness(_http):
        is_ready = catalog.is_ready and not core.tasks.failing(core.clock())
        if is_ready and not core.stopping.is_set():
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready\n")

    return check_readiness


async def drain(core):
    """Wait for the stop, then until no request is in flight.

    Notes
    -----
    Requests are accepted until the load balancer has noticed the stop;
    each response closes its connection.  The process exits within the
    grace period: SIGKILL would cut off what is still in flight anyway.
    """
    await core.stopping.wait()
    started_at = core.clock()
    handler = core.part("handler")
    journal = core.part("journal")
    journal.write("stop", in_flight=handler.in_flight)
    await asyncio.sleep(min(ACCEPT_S, core.settings.grace_s / 2))
    await handler.wait_until_read()
    handler.is_accepting = False
    deadline = started_at + core.settings.grace_s - WRITE_MARGIN_S
    control = core.part("inner")
    while handler.in_flight + control.in_flight and core.clock() < deadline:
        await asyncio.sleep(POLL_S)
    journal.write(
        "stopped",
        in_flight=handler.in_flight,
        took_s=round(core.clock() - started_at, 3),
    )
