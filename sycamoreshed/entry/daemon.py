"""The daemon: one kernel that runs all its plug-ins, on uvloop."""

import asyncio
import signal

from sycamoreshed.adapters import endpoints  # noqa: F401
from sycamoreshed.adapters import instancelist  # noqa: F401
from sycamoreshed.adapters import objects  # noqa: F401
from sycamoreshed.adapters import table  # noqa: F401
from sycamoreshed.adapters import web  # noqa: F401
from sycamoreshed.admission import admission  # noqa: F401
from sycamoreshed.entry import callers  # noqa: F401
from sycamoreshed.entry import guard  # noqa: F401
from sycamoreshed.entry import noteroutes  # noqa: F401
from sycamoreshed.entry import operators  # noqa: F401
from sycamoreshed.entry import servers
from sycamoreshed.entry import sockets  # noqa: F401
from sycamoreshed import exceptions
from sycamoreshed.idempotency import once  # noqa: F401
from sycamoreshed.idempotency import records  # noqa: F401
from sycamoreshed.kernel import kernel
from sycamoreshed.kernel import loops
from sycamoreshed.membership import gossip  # noqa: F401
from sycamoreshed.membership import membership  # noqa: F401
from sycamoreshed.notes import acceptance  # noqa: F401
from sycamoreshed.notes import history  # noqa: F401
from sycamoreshed.notes import snapshots  # noqa: F401
from sycamoreshed.notes import sync  # noqa: F401
from sycamoreshed.observe import logs
from sycamoreshed.observe import metrics  # noqa: F401
from sycamoreshed.orders import orders  # noqa: F401
from sycamoreshed.pipeline import runner  # noqa: F401
from sycamoreshed.routing import policies
from sycamoreshed.routing import router  # noqa: F401

__all__ = ["check", "serve"]

# Plug-ins that no other one needs; with their dependencies they form this
# daemon.  The command line also registers the gateway's plug-ins, which must
# not be started here and do not fit these settings.
ROOT_PLUGINS = ("orders", "servers", "sweeper")
# Registries of the settings whose values name a registered entry.
REGISTRIES = {"routing": policies.POLICIES}


def check(settings, *, source):
    """Check names in the settings against the registries.

    Raises
    ------
    CheckError
    """
    for name, registry in REGISTRIES.items():
        registered = registry.names()
        if getattr(settings, name) not in registered:
            raise exceptions.CheckError(
                source=source,
                path=f"$.{name}",
                expected=f"expected one of: {', '.join(registered)}",
            )


def serve(settings):
    """Run the daemon until it is stopped.

    Parameters
    ----------
    settings : Settings
    """
    logs.set_up(settings.log_level)
    loops.run(_serve(settings))


async def _serve(settings):
    core = kernel.Kernel(settings=settings)
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, core.stopping.set)
    await core.run(main=servers.drain, plugin_names=ROOT_PLUGINS)
