"""The forwarding daemon: its plug-ins under one kernel, on uvloop."""

import asyncio
import functools
import os
import signal
import sys
import time

from sycamoreshed.adapters import web  # noqa: F401
from sycamoreshed.buffering import buffers  # noqa: F401
from sycamoreshed.buffering import slowreaders  # noqa: F401
from sycamoreshed.catalog import catalog  # noqa: F401
from sycamoreshed.catalog import confirming  # noqa: F401
from sycamoreshed.catalog import following  # noqa: F401
from sycamoreshed.catalog import peers  # noqa: F401
from sycamoreshed.catalog import registering  # noqa: F401
from sycamoreshed.catalog import relay  # noqa: F401
from sycamoreshed.catalog import staleness  # noqa: F401
from sycamoreshed.engineload import speeds  # noqa: F401
from sycamoreshed.engineload import told  # noqa: F401
from sycamoreshed.engineload import view  # noqa: F401
from sycamoreshed.engineload import wiring as load_wiring  # noqa: F401
from sycamoreshed.entry import sockets  # noqa: F401
from sycamoreshed import exceptions
from sycamoreshed.findings import capacities  # noqa: F401
from sycamoreshed.findings import clearing  # noqa: F401
from sycamoreshed.findings import crashes as crash_records  # noqa: F401
from sycamoreshed.findings import crashsummaries  # noqa: F401
from sycamoreshed.findings import departures  # noqa: F401
from sycamoreshed.findings import exchange  # noqa: F401
from sycamoreshed.findings import limits  # noqa: F401
from sycamoreshed.findings import misdirections  # noqa: F401
from sycamoreshed.findings import overloads  # noqa: F401
from sycamoreshed.findings import stored  # noqa: F401
from sycamoreshed.forwarding import client  # noqa: F401
from sycamoreshed.forwarding import crashes  # noqa: F401
from sycamoreshed.forwarding import engineroom  # noqa: F401
from sycamoreshed.forwarding import forwarder  # noqa: F401
from sycamoreshed.forwarding import health  # noqa: F401
from sycamoreshed.forwarding import limiting  # noqa: F401
from sycamoreshed.forwarding import parts  # noqa: F401
from sycamoreshed.forwarding import placement  # noqa: F401
from sycamoreshed.forwarding import rates  # noqa: F401
from sycamoreshed.gateway import control  # noqa: F401
from sycamoreshed.gateway import handler  # noqa: F401
from sycamoreshed.gateway import listeners
from sycamoreshed.gateway import metrics  # noqa: F401
from sycamoreshed.gateway import settings as schema
from sycamoreshed.kernel import kernel
from sycamoreshed.kernel import loops
from sycamoreshed.links import checking  # noqa: F401
from sycamoreshed.links import indirect  # noqa: F401
from sycamoreshed.links import notices  # noqa: F401
from sycamoreshed.links import reachability  # noqa: F401
from sycamoreshed.links import sending  # noqa: F401
from sycamoreshed.links import serving  # noqa: F401
from sycamoreshed.observe import journal  # noqa: F401
from sycamoreshed.platform import platform  # noqa: F401
from sycamoreshed.residency import residency  # noqa: F401
from sycamoreshed.resumption import resumption  # noqa: F401
from sycamoreshed.retries import spending  # noqa: F401
from sycamoreshed.staging import wiring  # noqa: F401
from sycamoreshed.stopping import deadline  # noqa: F401
from sycamoreshed.stopping import telling  # noqa: F401

__all__ = ["serve"]

# Between checks of the settings file, which may change without a signal.
SETTINGS_POLL_S = 5.0
# Settings that `_reload` applies.  Addresses, names and the limits from which
# others are derived need a restart, which is logged.
RELOADABLE = frozenset({"peers", "retry_ratio", "retry_slack"})


def serve(path):
    """Run the daemon until SIGTERM or SIGINT.

    Parameters
    ----------
    path : str
        Settings file.
    """
    settings = schema.load(path)
    loops.run(_serve(settings, path))


async def _serve(settings, path):
    core = kernel.Kernel(settings=settings)
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, core.stopping.set)
    loop.add_signal_handler(
        signal.SIGHUP, functools.partial(_reload, core, path)
    )
    await core.run(
        main=functools.partial(_run_until_drained, path=path),
        plugin_names=("listeners",),
    )


async def _run_until_drained(core, *, path):
    core.part("journal").write(
        "start", boot=time.time_ns() // 1_000_000, pid=os.getpid()
    )
    watch = functools.partial(_watch_settings, core, path)
    core.keep_running(watch, name="watch settings")
    await listeners.drain(core)


async def _watch_settings(core, path):
    last_mtime_ns = _mtime_ns(path)
    while True:
        await asyncio.sleep(SETTINGS_POLL_S)
        mtime_ns = _mtime_ns(path)
        if mtime_ns != last_mtime_ns:
            last_mtime_ns = mtime_ns
            _reload(core, path)


def _mtime_ns(path):
    try:
        return os.stat(path).st_mtime_ns
    except OSError:
        return None


def _reload(core, path):
    """Apply reloadable settings; log all that differ from the start."""
    event_log = core.part("journal")
    try:
        settings = schema.load(path)
    except exceptions.CheckError as err:
        event_log.write("reload_bad", why=str(err))
        return
    changed = {
        name
        for name, value in settings._asdict().items()
        if value != getattr(core.settings, name)
    }
    core.part("peers").seeds = tuple(settings.peers)
    core.part("budget").set_limits(settings.retry_ratio, settings.retry_slack)
    event_log.write(
        "reload",
        taken=sorted(changed & RELOADABLE),
        after_restart=sorted(changed - RELOADABLE),
    )


def run(path):
    """Run the daemon and return its exit status.

    Errors, such as invalid settings, are printed on standard error.
    """
    try:
        serve(path)
    except exceptions.SycamoreshedError as err:
        print(err, file=sys.stderr)
        return 2
    return 0
