"""Writes records again that the table service has lost."""

import asyncio
import collections
import typing

from loguru import logger

from sycamoreshed.adapters import positions
from sycamoreshed.adapters import table as tables
from sycamoreshed.errors import kinds
from sycamoreshed.idempotency import decide
from sycamoreshed.idempotency import settling

__all__ = ["RecentRecords", "Rewriter"]

# The service loses some seconds; records made earlier are in its copy.
REMEMBERED_S = 60.0
MAX_RECORDS = 2000
# Records written at a time, so that others' calls are served in between.
MAX_CONCURRENT = 20


class _Recent(typing.NamedTuple):
    record: decide.Record
    version: int
    at: float


class RecentRecords:
    """The records that this instance wrote last, in bounded number.

    Examples
    --------
    >>> recent = RecentRecords()
    >>> recent.add("k", {"state": "begun"}, 7, now=5.0)
    >>> recent.of_earlier_eras(1, now=6.0)
    {'k': {'state': 'begun'}}
    >>> recent.of_earlier_eras(0, now=6.0)
    {}
    """

    def __init__(self):
        self._records = collections.OrderedDict()

    def add(self, key, record, version, *, now):
        """Remember a record, and the version of its row."""
        self._records.pop(key, None)
        self._records[key] = _Recent(record, version, now)
        while len(self._records) > MAX_RECORDS or self._is_oldest_over(now):
            self._records.popitem(last=False)

    def of_earlier_eras(self, era, *, now):
        """Return the records written before an era, by key."""
        return {
            key: each.record
            for key, each in self._records.items()
            if now - each.at < REMEMBERED_S
            and positions.unpack(each.version).era < era
        }

    def _is_oldest_over(self, now):
        oldest = next(iter(self._records.values()))
        return now - oldest.at >= REMEMBERED_S


class Rewriter:
    """Writes this instance's recent records after a change of era.

    Parameters
    ----------
    table : Table
    store : Store
    recent : RecentRecords
    clock : callable
        Returns monotonic seconds.
    spawn : callable
        Runs a coroutine in the background.
    """

    def __init__(self, *, table, store, recent, clock, spawn):
        self._table = table
        self._store = store
        self._recent = recent
        self._clock = clock
        self._spawn = spawn
        table.on_restored(self._on_restored)

    def _on_restored(self):
        # Listed at once: the call that told of the era may have claimed a
        # key, which replaces the record that was lost.
        records = self._recent.of_earlier_eras(
            self._table.era, now=self._clock()
        )
        self._spawn(self._rewrite_all(records), name="write records again")

    async def _rewrite_all(self, records):
        limit = asyncio.Semaphore(MAX_CONCURRENT)
        written = await asyncio.gather(
            *(
                self._rewrite(key, record, limit)
                for key, record in records.items()
            )
        )
        logger.bind(records=len(records), written=sum(written)).warning(
            "records written again"
        )

    async def _rewrite(self, key, record, limit):
        """Write one record unless the row is as new; return whether it was."""
        end = self._clock() + REMEMBERED_S
        for pause in settling.backoff_pauses():
            async with limit:
                is_over, was_written = await self._rewrite_once(key, record)
            if is_over or self._clock() >= end:
                return was_written
            await asyncio.sleep(pause)

    async def _rewrite_once(self, key, record):
        row = await self._store.read(key)
        if isinstance(row, kinds.Failure):
            return False, False
        step = decide.after_loss(row, record)
        if step is not decide.Step.CLAIM_AGAIN:
            return step is decide.Step.REFUSE, False
        write = tables.Write(key, record, row.version)
        result = await self._store.write(write)
        is_written = isinstance(result, tables.Written)
        return is_written, is_written
