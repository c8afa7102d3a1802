"""Deletes records whose time of keeping is over."""

import asyncio
import random
import time

from loguru import logger

from sycamoreshed.adapters import table as tables
from sycamoreshed.errors import kinds
from sycamoreshed.idempotency import decide
from sycamoreshed.idempotency import keys
from sycamoreshed.kernel import kernel

__all__ = ["Sweeper", "due", "page_due"]

CURSOR = "once-sweep"
PAGE = 500
# Each instance looks this often whether a page is due; at 410 instances
# that is 7 reads a second.
LOOK_S = 60.0
# Seconds between two pages, whoever sweeps them.
STEP_S = 2.0
# A cursor dated further ahead than this was written by a clock that is
# wrong, and would stop the sweep until then.
AHEAD_S = 60.0


def due(rows, now, ttl_s):
    """Return the rows that may be deleted.

    Parameters
    ----------
    rows : list of Row
    now : float
        Wall-clock seconds.
    ttl_s : float
        How long records are kept.

    Returns
    -------
    list of Row

    Notes
    -----
    A record that says ``begun`` is never deleted.  Its instance may be
    paused before sending; with the record gone, a request with the same
    key would run, and then the paused one too.

    Examples
    --------
    >>> rows = [
    ...     tables.Row("a", {"state": "done", "at": 0.0}, 1),
    ...     tables.Row("b", {"state": "begun", "at": 0.0}, 2),
    ...     tables.Row("c", {"state": "not-run", "at": 95.0}, 3),
    ... ]
    >>> [row.key for row in due(rows, 100.0, 10.0)]
    ['a']
    """
    return [
        row
        for row in rows
        if row.value["state"] != decide.State.BEGUN
        and row.value["at"] + ttl_s < now
    ]


def page_due(row, now):
    """Return whether the next page may be swept.

    Parameters
    ----------
    row : Row
        Of the cursor.
    now : float
        Wall-clock seconds.

    Notes
    -----
    Two that sweep at once do no harm but cost: each delete asks for the
    version that was seen.  So no lease is needed.

    Examples
    --------
    >>> row = tables.Row("c", {"after": "", "at": 50.0}, 1)
    >>> [page_due(row, now) for now in (51.0, 53.0, -20.0)]
    [False, True, True]
    """
    if row.value is None:
        return True
    passed = now - row.value["at"]
    return passed >= STEP_S or passed < -AHEAD_S


class Sweeper:
    """Sweeps the next page, now and then, if no other instance has.

    Parameters
    ----------
    store : Store
    ttl_s : float
        How long records are kept, seconds.
    wall : callable, optional
        Returns wall-clock seconds.
    """

    def __init__(self, *, store, ttl_s, wall=time.time):
        self._store = store
        self._ttl_s = ttl_s
        self._wall = wall

    async def run(self):
        """Sweep until cancelled."""
        while True:
            # Spread, so that instances started together do not look at
            # the cursor together.
            await asyncio.sleep(random.uniform(LOOK_S / 2, LOOK_S * 1.5))
            await self.step()

    async def step(self):
        """Sweep a page if one is due; return whether it was."""
        row = await self._store.read(CURSOR)
        now = self._wall()
        if isinstance(row, kinds.Failure):
            return False
        if not page_due(row, now):
            return False
        after = row.value["after"] if row.value else ""
        rows = await self._store.scan(keys.PREFIX, after=after, limit=PAGE)
        if isinstance(rows, kinds.Failure):
            return False
        more = rows[-1].key if len(rows) == PAGE else ""
        cursor = {"after": more, "at": now}
        result = await self._store.write(
            tables.Write(CURSOR, cursor, row.version)
        )
        if not isinstance(result, tables.Written):
            return False
        await self._delete(due(rows, now, self._ttl_s))
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
                # The next round through the records finds them again.
                return
            stale = {row.key for row in result.rows}
            rows = [row for row in rows if row.key not in stale]


@kernel.plugin("sweeper", needs=("records",))
async def sweeper(core):
    """Sweep records in the background."""
    part = Sweeper(
        store=core.part("records").store,
        ttl_s=core.settings.record_ttl_s + keys.SLACK_S,
    )
    task = core.spawn(part.run(), name="sweep records")
    yield part
    task.cancel()
