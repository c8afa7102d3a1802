"""Group commit: record writes of several requests in one transaction."""

import asyncio
import typing

from loguru import logger

from sycamoreshed.adapters import table as tables
from sycamoreshed.errors import kinds

__all__ = ["WriteGroups", "split_result"]


class _QueuedWrite(typing.NamedTuple):
    write: tables.Write
    future: asyncio.Future


def split_result(writes, result):
    """Return the result of each write of a grouped transaction.

    Parameters
    ----------
    writes : list of Write
        No two with the same key.
    result : Written, Conflict or Failure

    Returns
    -------
    list of Written, Conflict, Failure or None
        None where the write had no effect only because another write of
        the group was in conflict; it is to be sent again.

    Examples
    --------
    >>> writes = [tables.Write("a", 1, 0), tables.Write("b", 1, 0)]
    >>> row = tables.Row("b", 2, 7)
    >>> split_result(writes, tables.Conflict((row,)))
    [None, Conflict(rows=(Row(key='b', value=2, version=7),))]
    >>> split_result(writes, tables.Written((3, 4)))
    [Written(versions=(3,)), Written(versions=(4,))]
    """
    if isinstance(result, tables.Written):
        return [tables.Written((version,)) for version in result.versions]
    if isinstance(result, kinds.Failure):
        return [result] * len(writes)
    stale = {row.key: tables.Conflict((row,)) for row in result.rows}
    return [stale.get(write.key) for write in writes]


class WriteGroups:
    """Sends one transaction at a time; writes queue up for the next one.

    Parameters
    ----------
    write : coroutine function
        Takes writes, returns Written, Conflict or Failure.
    spawn : callable
        Runs a coroutine in the background.
    max_size : int
        Largest number of writes in one transaction; 1 disables grouping
        and sends each write at once, concurrently.

    Notes
    -----
    Nothing is delayed to form groups: a write is sent at once if no
    transaction is in progress.  A store near its limit answers more
    slowly, so more writes queue up and groups grow.
    """

    def __init__(self, *, write, spawn, max_size):
        self._write = write
        self._spawn = spawn
        self._max_size = max_size
        self._queue = []
        self._running = False

    async def write(self, write):
        """Write one row; see `Table.write`."""
        if self._max_size == 1:
            return await self._write(write)
        future = asyncio.get_running_loop().create_future()
        self._queue.append(_QueuedWrite(write, future))
        if not self._running:
            self._running = True
            self._spawn(self._send_queued(), name="write records")
        return await future

    async def _send_queued(self):
        try:
            while self._queue:
                await self._send(self._next_group())
        finally:
            self._running = False

    async def _send(self, group):
        writes = [item.write for item in group]
        try:
            result = await self._write(*writes)
        except Exception as err:
            # An unexpected answer.  Without this handler, all requests of
            # the group would wait for ever, each holding a slot.
            logger.opt(exception=err).error("write of records failed")
            result = kinds.Failure(kinds.Kind.STORE_AWAY, repr(err), sent=True)
        results = split_result(writes, result)
        to_resend = []
        for item, result in zip(group, results, strict=True):
            if result is None:
                to_resend.append(item)
            elif not item.future.done():
                item.future.set_result(result)
        self._queue[:0] = to_resend

    def _next_group(self):
        group, remaining, seen = [], [], set()
        for item in self._queue:
            # Two writes of one key in one transaction would be checked
            # against the same version, and one of them would be lost.
            if len(group) < self._max_size and item.write.key not in seen:
                seen.add(item.write.key)
                group.append(item)
            else:
                remaining.append(item)
        self._queue = remaining
        return group
