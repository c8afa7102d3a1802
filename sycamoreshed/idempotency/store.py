"""The table service as records use it: behind a breaker."""

from sycamoreshed.errors import kinds

__all__ = ["Store"]


class Store:
    """Reads and writes single rows, or refuses at once.

    Parameters
    ----------
    table : Table
    breaker : Breaker
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, *, table, breaker, clock):
        self._table = table
        self._breaker = breaker
        self._clock = clock

    @property
    def away(self):
        """Whether the store is taken to be down or slow."""
        return self._breaker.is_open

    @property
    def retry_after(self):
        """Seconds after which a refused caller may come again."""
        return self._breaker.retry_after(self._clock())

    async def read(self, key):
        """Read one row; see `Table.read`."""
        return await self._call(self._table.read, key)

    async def scan(self, prefix, *, after, limit):
        """Read rows in order of key; see `Table.scan`."""
        return await self._call(
            self._table.scan, prefix, after=after, limit=limit
        )

    async def write(self, *writes):
        """Write rows, all or none; see `Table.write`.

        Notes
        -----
        A failure of the breaker itself has ``sent`` false.
        """
        return await self._call(self._table.write, *writes)

    async def _call(self, func, *args, **named):
        if not self._breaker.allows(self._clock()):
            return kinds.Failure(
                kinds.Kind.STORE_AWAY,
                "the store is away",
                retry_after=self.retry_after,
            )
        result = await func(*args, **named)
        ok = not isinstance(result, kinds.Failure)
        self._breaker.report(ok=ok, now=self._clock())
        return result
