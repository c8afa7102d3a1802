"""Leases in the table service, with fencing numbers that only grow."""

import typing

from sycamoreshed.adapters import table as tables
from sycamoreshed.errors import kinds

__all__ = ["Held", "Lease"]


class Held(typing.NamedTuple):
    """A lease as its holder knows it.

    Parameters
    ----------
    fence : int
        Fencing number.
    until : float
        Monotonic end, counted from before the write was sent.
    version : int
        Version of the row.
    """

    fence: int
    until: float
    version: int


class Lease:
    """One named lease.

    Parameters
    ----------
    table : Table
    name : str
    holder : str
    seconds : float
        Length of the lease.
    margin : float
        Seconds before its end from which it is not used any more.
    longest : float
        Longest time an order sent under a lease may take.

    Notes
    -----
    No clock is shared: a candidate waits until it has seen the row
    unchanged for the whole lease and the longest order, by its own
    monotonic clock.
    """

    def __init__(
        self, *, table, name, holder, seconds=6.0, margin=1.0, longest=2.0
    ):
        self._table = table
        self._key = f"leases/{name}"
        self._holder = holder
        self._seconds = seconds
        self._margin = margin
        self._longest = longest
        self._held = None
        self._seen = None

    @property
    def fence(self):
        """Fencing number of the lease last held, or None."""
        return self._held.fence if self._held else None

    def valid(self, now):
        """Return whether an order may be sent at monotonic time `now`."""
        held = self._held
        return held is not None and now < held.until - self._margin

    async def renew(self, clock):
        """Take or renew the lease; return whether it is held.

        Parameters
        ----------
        clock : callable
            Returns monotonic seconds.
        """
        row = await self._table.read(self._key)
        if isinstance(row, kinds.Failure):
            return self.valid(clock())
        now = clock()
        if not self._may_take(row, now):
            return False
        fence = (row.value or {}).get("fence", 0)
        if not self._is_own(row):
            fence += 1
        value = {"holder": self._holder, "fence": fence}
        result = await self._table.write(
            tables.Write(self._key, value, row.version)
        )
        if isinstance(result, tables.Written):
            until = now + self._seconds
            self._held = Held(fence, until, result.versions[0])
            return True
        return self.valid(clock())

    def _is_own(self, row):
        return self._held is not None and self._held.version == row.version

    def _may_take(self, row, now):
        if row.version == tables.ABSENT or self._is_own(row):
            return True
        if self._seen is None or self._seen[0] != row.version:
            self._seen = (row.version, now)
            return False
        waited = now - self._seen[1]
        return waited > self._seconds + self._longest
