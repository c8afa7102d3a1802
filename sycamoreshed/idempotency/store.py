"""Client of the table service for records, behind circuit breakers."""

import asyncio
import random

from loguru import logger

from sycamoreshed.adapters import positions
from sycamoreshed.adapters import table as tables
from sycamoreshed.errors import kinds
from sycamoreshed.idempotency import breaker as breakers
from sycamoreshed.idempotency import groups

__all__ = ["Store"]

PROBE_KEY = "once-probe"
PROBE_INTERVAL_S = 1.0
# Version for the first write of a probe.  The probe row hardly ever has it,
# so the write normally has no effect; a store that reports the conflict
# accepts writes.
UNUSED_VERSION = 1


class Store:
    """Reads and writes rows; fails at once while a breaker is open.

    Parameters
    ----------
    table : Table
    breaker : Breaker
        Guards writes: opened by failures of any call, closed by a write
        that took effect.
    calls : prometheus_client.Counter
        With the label ``result``: ``ok``, ``failed``, or ``refused`` for
        calls not sent because a breaker is open.
    spawn : callable
        Runs a coroutine in the background.
    max_group_size : int
        Largest number of writes in one transaction.
    recent : RecentRecords, optional
        Remembers the records that were written.
    clock : callable, optional
        Returns monotonic seconds; needed to remember records.

    Notes
    -----
    Reads have a separate breaker, opened by failed reads alone and closed
    by any call that succeeds: a store whose answers to writes are lost can
    still be read to find out whether they took effect.
    """

    def __init__(
        self,
        *,
        table,
        breaker,
        calls,
        spawn,
        max_group_size,
        recent=None,
        clock=None,
    ):
        self._table = table
        self._writes = breaker
        self._reads = breakers.Breaker(
            failure_threshold=breaker.failure_threshold
        )
        self._calls = calls
        self._spawn = spawn
        self._recent = recent
        self._clock = clock
        self._probing = False
        self._groups = groups.WriteGroups(
            write=self._write, spawn=spawn, max_size=max_group_size
        )

    @property
    def is_unavailable(self):
        """Whether writes are rejected.

        The store is down or slow, or its answers are lost.
        """
        return self._writes.is_open

    @property
    def era(self):
        """Latest era that the service told; 0 if it tells none."""
        return self._table.era

    @property
    def is_readable(self):
        """Whether reads are attempted."""
        return not self._reads.is_open

    @property
    def retry_after(self):
        """Seconds after which a rejected caller may retry."""
        return 2 * PROBE_INTERVAL_S

    def reject_if_unavailable(self):
        """Return a failure while writes are rejected, else None.

        The failure counts as a rejected call.
        """
        return self._reject() if self.is_unavailable else None

    def _reject(self):
        self._calls.labels("refused").inc()
        return kinds.Failure(
            kinds.Kind.STORE_AWAY,
            "the store is away",
            retry_after=self.retry_after,
        )

    async def read(self, key):
        """Read one row; see `Table.read`."""
        if not self.is_readable:
            return self._reject()
        return await self._track_call(self._table.read(key))

    async def scan(self, prefix, *, after, limit):
        """Read rows in order of key; see `Table.scan`."""
        if not self.is_readable:
            return self._reject()
        return await self._track_call(
            self._table.scan(prefix, after=after, limit=limit)
        )

    async def write(self, write):
        """Write one row, possibly in one transaction with other writes.

        Notes
        -----
        A failure caused by the open breaker has ``sent`` false.
        """
        result = self.reject_if_unavailable()
        if result is None:
            result = await self._groups.write(write)
        if isinstance(result, tables.Written):
            self.remember(
                tables.Row(write.key, write.value, result.versions[0])
            )
        return result

    def remember(self, row):
        """Remember a record that this instance has written."""
        if self._recent is not None:
            self._recent.add(
                row.key, row.value, row.version, now=self._clock()
            )

    async def write_all(self, *writes):
        """Write rows atomically; see `Table.write`."""
        return self.reject_if_unavailable() or await self._write(*writes)

    def report_write_applied(self):
        """Report to the breakers that a write took effect.

        For writes whose answer was lost, and for probes.
        """
        self._update_breakers(True, is_write=True)

    async def _write(self, *writes):
        return await self._track_call(
            self._table.write(*writes), is_write=True
        )

    async def _track_call(self, call, *, is_write=False):
        result = await call
        ok = not isinstance(result, kinds.Failure)
        self._calls.labels("ok" if ok else "failed").inc()
        self._update_breakers(ok, is_write=is_write)
        return result

    def _update_breakers(self, ok, *, is_write):
        was_unavailable = self.is_unavailable
        if not ok or is_write:
            self._writes.report(ok=ok)
        if ok or not is_write:
            self._reads.report(ok=ok)
        if self.is_unavailable != was_unavailable:
            logger.bind(away=self.is_unavailable).warning("store breaker")
        if self.is_unavailable and not self._probing:
            self._probing = True
            self._spawn(self._probe(), name="probe store")

    async def _probe(self):
        # With probes in the background, no request has to wait for a
        # timeout to find out whether the store is available again.
        while self.is_unavailable:
            await asyncio.sleep(
                random.uniform(PROBE_INTERVAL_S / 2, PROBE_INTERVAL_S * 1.5)
            )
            if await self._probe_succeeds():
                self.report_write_applied()
        self._probing = False

    async def _probe_succeeds(self):
        write = tables.Write(PROBE_KEY, {}, UNUSED_VERSION)
        try:
            result = await self._table.write(write)
        except Exception as err:
            # If the probe task ended here, the breaker would stay open.
            logger.opt(exception=err).error("probe of the store failed")
            return False
        if isinstance(result, kinds.Failure):
            return result.sent and await self._unanswered_write_takes_effect()
        return True

    async def _unanswered_write_takes_effect(self):
        """Return whether a write with a lost answer still changes its row."""
        before = await self._table.read(PROBE_KEY)
        if isinstance(before, kinds.Failure):
            return False
        await self._table.write(tables.Write(PROBE_KEY, {}, before.version))
        after = await self._table.read(PROBE_KEY)
        if isinstance(after, kinds.Failure):
            return False
        return positions.has_advanced(before.version, after.version)
