"""Copies that are confirmed at the store."""

import asyncio

import pytest

from sycamoreshed.adapters import positions
from sycamoreshed.catalog import confirming
from sycamoreshed.catalog import replica
from sycamoreshed.catalog import tablereads
from sycamoreshed.errors import kinds
from testkit import journals

AWAY = kinds.Failure(kinds.Kind.STORE_AWAY, "no answer in time")


class _Store:
    """A store with one table, whose version is that of its last change."""

    def __init__(self, *, version=9, failure=None, has_history=True):
        self.version = version
        self.reads = 0
        self._failure = failure
        self._has_history = has_history

    async def wait_for_changes(self, _table, after, *, wait_s, slack_s):
        """Return the changes after a version at once."""
        assert wait_s == 0.0 < slack_s
        self.reads += 1
        version = self.version
        await asyncio.sleep(0.01)
        if not self._has_history:
            return tablereads.HistoryGone()
        rows = [tablereads.Row("k", b"new", version)] * (version > after)
        return self._failure or tablereads.Changes(rows, version, False)

    async def read(self, _table, *, timeout):
        """Return all rows."""
        assert timeout > 0
        rows = [tablereads.Row("k", b"new", self.version)]
        return self._failure or tablereads.Changes(rows, self.version, True)


class _Catalog:
    """One copy, confirmed at some position."""

    def __init__(self, *, has_copy=True):
        self.copy = replica.Replica()
        self.confirmed = None
        if has_copy:
            self.copy.replace({"k": b"old"}, positions.Position(0, 7))

    def replica(self, _table):
        """Return the only copy."""
        return self.copy

    def replace(self, _table, rows, position, _now, *, source):
        """Install a full copy."""
        assert source == "store"
        self.copy.replace(rows, position)

    def apply(self, _table, rows, since, position, _now, *, source):
        """Apply changes."""
        assert source == "store"
        self.copy.apply(rows, since, position)

    def mark_current(self, _table, position, _at):
        """Record that the copy is current."""
        self.confirmed = position


def confirmation(store, catalog):
    """Return a `Confirmation` of one table."""
    return confirming.Confirmation(
        tables={"endpoints": "servers"},
        store=store,
        catalog=catalog,
        journal=journals.Journal(),
        clock=lambda: 0.0,
    )


@pytest.mark.parametrize("has_history", [True, False])
def test_copy_has_what_was_written_before(has_history):
    """A change that the copy lacks is taken, also without its history."""
    catalog = _Catalog()
    store = _Store(has_history=has_history)
    assert asyncio.run(confirmation(store, catalog).confirm())
    assert catalog.copy.rows == {"k": b"new"}
    assert catalog.confirmed == positions.Position(0, 9)


@pytest.mark.parametrize(
    "store, catalog",
    [(_Store(failure=AWAY), _Catalog()), (_Store(), _Catalog(has_copy=False))],
    ids=["store away", "no copy"],
)
def test_copy_is_not_confirmed(store, catalog):
    """A store that does not answer says nothing of what the copy lacks."""
    assert not asyncio.run(confirmation(store, catalog).confirm())


def test_calls_during_a_read_share_the_next_one():
    """What was written after a read began need not be in its answer."""

    async def scenario():
        store, catalog = _Store(version=7), _Catalog()
        confirmed = confirmation(store, catalog)
        first = asyncio.create_task(confirmed.confirm())
        await asyncio.sleep(0.005)
        store.version = 9
        assert all(
            await asyncio.gather(*(confirmed.confirm() for _ in range(5)))
        )
        await first
        return store.reads, catalog.copy.rows

    assert asyncio.run(scenario()) == (2, {"k": b"new"})
