"""The daemon: all plug-ins under one kernel, on uvloop."""

import asyncio
import os
import signal

# Without this uvloop opens an io_uring, which the platform forbids; it
# reads the variable when the first loop is made.
os.environ["UV_USE_IO_URING"] = "0"

import uvloop  # noqa: E402

from sycamoreshed.adapters import endpoints  # noqa: E402,F401
from sycamoreshed.adapters import instancelist  # noqa: E402,F401
from sycamoreshed.adapters import objects  # noqa: E402,F401
from sycamoreshed.adapters import table  # noqa: E402,F401
from sycamoreshed.adapters import web  # noqa: E402,F401
from sycamoreshed.admission import admission  # noqa: E402,F401
from sycamoreshed.entry import callers  # noqa: E402,F401
from sycamoreshed.entry import guard  # noqa: E402,F401
from sycamoreshed.entry import operators  # noqa: E402,F401
from sycamoreshed.entry import servers  # noqa: E402
from sycamoreshed.idempotency import once  # noqa: E402,F401
from sycamoreshed.idempotency import records  # noqa: E402,F401
from sycamoreshed.kernel import kernel  # noqa: E402
from sycamoreshed.membership import gossip  # noqa: E402,F401
from sycamoreshed.membership import membership  # noqa: E402,F401
from sycamoreshed.notes import notes  # noqa: E402,F401
from sycamoreshed.observe import logs  # noqa: E402
from sycamoreshed.observe import metrics  # noqa: E402,F401
from sycamoreshed.orders import orders  # noqa: E402,F401
from sycamoreshed.pipeline import runner  # noqa: E402,F401
from sycamoreshed.routing import router  # noqa: E402,F401

__all__ = ["serve"]


def serve(settings):
    """Run the daemon until it is told to stop.

    Parameters
    ----------
    settings : Settings
    """
    logs.set_up(settings.log_level)
    uvloop.run(_serve(settings))


async def _serve(settings):
    core = kernel.Kernel(settings=settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, core.stopping.set)
    await core.run(until=servers.drain)
