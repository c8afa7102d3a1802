import asyncio
import types

import msgspec

from sycamoreshed.catalog import signals
from sycamoreshed.errors import kinds
from sycamoreshed.findings import board
from sycamoreshed.findings import stored
from sycamoreshed.findings.tests import builders
from testkit import journals
from testkit import virtualtime

DAY_MS = 86_400_000


class Store:
    """A store that fails a number of calls first."""

    def __init__(self, *, failures=0):
        self._failures = failures
        self.rows = {}

    async def put(self, _table, key, value, *, timeout):
        """Write a row."""
        if self._failures:
            self._failures -= 1
            return kinds.Failure(kinds.Kind.STORE_AWAY, "busy")
        self.rows[key.removeprefix("finding/")] = value
        return None

    async def remove(self, _table, key, *, timeout):
        """Remove a row."""
        del self.rows[key.removeprefix("finding/")]


class Instance:
    """An instance that sees the rows of a store as they are."""

    def __init__(self, store, *, unix_ms=DAY_MS):
        self.board = board.Board()
        self.journal = journals.Journal()
        loop = asyncio.get_running_loop()
        catalog = types.SimpleNamespace(
            findings=store.rows, is_ready=True, changed=signals.Signal()
        )
        self.stored = stored.StoredFindings(
            board=self.board,
            catalog=catalog,
            peers=types.SimpleNamespace(of_zone=lambda *_: {"own": "own"}),
            store=store,
            table="t",
            own="own",
            zone="north-a",
            journal=self.journal,
            clock=loop.time,
            unix_ms=lambda: unix_ms + int(loop.time() * 1000),
        )


def test_finding_is_written_once_the_store_takes_it():
    """A finding was lost that was made while the store was down."""

    async def scenario():
        store = Store(failures=3)
        each = Instance(store)
        saving = asyncio.create_task(each.stored.run_saving())
        name = builders.LASTING.name
        made = each.board.add(name, "k", 1, now=0.0, unix_ms=DAY_MS)
        each.stored.save([made])
        await asyncio.sleep(10.0)
        saving.cancel()
        later = Instance(store, unix_ms=DAY_MS + 60_000)
        later.stored.load()
        return store.rows, later.board.find(name, "k", 10.0)

    rows, entry = virtualtime.run(scenario())
    assert list(rows) == ["test-lasting/k"]
    # Found a minute before the other instance started.
    assert round(entry.at) == -60


def test_rows_that_expired_or_cannot_be_read_are_removed():
    """Rows of findings stayed in the store for ever."""

    async def scenario():
        store = Store()
        store.rows["test-lasting/old"] = msgspec.json.encode([1, 1, 0])
        store.rows["test-lasting/bad"] = b"no row"
        store.rows["test-lasting/new"] = msgspec.json.encode([1, 1, DAY_MS])
        five_minutes_ago = msgspec.json.encode([1, 1, DAY_MS - 300_000])
        store.rows["test-lasting/kept"] = five_minutes_ago
        store.rows["test-passing/short"] = five_minutes_ago
        store.rows["not-known/kept"] = five_minutes_ago
        each = Instance(store)
        each.stored.load()
        checking = asyncio.create_task(each.stored.run_checking())
        await asyncio.sleep(2 * stored.CHECK_INTERVAL_S[1])
        checking.cancel()
        return store.rows, each.board.entries(builders.LASTING.name, 0.0)

    rows, entries = virtualtime.run(scenario())
    assert set(rows) == {
        "test-lasting/new",
        "test-lasting/kept",
        "not-known/kept",
    }
    assert set(entries) == {"new", "kept"}


def test_finding_is_written_for_an_instance_that_went_away():
    """A finding was lost with the instance that could not write it."""

    async def scenario():
        store = Store()
        each = Instance(store)
        found = board.Finding(builders.LASTING.name, "k", 1, 1, 0.0)
        passing = board.Finding(builders.PASSING.name, "k", 1, 1, 0.0)
        each.board.merge([found, passing], 0.0)
        tasks = [
            asyncio.create_task(run)
            for run in (each.stored.run_saving(), each.stored.run_checking())
        ]
        await asyncio.sleep(2 * stored.CHECK_INTERVAL_S[1])
        for task in tasks:
            task.cancel()
        return store.rows

    assert list(virtualtime.run(scenario())) == ["test-lasting/k"]


def test_finding_replaces_an_older_one_of_a_store_that_came_back():
    """An instance that started then learned what no longer held."""

    async def scenario():
        store = Store()
        store.rows["test-lasting/k"] = msgspec.json.encode(["old", 1, DAY_MS])
        each = Instance(store)
        newer = board.Finding(builders.LASTING.name, "k", "new", 2, 0.0)
        each.board.merge([newer], 0.0)
        tasks = [
            asyncio.create_task(run)
            for run in (each.stored.run_saving(), each.stored.run_checking())
        ]
        await asyncio.sleep(2 * stored.CHECK_INTERVAL_S[1])
        for task in tasks:
            task.cancel()
        return msgspec.json.decode(store.rows["test-lasting/k"])

    value, stamp, _ = virtualtime.run(scenario())
    assert (value, stamp) == ("new", 2)
