"""Whether this instance reads the store, and whether the store answers."""

import asyncio

from sycamoreshed.catalog import signals

__all__ = ["StoreAccess"]


class StoreAccess:
    """Whether this instance reads the store, and whether the store answers.

    Attributes
    ----------
    is_relayed : bool
        Whether a reader keeps this instance up to date.
    """

    def __init__(self):
        self._lost = []
        self.is_relayed = False
        self._answered = signals.Signal()
        self._changed = signals.Signal()
        self._open = asyncio.Event()
        self._open.set()

    @property
    def changed(self):
        """`Signal` that fires when the store is lost or answers again."""
        return self._changed

    @property
    def is_lost(self):
        """Whether the store does not answer for a table that is followed."""
        return bool(self._lost)

    def enable(self, is_enabled):
        """Start or stop reading the tables from the store."""
        if is_enabled:
            self._open.set()
        else:
            self._open.clear()

    async def wait_enabled(self):
        """Wait until the store is to be read."""
        await self._open.wait()

    def lost(self, table):
        """Note that the store does not answer for a table."""
        if table not in self._lost:
            self._lost.append(table)
            self._changed.fire()

    def answered(self, table):
        """Note that the store answered for a table."""
        if table in self._lost:
            self._lost.remove(table)
            self._answered.fire()
            self._changed.fire()

    def is_probed(self, table):
        """Return whether another table's calls probe the store."""
        return bool(self._lost) and self._lost[0] != table

    async def pause(self, seconds):
        """Wait before the next attempt, or until the store answers."""
        await self._answered.wait(seconds)
