"""Several requests' writes of records in one transaction."""

import asyncio
import typing

from loguru import logger

from sycamoreshed.adapters import table as tables
from sycamoreshed.errors import kinds

__all__ = ["Groups", "split"]


class _Waiting(typing.NamedTuple):
    write: tables.Write
    future: asyncio.Future


def split(writes, result):
    """Return what the result of a group means for each of its writes.

    Parameters
    ----------
    writes : list of Write
        Each of another key.
    result : Written, Conflict or Failure

    Returns
    -------
    list of Written, Conflict, Failure or None
        None where the write had no effect only because another of the
        group was in conflict; it is to be sent again.

    Examples
    --------
    >>> writes = [tables.Write("a", 1, 0), tables.Write("b", 1, 0)]
    >>> row = tables.Row("b", 2, 7)
    >>> split(writes, tables.Conflict((row,)))
    [None, Conflict(rows=(Row(key='b', value=2, version=7),))]
    >>> split(writes, tables.Written((3, 4)))
    [Written(versions=(3,)), Written(versions=(4,))]
    """
    if isinstance(result, tables.Written):
        return [tables.Written((version,)) for version in result.versions]
    if isinstance(result, kinds.Failure):
        return [result] * len(writes)
    stale = {row.key: tables.Conflict((row,)) for row in result.rows}
    return [stale.get(write.key) for write in writes]


class Groups:
    """Sends one transaction at a time; what comes meanwhile is the next.

    Parameters
    ----------
    write : coroutine function
        Takes writes, returns Written, Conflict or Failure.
    spawn : callable
        Runs a coroutine in the background.
    most : int
        Writes in one transaction; 1 for no grouping.

    Notes
    -----
    There is no waiting while the store is quick, and no group either: a
    write that finds no transaction under way leaves at once.  A store
    near its limit answers later, so groups grow by themselves.
    """

    def __init__(self, *, write, spawn, most):
        self._write = write
        self._spawn = spawn
        self._most = most
        self._queue = []
        self._running = False

    async def write(self, write):
        """Write one row; see `Table.write`."""
        if self._most == 1:
            return await self._write(write)
        future = asyncio.get_running_loop().create_future()
        self._queue.append(_Waiting(write, future))
        if not self._running:
            self._running = True
            self._spawn(self._send_all(), name="write records")
        return await future

    async def _send_all(self):
        try:
            while self._queue:
                await self._send(self._take())
        finally:
            self._running = False

    async def _send(self, group):
        writes = [item.write for item in group]
        try:
            result = await self._write(*writes)
        except Exception as err:
            # An answer nobody foresaw.  Without this all requests of the
            # group would wait for ever, each holding a slot.
            logger.opt(exception=err).error("write of records failed")
            result = kinds.Failure(kinds.Kind.STORE_AWAY, repr(err), sent=True)
        results = split(writes, result)
        again = []
        for item, result in zip(group, results, strict=True):
            if result is None:
                again.append(item)
            elif not item.future.done():
                item.future.set_result(result)
        self._queue[:0] = again

    def _take(self):
        group, rest, seen = [], [], set()
        for item in self._queue:
            # Two writes of one key in one transaction would be judged by
            # the same version, and one of them lost.
            if len(group) < self._most and item.write.key not in seen:
                seen.add(item.write.key)
                group.append(item)
            else:
                rest.append(item)
        self._queue = rest
        return group
