"""The store behind its breakers, against a table that can fail."""

import asyncio

import prometheus_client

from sycamoreshed.adapters import table as tables
from sycamoreshed.errors import kinds
from sycamoreshed.idempotency import breaker
from sycamoreshed.idempotency import store as stores

LOST = kinds.Failure(kinds.Kind.STORE_AWAY, "", sent=True)


class SwitchedTable:
    """Returns a settable answer; records the keys of its calls."""

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
        breaker=breaker.Breaker(failure_threshold=2),
        calls=prometheus_client.Counter(
            "calls", "", ["result"], registry=registry
        ),
        spawn=lambda coro, name: asyncio.ensure_future(coro),
        max_group_size=1,
    )


async def wait_until(func):
    async with asyncio.timeout(30):
        while not func():
            await asyncio.sleep(0.001)


async def test_requests_do_not_call_an_unavailable_store(monkeypatch):
    """The store is down, and first recovers with an unexpected answer.

    Ballots are rejected without a call until it accepts writes again.
    """
    monkeypatch.setattr(stores, "PROBE_INTERVAL_S", 0.001)
    table = SwitchedTable()
    part = make(table)
    for _ in range(2):
        assert await part.read("k") == LOST
    assert part.is_unavailable
    for _ in range(5):
        rejection = await part.write(tables.Write("k", 1, 0))
        assert not rejection.sent
        assert rejection.retry_after
    assert table.keys.count("k") == 2
    table.answer = KeyError("versions")
    call_count = len(table.keys)
    await wait_until(lambda: len(table.keys) > call_count + 2)
    assert part.is_unavailable
    table.answer = tables.Conflict(())
    await wait_until(lambda: not part.is_unavailable)
    assert set(table.keys) == {"k", stores.PROBE_KEY}
    assert await part.read("k") == tables.Conflict(())


class LossyTable:
    """Applies writes but loses their answers; answers reads."""

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


async def test_store_that_applies_writes_is_used_again(monkeypatch):
    """The breaker must not stay open while writes take effect.

    All answers to writes are lost, also those to probes; ballots would be
    rejected for as long as that lasts.
    """
    monkeypatch.setattr(stores, "PROBE_INTERVAL_S", 0.001)
    part = make(LossyTable())
    for _ in range(2):
        assert await part.write(tables.Write("k", 1, 0)) == LOST
    assert part.is_unavailable
    assert part.is_readable
    assert (await part.read("k")).value == 1
    await wait_until(lambda: not part.is_unavailable)


async def test_store_that_applies_no_writes_stays_unavailable(monkeypatch):
    """A probe must not count a lost answer as a write that took effect.

    Ballots would be admitted, and each would wait for the store in vain.
    """
    monkeypatch.setattr(stores, "PROBE_INTERVAL_S", 0.001)
    table = LossyTable()
    part = make(table)
    for _ in range(2):
        await part.write(tables.Write("k", 1, 0))
    table.rows.clear()
    call_count = 0

    async def write(*_writes):
        nonlocal call_count
        call_count += 1
        return LOST

    table.write = write
    await wait_until(lambda: call_count > 6)
    assert part.is_unavailable
