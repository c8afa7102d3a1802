"""Client of one lease in the table service."""

import uuid

from sycamoreshed.adapters import table as tables
from sycamoreshed.errors import kinds
from sycamoreshed.orders import leases
from sycamoreshed.orders import records

__all__ = ["Lease"]

# A conflict may be with an own earlier write whose response was lost; the
# write is retried once, on the row that the conflict returned.
MAX_ATTEMPTS = 2
# Added to the wait, which must be exceeded before the lease is acquired.
READ_AFTER_WAIT_S = 0.01


class Lease:
    """One named lease, acquired and renewed by one candidate.

    Parameters
    ----------
    table : Table
    name : str
    holder : str
        Name for people who read the row.
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
        self._state = records.LeaseState()
        self.reads = 0
        self.writes = 0

    @property
    def state(self):
        """State of the lease, as last recorded."""
        return self._state

    @property
    def terms(self):
        """Durations of the lease."""
        return self._terms

    @property
    def fence(self):
        """Fencing number of the recorded lease, even if expired, or None."""
        lease = self._state.lease
        return lease.fence if lease else None

    @property
    def config(self):
        """Configuration version of the recorded lease, or zero."""
        lease = self._state.lease
        return lease.config if lease else 0

    def is_valid(self, now):
        """Return whether an order may be sent at monotonic time `now`."""
        return leases.is_valid(self._state, now, self._terms)

    def record_fence(self, fence):
        """Record a fencing number that an engine has received."""
        max_fence = max(self._state.max_fence, fence)
        self._state = self._state._replace(max_fence=max_fence)

    def remaining_wait_s(self):
        """Return the seconds until a read can acquire the lease.

        The wait is by the own terms and for an unchanged row; None if
        there is no wait or it is over.  A read just after the wait
        acquires the lease earlier than the next regular read.
        """
        seen = self._state.seen
        if seen is None:
            return None
        wait_s = self._terms.duration_s + self._terms.max_order_s
        remaining_s = seen.seen_at + wait_s - self._clock()
        return remaining_s + READ_AFTER_WAIT_S if remaining_s > 0 else None

    async def renew(self, *, config=0):
        """Acquire or renew the lease; return whether it is valid.

        Parameters
        ----------
        config : int
            Configuration version that orders will be sent for.

        Notes
        -----
        A holder writes on the version it has recorded, without a read,
        which halves the load of a lease on the store.
        """
        row = await self._current_row()
        if not isinstance(row, kinds.Failure):
            for _ in range(MAX_ATTEMPTS):
                row = await self._write(row, config)
                if row is None:
                    break
        return self.is_valid(self._clock())

    async def release(self):
        """Release the lease; all own orders must have ended.

        Returns
        -------
        bool
            Whether the store confirmed the release; if not, the lease
            expires.
        """
        attempt = uuid.uuid4().hex
        self._state, write = leases.propose_release(
            self._state,
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

    async def _current_row(self):
        state = self._state
        if state.lease is not None and not state.unanswered:
            return tables.Row(self._key, None, state.lease.version)
        self.reads += 1
        row = await self._table.read(self._key)
        if not isinstance(row, kinds.Failure):
            self._observe(row)
        return row

    async def _write(self, row, config):
        """Send one write; return the row for a second attempt, if any."""
        attempt = uuid.uuid4().hex
        self._state, write = leases.propose(
            self._state,
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
            self._state = leases.on_written(
                self._state, attempt, result.versions[0], self._terms
            )
            return None
        if isinstance(result, tables.Conflict):
            row = result.rows[0]
            self._state = leases.on_conflict(
                self._state, row, attempt, self._clock(), self._terms
            )
            return row
        return None

    def _observe(self, row):
        self._state = leases.observe(
            self._state, row, self._clock(), self._terms
        )
