"""The store behind its breaker, against a table that can be away."""

import asyncio

import prometheus_client

from sycamoreshed.adapters import table as tables
from sycamoreshed.errors import kinds
from sycamoreshed.idempotency import breaker
from sycamoreshed.idempotency import store as stores

LOST = kinds.Failure(kinds.Kind.STORE_AWAY, "", sent=True)


class SwitchedTable:
    """Answers as told; notes the keys it was asked for."""

    def __init__(self):
        self.answer = LOST
        self.keys = []

    async def read(self, key):
        self.keys.append(key)
        return self.answer

    async def write(self, *writes):
        self.keys += [write.key for write in writes]
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer


def make(table):
    registry = prometheus_client.CollectorRegistry()
    return stores.Store(
        table=table,
        breaker=breaker.Breaker(failures=2),
        calls=prometheus_client.Counter(
            "calls", "", ["result"], registry=registry
        ),
        spawn=lambda coro, name: asyncio.ensure_future(coro),
        group=1,
    )


async def until(func):
    async with asyncio.timeout(30):
        while not func():
            await asyncio.sleep(0.001)


async def test_requests_do_not_try_a_store_that_is_away(monkeypatch):
    """The store is down; it comes back with an answer nobody foresaw first.

    Ballots are refused without asking it, until it takes writes again.
    """
    monkeypatch.setattr(stores, "PROBE_S", 0.001)
    table = SwitchedTable()
    part = make(table)
    for _ in range(2):
        assert await part.read("k") == LOST
    assert part.away
    for _ in range(5):
        refused = await part.write(tables.Write("k", 1, 0))
        assert not refused.sent
        assert refused.retry_after
    assert table.keys.count("k") == 2
    table.answer = KeyError("versions")
    tried = len(table.keys)
    await until(lambda: len(table.keys) > tried + 2)
    assert part.away
    table.answer = tables.Conflict(())
    await until(lambda: not part.away)
    assert set(table.keys) == {"k", stores.PROBE_KEY}
    assert await part.read("k") == tables.Conflict(())


class UnheardTable:
    """Takes writes and loses their answers; answers reads."""

    def __init__(self):
        self.rows = {}
        self.writes = 0

    async def read(self, key):
        value, version = self.rows.get(key, (None, tables.ABSENT))
        return tables.Row(key, value, version)

    async def write(self, *writes):
        for write in writes:
            row = await self.read(write.key)
            if row.version == write.if_version:
                self.writes += 1
                self.rows[write.key] = (write.value, self.writes)
        return LOST


async def test_a_store_that_takes_writes_unheard_is_used_again(monkeypatch):
    """The breaker must not stay open while writes take effect.

    All answers to writes are lost, the probe's too; ballots would be
    refused for as long as that lasts.
    """
    monkeypatch.setattr(stores, "PROBE_S", 0.001)
    part = make(UnheardTable())
    for _ in range(2):
        assert await part.write(tables.Write("k", 1, 0)) == LOST
    assert part.away
    assert part.readable
    assert (await part.read("k")).value == 1
    await until(lambda: not part.away)


async def test_a_store_that_refuses_writes_is_not_taken_to_act(monkeypatch):
    """A probe must not take a lost answer for a write that had effect.

    Ballots would be let in, each to wait for the store in vain.
    """
    monkeypatch.setattr(stores, "PROBE_S", 0.001)
    table = UnheardTable()
    part = make(table)
    for _ in range(2):
        await part.write(tables.Write("k", 1, 0))
    table.rows.clear()
    tried = 0

    async def write(*_writes):
        nonlocal tried
        tried += 1
        return LOST

    table.write = write
    await until(lambda: tried > 6)
    assert part.away
