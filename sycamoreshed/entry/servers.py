"""The daemon's listening sockets, and its graceful shutdown."""

import asyncio
import functools

from aiohttp import web
from loguru import logger

from sycamoreshed.kernel import kernel

__all__ = ["drain"]

POLL_S = 0.05
# For writing the answers of requests that end with their deadline.
MARGIN_S = 1.0
MAX_HEADER_BYTES = 16384


async def listen(app, bound, **more):
    """Serve an application on a bound socket; return its runner."""
    runner = web.AppRunner(
        app,
        **more,
        access_log=None,
        handler_cancellation=True,
        max_line_size=MAX_HEADER_BYTES,
        max_field_size=MAX_HEADER_BYTES,
    )
    await runner.setup()
    await web.SockSite(runner, bound).start()
    return runner


@kernel.plugin(
    "servers", needs=("callers", "note_routes", "operators", "sockets")
)
async def servers(core):
    """Provide the listening sockets, after all routes are known."""
    settings = core.settings
    core.public.on_response_prepare.append(functools.partial(_part, core))
    bound = core.part("sockets")
    control = await listen(core.control, bound["control"])
    public = await listen(core.public, bound["public"])
    logger.bind(public=settings.public, control=settings.control).info(
        "serving"
    )
    yield (public, control)
    await public.cleanup()
    await control.cleanup()


async def _part(core, _http, answer):
    """Close the connection after an answer once the stop has begun.

    A caller's next request on a connection kept open could cross with
    the end of the process and be cut off; on a new one it comes to an
    instance that stays.
    """
    if core.stopping.is_set():
        answer.force_close()
        answer.headers["Connection"] = "close"


async def drain(core):
    """Wait for the stop, then until no request is in flight.

    What arrives during the grace is served, also if the process could not
    read it until later.  A request that comes after that on any connection,
    also on one kept open, is answered with kind ``draining``.

    Notes
    -----
    ``/readyz`` fails first and new requests are still served during the
    grace: a balancer that has not noticed yet would otherwise hand its
    callers refusals.
    """
    await core.stopping.wait()
    settings = core.settings
    logger.info("stopping: not ready any more")
    callers = core.part("callers")
    await asyncio.sleep(settings.grace_s)
    await callers.wait_until_read()
    callers.accepting = False
    end = core.clock() + settings.drain_s
    while callers.in_flight:
        # Each request ends by its deadline, so waiting until the latest
        # one cuts none off even if the settings say less.
        if core.clock() > max(end, callers.latest_deadline + MARGIN_S):
            break
        await asyncio.sleep(POLL_S)
    logger.bind(left=callers.in_flight).info("stopped")
