"""Confirms at the store that copies of tables are current."""

import asyncio

from sycamoreshed.adapters import positions
from sycamoreshed.catalog import catalog as catalogs
from sycamoreshed.catalog import tablereads
from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel

__all__ = ["Confirmation"]

# For an answer of the store that waits for no changes.
TIMEOUT_S = 0.5


class Confirmation:
    """Reads what has changed in some tables up to the present.

    Waiting for changes tells of them late if the connection is silent, and a
    reader's copy is older than the reader's answer.  After a confirmation the
    copies hold all that was written before it was asked for.

    Parameters
    ----------
    tables : dict of str to str
        Names of tables in the store by those of their copies.
    store : TableStore
    catalog : Catalog
    journal : Journal
    clock : callable
    """

    def __init__(self, *, tables, store, catalog, journal, clock):
        self._tables = tables
        self._store = store
        self._catalog = catalog
        self._journal = journal
        self._clock = clock
        self._lock = asyncio.Lock()
        self._asked = 0
        # All that asked so far when the latest read began, and its result.
        self._covered = 0
        self._is_current = False

    async def confirm(self):
        """Return whether the copies are current as of this call.

        Calls that come during a read share the next one.
        """
        self._asked += 1
        asked = self._asked
        async with self._lock:
            if self._covered < asked:
                covered = self._asked
                self._is_current = all(
                    await asyncio.gather(
                        *(self._update(table) for table in self._tables)
                    )
                )
                self._covered = covered
            return self._is_current

    async def _update(self, table):
        """Bring a copy up to date; return whether that succeeded."""
        held = self._catalog.replica(table).position
        if held == positions.UNKNOWN:
            return False
        name = self._tables[table]
        changes = await self._store.wait_for_changes(
            name, held.version, wait_s=0.0, slack_s=TIMEOUT_S
        )
        if isinstance(changes, tablereads.HistoryGone):
            changes = await self._store.read(name, timeout=TIMEOUT_S)
        if isinstance(changes, kinds.Failure):
            self._journal.write(
                "copy_unconfirmed", table=table, why=changes.reason
            )
            return False
        now = self._clock()
        position = positions.told(changes.era, changes.version, held)
        rows = [(row.key, row.value) for row in changes.rows]
        if changes.is_full:
            self._catalog.replace(
                table, dict(rows), position, now, source="store"
            )
        else:
            self._catalog.apply(
                table, rows, held, position, now, source="store"
            )
        self._catalog.mark_current(table, position, now)
        return self._catalog.replica(table).position >= position


@kernel.plugin(
    "confirmation", needs=("catalog", "following", "journal", "platform")
)
async def confirmation(core):
    """Provide the `Confirmation` of the tables that name versions."""
    codec = core.part("platform")
    yield Confirmation(
        tables={
            table: codec.tables[table]
            for table in (catalogs.ENDPOINTS, catalogs.PEERS)
        },
        store=codec.store,
        catalog=core.part("catalog"),
        journal=core.part("journal"),
        clock=core.clock,
    )
