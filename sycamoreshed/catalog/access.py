"""Shared state of store reads: whether enabled, and whether they fail."""

import asyncio

from sycamoreshed.catalog import signals

__all__ = ["StoreAccess"]


class StoreAccess:
    """Whether this instance reads the store, and whether the store answers.

    Shared by the tasks that follow the tables.

    Attributes
    ----------
    is_relayed : bool
        Whether a reader sends this instance its updates.
    """

    def __init__(self):
        self._unavailable_tables = []
        self.is_relayed = False
        self._available = signals.Signal()
        self._changed = signals.Signal()
        self._enabled = asyncio.Event()
        self._enabled.set()

    @property
    def changed(self):
        """`Signal` for each table that becomes unavailable or available."""
        return self._changed

    @property
    def is_unavailable(self):
        """Whether the store does not answer for some followed table."""
        return bool(self._unavailable_tables)

    def enable(self, is_enabled):
        """Enable or disable reading the tables from the store."""
        if is_enabled:
            self._enabled.set()
        else:
            self._enabled.clear()

    async def wait_enabled(self):
        """Wait until reading from the store is enabled."""
        await self._enabled.wait()

    def mark_unavailable(self, table):
        """Record that the store does not answer for a table."""
        if table not in self._unavailable_tables:
            self._unavailable_tables.append(table)
            self._changed.fire()

    def mark_available(self, table):
        """Record that the store answered for a table."""
        if table in self._unavailable_tables:
            self._unavailable_tables.remove(table)
            self._available.fire()
            self._changed.fire()

    def is_probed_elsewhere(self, table):
        """Return whether the calls for another table probe the store."""
        return (
            bool(self._unavailable_tables)
            and self._unavailable_tables[0] != table
        )

    async def pause(self, seconds):
        """Wait, at most until an unavailable table is available again."""
        await self._available.wait(seconds)
