"""Group commit, against a table whose answers the test releases."""

import asyncio

from sycamoreshed.adapters import table as tables
from sycamoreshed.errors import kinds
from sycamoreshed.idempotency import groups

LOST = kinds.Failure(kinds.Kind.STORE_AWAY, "", sent=True)


class SlowTable:
    """Holds each transaction until the test answers it."""

    def __init__(self):
        self.calls = asyncio.Queue()

    async def write(self, *writes):
        answer = asyncio.get_running_loop().create_future()
        self.calls.put_nowait((writes, answer))
        return await answer


def start_writes(part, *keys):
    return [
        asyncio.ensure_future(part.write(tables.Write(key, number, 0)))
        for number, key in enumerate(keys)
    ]


def spawn(coro, name):
    return asyncio.ensure_future(coro)


async def test_conflicting_write_is_removed_and_the_others_resent():
    """Two members use one key while others vote at the same moment.

    The store rejects the whole transaction, so the other votes would fail
    with a conflict of another key.
    """
    table = SlowTable()
    part = groups.WriteGroups(write=table.write, spawn=spawn, max_size=8)
    first = start_writes(part, "a")
    writes, answer = await table.calls.get()
    assert [write.key for write in writes] == ["a"]
    later = start_writes(part, "b", "c", "b")
    await asyncio.sleep(0)
    answer.set_result(tables.Written((1,)))
    writes, answer = await table.calls.get()
    assert [write.key for write in writes] == ["b", "c"]
    row = tables.Row("b", "x", 9)
    answer.set_result(tables.Conflict((row,)))
    writes, answer = await table.calls.get()
    assert [write.key for write in writes] == ["c", "b"]
    answer.set_result(tables.Written((2, 3)))
    results = await asyncio.gather(*first, *later)
    assert results == [
        tables.Written((1,)),
        tables.Conflict((row,)),
        tables.Written((2,)),
        tables.Written((3,)),
    ]


async def test_lost_answer_is_reported_to_each_write():
    """The answer to a transaction is lost; each request must read its row."""
    table = SlowTable()
    part = groups.WriteGroups(write=table.write, spawn=spawn, max_size=2)
    tasks = start_writes(part, "a", "b", "c")
    for _ in range(2):
        _, answer = await table.calls.get()
        answer.set_result(LOST)
    assert await asyncio.gather(*tasks) == [LOST] * 3


async def test_unexpected_answer_ends_the_wait():
    """The adapter raises on an unexpected answer of the store.

    All requests with a write in the group would hang.
    """
    table = SlowTable()
    part = groups.WriteGroups(write=table.write, spawn=spawn, max_size=8)
    tasks = start_writes(part, "a")
    _, answer = await table.calls.get()
    answer.set_exception(KeyError("versions"))
    (result,) = await asyncio.gather(*tasks)
    assert result.sent
    tasks = start_writes(part, "b")
    _, answer = await table.calls.get()
    answer.set_result(tables.Written((1,)))
    assert await asyncio.gather(*tasks) == [tables.Written((1,))]
