"""Keeps one lease in the table service."""

import uuid

from sycamoreshed.adapters import table as tables
from sycamoreshed.errors import kinds
from sycamoreshed.orders import leases
from sycamoreshed.orders import records

__all__ = ["Lease"]

# After a conflict the answer carries the row, which may turn out to be
# our own write; one more try settles it.
TRIES = 2
SOON_S = 0.01


class Lease:
    """One named lease, as one candidate keeps it.

    Parameters
    ----------
    table : Table
    name : str
    holder : str
        For people who read the row.
    terms : Terms
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, *, table, name, holder, terms, clock):
        self._table = table
        self._key = f"leases/{name}"
        self._holder = holder
        self._terms = terms
        self._clock = clock
        self._standing = records.LeaseState()
        self.reads = 0
        self.writes = 0

    @property
    def standing(self):
        """What is known of the lease."""
        return self._standing

    @property
    def terms(self):
        """Lengths of the lease."""
        return self._terms

    @property
    def fence(self):
        """Fencing number of the lease last held, or None."""
        held = self._standing.held
        return held.fence if held else None

    @property
    def config(self):
        """Configuration version the row names, or zero."""
        held = self._standing.held
        return held.config if held else 0

    def is_valid(self, now):
        """Return whether an order may be sent at monotonic time `now`."""
        return leases.is_valid(self._standing, now, self._terms)

    def record_fence(self, fence):
        """Note a fencing number that an engine has met already."""
        floor = max(self._standing.floor, fence)
        self._standing = self._standing._replace(floor=floor)

    def remaining_wait_s(self):
        """Return seconds until the row may be taken, None if not waiting.

        A read just after the wait is over takes the lease sooner than
        the next regular one.
        """
        seen = self._standing.seen
        if seen is None:
            return None
        wait = self._terms.seconds + self._terms.longest
        left = seen.at + wait - self._clock()
        return left + SOON_S if left > 0 else None

    async def renew(self, *, config=0):
        """Take or renew the lease; return whether it is valid.

        Parameters
        ----------
        config : int
            Configuration version that orders will be given for.

        Notes
        -----
        A holder writes on the version it knows and reads nothing, which
        halves what a lease costs the store.
        """
        row = await self._known_row()
        if not isinstance(row, kinds.Failure):
            for _ in range(TRIES):
                row = await self._try(row, config)
                if row is None:
                    break
        return self.is_valid(self._clock())

    async def release(self):
        """Give the lease up, after all own orders have ended.

        Returns
        -------
        bool
            Whether the store confirmed it; if not, the lease runs out.
        """
        attempt = uuid.uuid4().hex
        self._standing, write = leases.propose_release(
            self._standing,
            self._key,
            self._terms,
            holder=self._holder,
            attempt=attempt,
        )
        if write is None:
            return False
        self.writes += 1
        result = await self._table.write(write)
        return isinstance(result, tables.Written)

    async def _known_row(self):
        standing = self._standing
        if standing.held is not None and not standing.sent:
            return tables.Row(self._key, None, standing.held.version)
        self.reads += 1
        row = await self._table.read(self._key)
        if not isinstance(row, kinds.Failure):
            self._observe(row)
        return row

    async def _try(self, row, config):
        """Send one write; return the row to try next, if any."""
        attempt = uuid.uuid4().hex
        self._standing, write = leases.propose(
            self._standing,
            row,
            self._clock(),
            self._terms,
            holder=self._holder,
            attempt=attempt,
            config=config,
        )
        if write is None:
            return None
        self.writes += 1
        result = await self._table.write(write)
        if isinstance(result, tables.Written):
            self._standing = leases.on_written(
                self._standing, attempt, result.versions[0], self._terms
            )
            return None
        if isinstance(result, tables.Conflict):
            row = result.rows[0]
            self._standing = leases.on_conflict(
                self._standing, row, attempt, self._clock(), self._terms
            )
            return row
        return None

    def _observe(self, row):
        self._standing = leases.observe(
            self._standing, row, self._clock(), self._terms
        )
