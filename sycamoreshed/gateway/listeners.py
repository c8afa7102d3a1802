"""The listening sockets of a forwarding daemon, and its stop."""

import asyncio

from aiohttp import web

from sycamoreshed.entry import servers
from sycamoreshed.kernel import kernel

__all__ = ["drain"]

# Longer than any idle limit of a configuration: callers reuse connections
# up to that limit, and one that is closed earlier can cross a request.
IDLE_S = 120.0
MAX_HEADER_BYTES = 32768
# After SIGTERM the balancer asks once a second and goes by two misses, so
# new connections still come for up to three seconds.
ACCEPT_S = 3.2
# What is left of the grace for writing the last answers.
MARGIN_S = 0.6
POLL_S = 0.02


@kernel.plugin("listeners", needs=("handler", "inner", "sockets", "journal"))
async def listeners(core):
    """Provide the listening sockets."""
    bound = core.part("sockets")
    runners = [
        await servers.listen(
            core.control, bound["control"], shutdown_timeout=0
        ),
        await _serve(core.part("handler"), bound["public"]),
        await _serve(_readiness(core), bound["ready"]),
    ]
    yield runners
    for runner in runners:
        await runner.cleanup()


async def _serve(handler, bound):
    server = web.Server(
        handler,
        handler_cancellation=True,
        access_log=None,
        keepalive_timeout=IDLE_S,
        auto_decompress=False,
        max_line_size=MAX_HEADER_BYTES,
        max_field_size=MAX_HEADER_BYTES,
    )
    runner = web.ServerRunner(server, shutdown_timeout=0)
    await runner.setup()
    # Many connections come at once after many instances were lost.
    await web.SockSite(runner, bound, backlog=1024).start()
    return runner


def _readiness(core):
    catalog = core.part("catalog")

    async def ready(_http):
        if catalog.is_ready and not core.stopping.is_set():
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready\n")

    return ready


async def drain(core):
    """Wait for the stop, then until no request is in flight.

    Notes
    -----
    Requests are accepted until the balancer has noticed; each answer
    closes its connection.  The process ends within the grace, whatever
    is still in flight then would be cut off by SIGKILL anyway.
    """
    await core.stopping.wait()
    began = core.clock()
    handler = core.part("handler")
    journal = core.part("journal")
    journal.write("stop", in_flight=handler.in_flight)
    await asyncio.sleep(min(ACCEPT_S, core.settings.grace_s / 2))
    await handler.drained()
    handler.accepting = False
    end = began + core.settings.grace_s - MARGIN_S
    inner = core.part("inner")
    while handler.in_flight + inner.in_flight and core.clock() < end:
        await asyncio.sleep(POLL_S)
    journal.write(
        "stopped",
        in_flight=handler.in_flight,
        took_s=round(core.clock() - began, 3),
    )
