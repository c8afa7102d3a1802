"""Keeps this instance's row in the table of instances."""

import asyncio
import contextlib
import random
import time

import msgspec

from sycamoreshed.catalog import catalog as catalogs
from sycamoreshed.kernel import kernel

__all__ = []

# Between looks whether the own row is there; spread, so that many instances
# that start together do not write together.
REGISTER_S = (2.0, 4.0)
# Between looks whether enough is known to register at all.
LOOK_S = 0.05
WRITE_TIMEOUT_S = 2.0


@kernel.plugin(
    "registering", needs=("catalog", "following", "peers", "platform")
)
async def registering(core):
    """Keep the row while the daemon runs."""
    yield core.spawn(_register(core), name="register")


async def _register(core):
    """Keep this instance's row in the table of instances.

    Notes
    -----
    Another instance that cannot reach this one for long removes the row,
    as of a process that is gone for good; the row is then written again.
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
    while not core.stopping.is_set():
        # Before it knows the services it cannot do for its zone what
        # others would ask of it.
        if catalog.is_ready and catalog.peers.get(row.name) != row:
            await _write_row(core, row)
        await _sweep(core)
        pause = random.uniform(*REGISTER_S) if catalog.is_ready else LOOK_S
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause):
                await core.stopping.wait()
    # Others pass on what this instance did for its zone before it ends.
    core.part("peers").is_draining = True
    await _write_row(core, row._replace(is_draining=True))


async def _sweep(core):
    """Remove the rows of instances that are gone.

    Rows do not expire.  Each instance would go on trying those that were
    replaced, and hold up requests with it, for as long as it runs.
    """
    codec = core.part("platform")
    for name in core.part("peers").gone():
        failure = await codec.store.remove(
            codec.tables["peers"], name, timeout=WRITE_TIMEOUT_S
        )
        core.part("journal").write(
            "peer_removed", peer=name, why=failure and failure.reason
        )


async def _write_row(core, row):
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
