"""The table service as records use it: behind a breaker."""

import asyncio
import random

from loguru import logger

from sycamoreshed.adapters import table as tables
from sycamoreshed.errors import kinds
from sycamoreshed.idempotency import breaker as breakers
from sycamoreshed.idempotency import groups

__all__ = ["Store"]

PROBE_KEY = "once-probe"
PROBE_S = 1.0
# Written first, and hardly ever with an effect: the store that finds
# another version there takes writes.
NO_VERSION = 1


class Store:
    """Reads and writes single rows, or refuses at once.

    Parameters
    ----------
    table : Table
    breaker : Breaker
        Stands before writes; counts all calls that fail.
    calls : prometheus_client.Counter
        With the label ``result``: ``ok``, ``failed`` or ``refused``.
    spawn : callable
        Runs a coroutine in the background.
    group : int
        Most writes in one transaction.

    Notes
    -----
    Reads have a breaker of their own, which counts reads only: a store
    whose answers to writes are lost still tells what became of them.
    """

    def __init__(self, *, table, breaker, calls, spawn, group):
        self._table = table
        self._writes = breaker
        self._reads = breakers.Breaker(failures=breaker.failures)
        self._calls = calls
        self._spawn = spawn
        self._probing = False
        self._groups = groups.Groups(
            write=self._write, spawn=spawn, most=group
        )

    @property
    def away(self):
        """Whether writes are refused: the store is down, slow or unheard."""
        return self._writes.is_open

    @property
    def readable(self):
        """Whether reads are tried."""
        return not self._reads.is_open

    @property
    def retry_after(self):
        """Seconds after which a refused caller may come again."""
        return 2 * PROBE_S

    def refusal(self):
        """Return a failure if writes are refused just now, or None."""
        return self._refused() if self.away else None

    def _refused(self):
        self._calls.labels("refused").inc()
        return kinds.Failure(
            kinds.Kind.STORE_AWAY,
            "the store is away",
            retry_after=self.retry_after,
        )

    async def read(self, key):
        """Read one row; see `Table.read`."""
        if not self.readable:
            return self._refused()
        return await self._count(self._table.read(key))

    async def scan(self, prefix, *, after, limit):
        """Read rows in order of key; see `Table.scan`."""
        if not self.readable:
            return self._refused()
        return await self._count(
            self._table.scan(prefix, after=after, limit=limit)
        )

    async def write(self, write):
        """Write one row, perhaps in one transaction with others.

        Notes
        -----
        A failure of the breaker itself has ``sent`` false.
        """
        return self.refusal() or await self._groups.write(write)

    async def write_all(self, *writes):
        """Write rows, all or none; see `Table.write`."""
        return self.refusal() or await self._write(*writes)

    def confirm(self):
        """Take in that a write whose answer was lost has taken effect."""
        self._report(True, is_write=True)

    async def _write(self, *writes):
        return await self._count(self._table.write(*writes), is_write=True)

    async def _count(self, call, *, is_write=False):
        result = await call
        ok = not isinstance(result, kinds.Failure)
        self._calls.labels("ok" if ok else "failed").inc()
        self._report(ok, is_write=is_write)
        return result

    def _report(self, ok, *, is_write):
        was_away = self.away
        if not ok or is_write:
            self._writes.report(ok=ok)
        if ok or not is_write:
            self._reads.report(ok=ok)
        if self.away != was_away:
            logger.bind(away=self.away).warning("store breaker")
        if self.away and not self._probing:
            self._probing = True
            self._spawn(self._probe(), name="probe store")

    async def _probe(self):
        # A request that tried for the others would wait for a timeout;
        # this way none does while the store is away.
        while self.away:
            await asyncio.sleep(random.uniform(PROBE_S / 2, PROBE_S * 1.5))
            if await self._answers():
                self.confirm()
        self._probing = False

    async def _answers(self):
        write = tables.Write(PROBE_KEY, {}, NO_VERSION)
        try:
            result = await self._table.write(write)
        except Exception as err:
            # Were the probe to end here, the breaker would stay open.
            logger.opt(exception=err).error("probe of the store failed")
            return False
        if isinstance(result, kinds.Failure):
            return result.sent and await self._takes_effect()
        return True

    async def _takes_effect(self):
        """Tell whether a write changes its row although it is unanswered."""
        before = await self._table.read(PROBE_KEY)
        if isinstance(before, kinds.Failure):
            return False
        await self._table.write(tables.Write(PROBE_KEY, {}, before.version))
        after = await self._table.read(PROBE_KEY)
        if isinstance(after, kinds.Failure):
            return False
        return after.version > before.version
