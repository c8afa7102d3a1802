"""Sweeping of expired records, against an in-memory table."""

from sycamoreshed.adapters import table as tables
from sycamoreshed.idempotency import decide
from sycamoreshed.idempotency import sweep

NOW = 1000.0


class MemoryStore:
    """Versioned rows; the row `touch` is changed before its delete."""

    def __init__(self, rows, touch=None):
        self.rows = {key: tables.Row(key, v, 1) for key, v in rows.items()}
        self.touch = touch
        self.transactions = 0

    async def read(self, key):
        return self.rows.get(key, tables.Row(key, None, tables.ABSENT))

    async def scan(self, prefix, *, after, limit):
        keys = sorted(
            key for key in self.rows if key.startswith(prefix) and key > after
        )
        return [self.rows[key] for key in keys[:limit]]

    async def write(self, write):
        return await self.write_all(write)

    async def write_all(self, *writes):
        self.transactions += 1
        if self.touch in [write.key for write in writes]:
            row = self.rows[self.touch]
            self.rows[self.touch] = row._replace(version=row.version + 1)
            self.touch = None
        stale = []
        for write in writes:
            row = await self.read(write.key)
            if row.version != write.if_version:
                stale.append(row)
        if stale:
            return tables.Conflict(tuple(stale))
        for write in writes:
            row = tables.Row(write.key, write.value, write.if_version + 1)
            self.rows[write.key] = row
            if write.value is None:
                del self.rows[write.key]
        return tables.Written((0,) * len(writes))


def record(state, at):
    return {"state": state, "at": at}


def sweeper(store):
    return sweep.Sweeper(store=store, ttl_s=100.0, wall_clock=lambda: NOW)


async def test_only_expired_settled_records_are_deleted():
    """A record in state begun is days old because its instance is paused.

    If it were deleted, the same vote could be cast again.
    """
    rows = {
        "once/a": record(decide.State.DONE, 0.0),
        "once/b": record(decide.State.BEGUN, 0.0),
        "once/c": record(decide.State.NOT_RUN, 0.0),
        "once/d": record(decide.State.DONE, 950.0),
        "other": record(decide.State.DONE, 0.0),
    }
    store = MemoryStore(rows)
    assert await sweeper(store).sweep_page()
    assert sorted(store.rows) == ["once-sweep", "once/b", "once/d", "other"]
    assert store.transactions == 2
    assert not await sweeper(store).sweep_page()


async def test_concurrently_changed_record_is_kept():
    """A key is used again while its old record is being swept."""
    rows = {
        "once/a": record(decide.State.NOT_RUN, 0.0),
        "once/b": record(decide.State.DONE, 0.0),
    }
    store = MemoryStore(rows, touch="once/a")
    assert await sweeper(store).sweep_page()
    assert sorted(store.rows) == ["once-sweep", "once/a"]


async def test_pages_are_swept_in_order(monkeypatch):
    monkeypatch.setattr(sweep, "PAGE_ROWS", 2)
    rows = {f"once/{n}": record(decide.State.DONE, 0.0) for n in range(5)}
    store = MemoryStore(rows)
    part = sweeper(store)
    for remaining in (3, 1, 0):
        cursor = await store.read(sweep.CURSOR_KEY)
        if cursor.value is not None:
            cursor.value["at"] = 0.0
        assert await part.sweep_page()
        assert len(await store.scan("once/", after="", limit=9)) == remaining
    assert (await store.read(sweep.CURSOR_KEY)).value["after"] == ""
