"""Registers this instance in the table of instances."""

import asyncio
import contextlib
import functools
import random
import time

import msgspec

from sycamoreshed.catalog import catalog as catalogs
from sycamoreshed.kernel import kernel

__all__ = []

# Range of the delay between checks for the own row; random, so that instances
# that start together do not write together.
REGISTER_INTERVAL_S = (2.0, 4.0)
# Delay between checks whether the catalog is ready for registering.
READY_CHECK_S = 0.05
# For which the table of instances is waited for before the first write: it
# tells whether this instance was registered before.
MAX_TABLE_WAIT_S = 1.0
WRITE_TIMEOUT_S = 2.0
# Range of the delay before the row of a stopping instance is written again;
# random for the same reason.
RETRY_S = (0.1, 0.4)


@kernel.plugin(
    "registering",
    needs=("budget", "catalog", "following", "peers", "platform"),
)
async def registering(core):
    """Keep this instance registered while the daemon runs."""
    register = functools.partial(_register, core)
    yield core.keep_running(register, name="register")


async def _register(core):
    """Write this instance's row whenever it is missing or differs.

    Notes
    -----
    Another instance that cannot reach this one for a long time presumes it
    dead and removes the row, which is then written again.
    """
    settings = core.settings
    row = catalogs.Peer(
        name=settings.instance,
        zone=settings.zone,
        control=settings.control,
        boot=time.time_ns() // 1_000_000,
        cores=settings.cores,
    )
    catalog = core.part("catalog")
    register_at = core.clock() + MAX_TABLE_WAIT_S
    while not core.stopping.is_set():
        is_ready = catalog.is_ready and (
            catalog.has_peers or core.clock() >= register_at
        )
        # Other instances send requests to a registered instance; without
        # the configuration and the endpoints it could not serve them.
        if is_ready and catalog.peers.get(row.name) != row:
            await _write_row(core, row)
        await _remove_dead_rows(core)
        pause = (
            random.uniform(*REGISTER_INTERVAL_S) if is_ready else READY_CHECK_S
        )
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause):
                await core.stopping.wait()
    # Other instances take over this one's work for the zone before it stops.
    core.part("peers").is_draining = True
    while not await _write_row(core, row._replace(is_draining=True)):
        await asyncio.sleep(random.uniform(*RETRY_S))


async def _remove_dead_rows(core):
    """Remove the rows of instances that are presumed dead.

    Rows do not expire.  Without the removal each instance would try replaced
    instances for as long as it runs, which delays requests.
    """
    codec = core.part("platform")
    for name in core.part("peers").dead():
        failure = await codec.store.remove(
            codec.tables["peers"], name, timeout=WRITE_TIMEOUT_S
        )
        core.part("journal").write(
            "peer_removed", peer=name, why=failure and failure.reason
        )


async def _write_row(core, row):
    """Return whether the row was written."""
    codec = core.part("platform")
    failure = await codec.store.put(
        codec.tables["peers"],
        row.name,
        msgspec.json.encode(row),
        timeout=WRITE_TIMEOUT_S,
    )
    if failure is not None:
        core.part("journal").write(
            "store_lost", table="peers", why=failure.reason, age_s=None
        )
    return failure is None
