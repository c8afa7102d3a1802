"""Sweeping records, against a table in memory."""

from sycamoreshed.adapters import table as tables
from sycamoreshed.idempotency import decide
from sycamoreshed.idempotency import sweep

NOW = 1000.0


class MemoryStore:
    """Rows with versions; `touch` changes a row before a delete."""

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
    return sweep.Sweeper(store=store, ttl_s=100.0, wall=lambda: NOW)


async def test_only_old_records_that_ended_are_deleted():
    """A record that says begun is days old, its instance paused.

    Deleted, it would let the same vote be cast again.
    """
    rows = {
        "once/a": record(decide.State.DONE, 0.0),
        "once/b": record(decide.State.BEGUN, 0.0),
        "once/c": record(decide.State.NOT_RUN, 0.0),
        "once/d": record(decide.State.DONE, 950.0),
        "other": record(decide.State.DONE, 0.0),
    }
    store = MemoryStore(rows)
    assert await sweeper(store).step()
    assert sorted(store.rows) == ["once-sweep", "once/b", "once/d", "other"]
    assert store.transactions == 2
    assert not await sweeper(store).step()


async def test_a_record_that_changes_meanwhile_is_left():
    """A key is used again just as its old record is swept."""
    rows = {
        "once/a": record(decide.State.NOT_RUN, 0.0),
        "once/b": record(decide.State.DONE, 0.0),
    }
    store = MemoryStore(rows, touch="once/a")
    assert await sweeper(store).step()
    assert sorted(store.rows) == ["once-sweep", "once/a"]


async def test_pages_follow_each_other(monkeypatch):
    monkeypatch.setattr(sweep, "PAGE", 2)
    rows = {f"once/{n}": record(decide.State.DONE, 0.0) for n in range(5)}
    store = MemoryStore(rows)
    part = sweeper(store)
    for left in (3, 1, 0):
        cursor = await store.read(sweep.CURSOR)
        if cursor.value is not None:
            cursor.value["at"] = 0.0
        assert await part.step()
        assert len(await store.scan("once/", after="", limit=9)) == left
    assert (await store.read(sweep.CURSOR)).value["after"] == ""
