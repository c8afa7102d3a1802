"""The table service as records use it: behind a breaker."""

from loguru import logger

from sycamoreshed.errors import kinds
from sycamoreshed.idempotency import groups

__all__ = ["Store"]


class Store:
    """Reads and writes single rows, or refuses at once.

    Parameters
    ----------
    table : Table
    breaker : Breaker
    clock : callable
        Returns monotonic seconds.
    calls : prometheus_client.Counter
        With the label ``result``: ``ok``, ``failed`` or ``refused``.
    spawn : callable
        Runs a coroutine in the background.
    group : int
        Most writes in one transaction.
    """

    def __init__(self, *, table, breaker, clock, calls, spawn, group):
        self._table = table
        self._breaker = breaker
        self._clock = clock
        self._calls = calls
        self._groups = groups.Groups(
            write=self._write, spawn=spawn, most=group
        )

    @property
    def away(self):
        """Whether the store is taken to be down or slow."""
        return self._breaker.is_open

    @property
    def retry_after(self):
        """Seconds after which a refused caller may come again."""
        return self._breaker.retry_after(self._clock())

    def refusal(self):
        """Return a failure if calls are refused just now, or None."""
        if not self._breaker.refuses(self._clock()):
            return None
        return self._refused()

    async def read(self, key):
        """Read one row; see `Table.read`."""
        return self._refusal() or await self._count(self._table.read(key))

    async def scan(self, prefix, *, after, limit):
        """Read rows in order of key; see `Table.scan`."""
        return self._refusal() or await self._count(
            self._table.scan(prefix, after=after, limit=limit)
        )

    async def write(self, write):
        """Write one row, perhaps in one transaction with others.

        Notes
        -----
        A failure of the breaker itself has ``sent`` false.
        """
        return self._refusal() or await self._groups.write(write)

    async def write_all(self, *writes):
        """Write rows, all or none; see `Table.write`."""
        return self._refusal() or await self._write(*writes)

    async def _write(self, *writes):
        return await self._count(self._table.write(*writes))

    def _refusal(self):
        if self._breaker.allows(self._clock()):
            return None
        return self._refused()

    def _refused(self):
        self._calls.labels("refused").inc()
        return kinds.Failure(
            kinds.Kind.STORE_AWAY,
            "the store is away",
            retry_after=self.retry_after,
        )

    async def _count(self, call):
        result = await call
        ok = not isinstance(result, kinds.Failure)
        self._calls.labels("ok" if ok else "failed").inc()
        was_away = self.away
        self._breaker.report(ok=ok, now=self._clock())
        if self.away != was_away:
            logger.bind(away=self.away).warning("store breaker")
        return result
