"""Listening servers of the daemon, and its graceful shutdown."""

import asyncio
import functools
import math
import socket

from aiohttp import web
from loguru import logger

from sycamoreshed.buffering import budget
from sycamoreshed.buffering import sockets as buffering
from sycamoreshed.entry import connections
from sycamoreshed.entry import limitedserver
from sycamoreshed.entry import problems
from sycamoreshed.intake import allowance as allowances
from sycamoreshed.intake import pacing
from sycamoreshed.kernel import kernel

__all__ = ["drain"]

POLL_INTERVAL_S = 0.05
# Time to write the answers of requests that end at their deadline.
DEADLINE_MARGIN_S = 1.0
# From when answers have to be whole to when the process is killed.
STOP_MARGIN_S = 1.0
# For answers that are not written yet when the drain ends, for callers to read
# them, and for requests of operators and of other instances.
LAST_WRITES_S = 3.0
# For handlers that still run when the listeners close, and again for them to
# end once they are cancelled.  The HTTP library would wait without a limit if
# it were zero.
CLOSE_S = 0.1
# Of the request line, and of all header fields together.
MAX_HEADER_BYTES = 16384
# For connections without a request, and for the head of a request.
IDLE_S = 120.0
HEAD_S = 10.0
LIMITS = connections.Limits(IDLE_S, HEAD_S, MAX_HEADER_BYTES)


async def listen(core, name, max_connections, *, bodies, pacer):
    """Serve an application on its bound socket and return its runner.

    Parameters
    ----------
    core : Kernel
    name : str
        Of the listener, and of its application in `core`.
    max_connections : int
    bodies : BufferBudget
    pacer : Pacer
    """
    runner = limitedserver.LimitedAppRunner(
        getattr(core, name),
        make_server=functools.partial(
            limitedserver.LimitedServer,
            max_connections=max_connections,
            limits=lambda: LIMITS,
            allowance=core.part("allowance"),
            pacer=pacer,
            make_bodies=functools.partial(budget.BodyHold, budget=bodies),
            make_refusal=problems.response,
            report_refused=functools.partial(_report_refused, name),
            report_full=functools.partial(_report_full, name),
            clock=core.clock,
            handler_cancellation=True,
            access_log=None,
        ),
        shutdown_timeout=CLOSE_S,
    )
    await runner.setup()
    listening = core.part("sockets")[name]
    if core.settings.memory_mb is not None:
        # Connections inherit it.
        buffering.set_sizes(
            listening, buffering.BUFFER_BYTES, [socket.SO_RCVBUF]
        )
    await web.SockSite(runner, listening).start()
    core.keep_running(
        runner.server.run_sweeping, name=f"close idle {name} connections"
    )
    return runner


def _report_full(name, **counts):
    logger.bind(listener=name, **counts).warning("too many connections")


def _report_refused(name, counts):
    logger.bind(listener=name, counts=counts).warning("requests refused")


@kernel.plugin(
    "servers",
    needs=(
        "allowance",
        "callers",
        "note_routes",
        "operators",
        "sockets",
        "stop_limit",
    ),
)
async def servers(core):
    """Provide the listening servers, after all routes are added."""
    settings = core.settings
    core.public.on_response_prepare.append(
        functools.partial(_close_when_stopping, core)
    )
    shares = connections.descriptor_shares(connections.max_descriptors())
    memory = allowances.memory_bytes(settings.memory_mb)
    fitting = allowances.max_connections(memory)
    shared = {
        "bodies": budget.BufferBudget(
            max_bytes=int(memory * budget.BUFFER_SHARE)
        ),
        "pacer": pacing.Pacer(),
    }
    control = await listen(
        core, "control", min(fitting, shares.instances), **shared
    )
    public = await listen(
        core, "public", min(fitting, shares.callers), **shared
    )
    logger.bind(public=settings.public, control=settings.control).info(
        "serving"
    )
    yield (public, control)
    await asyncio.gather(public.cleanup(), control.cleanup())


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
    process reads them only later.  Requests after that, and those whose body
    is still arriving as the drain ends, are answered with kind ``draining``,
    on new and on open connections.  If the process is killed some time after
    the start, nothing begins that may not end by then.

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
    killed_at = math.inf
    if settings.stop_s is not None:
        killed_at = core.clock() + settings.stop_s
    answers_end = killed_at - STOP_MARGIN_S
    core.part("stop_limit").set(answers_end)
    await asyncio.sleep(settings.grace_s)
    await callers.wait_until_read()
    callers.accepting = False
    drain_end = core.clock() + settings.drain_s
    while callers.in_flight:
        # Each parsed request ends by its deadline, so waiting for the latest
        # deadline aborts none of them, even if ``drain_s`` is shorter.
        latest_end = callers.latest_deadline + DEADLINE_MARGIN_S
        if core.clock() > min(max(drain_end, latest_end), answers_end):
            break
        await asyncio.sleep(POLL_INTERVAL_S)
    callers.end_reading()
    # Requests of operators have no deadline.
    last_write_at = min(
        max(core.clock(), drain_end) + LAST_WRITES_S,
        killed_at - STOP_MARGIN_S / 2,
    )
    while any(runner.server.is_busy for runner in core.part("servers")):
        if core.clock() > last_write_at:
            break
        await asyncio.sleep(POLL_INTERVAL_S)
    logger.bind(left=callers.in_flight).info("stopped")
