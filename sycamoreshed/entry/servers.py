"""The daemon's listening sockets, and its graceful shutdown."""

import asyncio

from aiohttp import web
from loguru import logger

from sycamoreshed.kernel import kernel

__all__ = ["drain", "split_address"]

POLL_S = 0.05
MAX_HEADER_BYTES = 16384


def split_address(address):
    """Return host and port of an ``IP:port`` address.

    Examples
    --------
    >>> split_address("[::1]:80")
    ('::1', 80)
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


async def listen(app, address):
    """Serve an application; return its runner."""
    runner = web.AppRunner(
        app,
        access_log=None,
        handler_cancellation=True,
        max_line_size=MAX_HEADER_BYTES,
        max_field_size=MAX_HEADER_BYTES,
    )
    await runner.setup()
    host, port = split_address(address)
    await web.TCPSite(runner, host, port, reuse_address=True).start()
    return runner


@kernel.plugin("servers", needs=("callers", "operators"))
async def servers(core):
    """Provide the listening sockets, after all routes are known."""
    settings = core.settings
    control = await listen(core.control, settings.control)
    public = await listen(core.public, settings.public)
    logger.bind(public=settings.public, control=settings.control).info(
        "serving"
    )
    yield (public, control)
    await public.cleanup()
    await control.cleanup()


async def drain(core):
    """Wait for the stop, then until no request is in flight.

    After the grace a request that comes on any connection, also on one
    kept open, is answered with kind ``draining`` and the connection is
    closed.

    Notes
    -----
    ``/readyz`` fails first and new requests are still served during the
    grace: a balancer that has not noticed yet would otherwise hand its
    callers refusals.
    """
    await core.stopping.wait()
    settings = core.settings
    logger.info("stopping: not ready any more")
    await asyncio.sleep(settings.grace_s)
    core.part("callers").accepting = False
    callers = core.part("callers")
    end = core.clock() + settings.drain_s
    while callers.in_flight and core.clock() < end:
        await asyncio.sleep(POLL_S)
    logger.bind(left=callers.in_flight).info("stopped")
