"""Listening servers of the daemon, and its graceful shutdown."""

import asyncio
import functools

from aiohttp import web
from loguru import logger

from sycamoreshed.entry import connections
from sycamoreshed.entry import limitedserver
from sycamoreshed.kernel import kernel

__all__ = ["drain"]

POLL_INTERVAL_S = 0.05
# Time to write the answers of requests that end at their deadline.
DEADLINE_MARGIN_S = 1.0
MAX_HEADER_BYTES = 16384
# For connections without a request, and for the head of a request.
IDLE_S = 120.0
HEAD_S = 10.0


async def listen(core, name, max_connections):
    """Serve an application on its bound socket and return its runner.

    Parameters
    ----------
    core : Kernel
    name : str
        Of the listener, and of its application in `core`.
    max_connections : int
    """
    runner = limitedserver.LimitedAppRunner(
        getattr(core, name),
        make_server=functools.partial(
            limitedserver.LimitedServer,
            max_connections=max_connections,
            limits=lambda: (IDLE_S, HEAD_S),
            report_full=functools.partial(_report_full, name),
            clock=core.clock,
            handler_cancellation=True,
            access_log=None,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
        ),
    )
    await runner.setup()
    await web.SockSite(runner, core.part("sockets")[name]).start()
    core.keep_running(
        runner.server.run_sweeping, name=f"close idle {name} connections"
    )
    return runner


def _report_full(name, **counts):
    logger.bind(listener=name, **counts).warning("too many connections")


@kernel.plugin(
    "servers", needs=("callers", "note_routes", "operators", "sockets")
)
async def servers(core):
    """Provide the listening servers, after all routes are added."""
    settings = core.settings
    core.public.on_response_prepare.append(
        functools.partial(_close_when_stopping, core)
    )
    shares = connections.descriptor_shares(connections.max_descriptors())
    control = await listen(core, "control", shares.instances)
    public = await listen(core, "public", shares.callers)
    logger.bind(public=settings.public, control=settings.control).info(
        "serving"
    )
    yield (public, control)
    await public.cleanup()
    await control.cleanup()


async def _close_when_stopping(core, _http, answer):
    """Close the connection after an answer once the shutdown has started.

    A caller's next request on an open connection could arrive as the
    process ends and be lost; on a new connection it reaches an instance
    that keeps running.
    """
    if core.stopping.is_set():
        answer.force_close()
        answer.headers["Connection"] = "close"


async def drain(core):
    """Wait for the start of a shutdown, then for the requests in flight.

    The second wait has a time limit.

    Requests that arrive during the grace period are served, even if the
    process reads them only later.  Requests after that are answered with
    kind ``draining``, on new and on open connections.

    Notes
    -----
    ``/readyz`` fails first, and new requests are still served during the
    grace period: otherwise a load balancer that has not noticed yet would
    pass rejections on to its callers.
    """
    await core.stopping.wait()
    settings = core.settings
    logger.info("stopping: not ready any more")
    callers = core.part("callers")
    await asyncio.sleep(settings.grace_s)
    await callers.wait_until_read()
    callers.accepting = False
    drain_end = core.clock() + settings.drain_s
    while callers.in_flight:
        # Each parsed request ends by its deadline, so waiting for the latest
        # deadline aborts none of them, even if ``drain_s`` is shorter.
        if core.clock() > max(
            drain_end, callers.latest_deadline + DEADLINE_MARGIN_S
        ):
            break
        await asyncio.sleep(POLL_INTERVAL_S)
    logger.bind(left=callers.in_flight).info("stopped")
