"""Deletion of expired records in the background."""

import asyncio
import random
import time

from loguru import logger

from sycamoreshed.adapters import table as tables
from sycamoreshed.errors import kinds
from sycamoreshed.idempotency import decide
from sycamoreshed.idempotency import keys
from sycamoreshed.kernel import kernel

__all__ = ["Sweeper", "expired_rows", "is_page_due"]

CURSOR_KEY = "once-sweep"
PAGE_ROWS = 500
# Mean interval at which each instance checks whether a page is due; with
# 410 instances that is 7 reads a second.
CHECK_INTERVAL_S = 60.0
# Minimum seconds between two pages, over all instances.
PAGE_INTERVAL_S = 2.0
# A cursor dated further in the future was written by a wrong clock, and
# would stop sweeping until that time.
MAX_CURSOR_AHEAD_S = 60.0


def expired_rows(rows, now, ttl_s):
    """Return the rows of expired records.

    Parameters
    ----------
    rows : list of Row
    now : float
        Wall-clock seconds.
    ttl_s : float
        Seconds for which records are kept.

    Returns
    -------
    list of Row

    Notes
    -----
    A record in state ``begun`` is never deleted.  Its instance may be
    paused before sending; without the record, a request with the same
    key would run, and then the paused one too.

    Examples
    --------
    >>> rows = [
    ...     tables.Row("a", {"state": "done", "at": 0.0}, 1),
    ...     tables.Row("b", {"state": "begun", "at": 0.0}, 2),
    ...     tables.Row("c", {"state": "not-run", "at": 95.0}, 3),
    ... ]
    >>> [row.key for row in expired_rows(rows, 100.0, 10.0)]
    ['a']
    """
    return [
        row
        for row in rows
        if row.value["state"] != decide.State.BEGUN
        and row.value["at"] + ttl_s < now
    ]


def is_page_due(row, now):
    """Return whether the next page may be swept.

    Parameters
    ----------
    row : Row
        The cursor row.
    now : float
        Wall-clock seconds.

    Notes
    -----
    Two instances that sweep at the same time only waste work, since each
    delete is conditional on the version that was read.  So no lease is
    needed.

    Examples
    --------
    >>> row = tables.Row("c", {"after": "", "at": 50.0}, 1)
    >>> [is_page_due(row, now) for now in (51.0, 53.0, -20.0)]
    [False, True, True]
    """
    if row.value is None:
        return True
    elapsed_s = now - row.value["at"]
    return elapsed_s >= PAGE_INTERVAL_S or elapsed_s < -MAX_CURSOR_AHEAD_S


class Sweeper:
    """Sweeps one page at a time, unless another instance has just done so.

    Parameters
    ----------
    store : Store
    ttl_s : float
        Age in seconds after which settled records are deleted.  Longer
        than the age limit of keys, since clocks differ.
    wall_clock : callable, optional
        Returns wall-clock seconds.
    """

    def __init__(self, *, store, ttl_s, wall_clock=time.time):
        self._store = store
        self._ttl_s = ttl_s
        self._wall_clock = wall_clock

    async def run(self):
        """Sweep until cancelled."""
        while True:
            # Jitter, so that instances started together do not read the
            # cursor at the same time.
            await asyncio.sleep(
                random.uniform(CHECK_INTERVAL_S / 2, CHECK_INTERVAL_S * 1.5)
            )
            await self.sweep_page()

    async def sweep_page(self):
        """Sweep a page if one is due; return whether the cursor advanced."""
        row = await self._store.read(CURSOR_KEY)
        now = self._wall_clock()
        if isinstance(row, kinds.Failure):
            return False
        if not is_page_due(row, now):
            return False
        after = row.value["after"] if row.value else ""
        rows = await self._store.scan(
            keys.PREFIX, after=after, limit=PAGE_ROWS
        )
        if isinstance(rows, kinds.Failure):
            return False
        next_after = rows[-1].key if len(rows) == PAGE_ROWS else ""
        cursor = {"after": next_after, "at": now}
        result = await self._store.write(
            tables.Write(CURSOR_KEY, cursor, row.version)
        )
        if not isinstance(result, tables.Written):
            return False
        await self._delete(expired_rows(rows, now, self._ttl_s))
        return True

    async def _delete(self, rows):
        while rows:
            result = await self._store.write_all(
                *(tables.Write(row.key, None, row.version) for row in rows)
            )
            if isinstance(result, tables.Written):
                logger.bind(records=len(rows)).info("swept")
                return
            if isinstance(result, kinds.Failure):
                # The next pass over the records finds these rows again.
                return
            stale = {row.key for row in result.rows}
            rows = [row for row in rows if row.key not in stale]


@kernel.plugin("sweeper", needs=("records",))
async def sweeper(core):
    """Sweep records in the background."""
    part = Sweeper(
        store=core.part("records").store,
        ttl_s=core.settings.record_ttl_s + keys.DOUBLE_CLOCK_SKEW_S,
    )
    task = core.keep_running(part.run, name="sweep records")
    yield part
    task.cancel()
