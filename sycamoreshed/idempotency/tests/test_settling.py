"""Settling of records while the store loses the answers to writes."""

import asyncio

import pytest

from sycamoreshed.adapters import table as tables
from sycamoreshed.errors import kinds
from sycamoreshed.idempotency import settling

LOST = kinds.Failure(kinds.Kind.STORE_AWAY, "", sent=True)
RECORD = {"state": "begun", "attempt": "a", "body": "x"}
DONE = settling.done_record(RECORD, "{}", 200)
OTHER_ATTEMPT = {**RECORD, "attempt": "b"}


class Store:
    """Loses the answers to writes; returns the given rows one by one."""

    def __init__(self, rows):
        self._rows = list(rows)
        self.writes = []
        self.confirmed = 0

    async def write(self, write):
        self.writes.append(write)
        return LOST

    async def read(self, _key):
        return self._rows.pop(0)

    def report_write_applied(self):
        self.confirmed += 1

    def remember(self, _row):
        """Ignore what would be written again."""


def row(value, version):
    return tables.Row("k", value, version)


@pytest.mark.parametrize(
    ("rows", "writes", "confirmed"),
    [
        ([row(DONE, 8)], 1, 1),
        ([LOST, row(DONE, 8)], 2, 1),
        ([row(RECORD, 7), row(DONE, 8)], 2, 1),
        ([row(None, 0), row(DONE, 8)], 2, 1),
        ([row(RECORD, 8), row(DONE, 9)], 2, 1),
        ([row(OTHER_ATTEMPT, 8)], 1, 0),
    ],
    ids=["done", "unread", "no effect", "old row", "claimed anew", "others'"],
)
async def test_record_is_settled_after_reading_it(rows, writes, confirmed):
    """An answer must not stay unrecorded because of a stale row.

    Nor may it be written again without end if it is already recorded.
    """
    store = Store(rows)
    part = settling.Settler(
        store=store,
        clock=asyncio.get_running_loop().time,
        spawn=lambda coro, name: asyncio.ensure_future(coro),
    )
    claim = settling.Claim("k", RECORD, 7)
    async with asyncio.timeout(30):
        replay = await part.finish(claim, "{}", 200, deadline=0.0)
        await part.flush()
    assert replay == settling.Replay("{}", 200)
    assert part.pending == 0
    assert part.unstored_record("k") is None
    assert len(store.writes) == writes
    assert store.confirmed == confirmed
