"""Grouping of writes, against a table that answers when told."""

import asyncio

from sycamoreshed.adapters import table as tables
from sycamoreshed.errors import kinds
from sycamoreshed.idempotency import groups

LOST = kinds.Failure(kinds.Kind.STORE_AWAY, "", sent=True)


class SlowTable:
    """Keeps each transaction until the test answers it."""

    def __init__(self):
        self.calls = asyncio.Queue()

    async def write(self, *writes):
        answer = asyncio.get_running_loop().create_future()
        self.calls.put_nowait((writes, answer))
        return await answer


def begin(part, *keys):
    return [
        asyncio.ensure_future(part.write(tables.Write(key, number, 0)))
        for number, key in enumerate(keys)
    ]


def spawn(coro, name):
    return asyncio.ensure_future(coro)


async def test_a_conflict_is_taken_out_and_the_rest_sent_again():
    """Two members use one key; others vote at the same moment.

    The store refuses the whole transaction, and the others' votes would
    hear of a conflict that is not theirs.
    """
    table = SlowTable()
    part = groups.Groups(write=table.write, spawn=spawn, most=8)
    first = begin(part, "a")
    writes, answer = await table.calls.get()
    assert [write.key for write in writes] == ["a"]
    later = begin(part, "b", "c", "b")
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


async def test_a_lost_answer_is_lost_to_each():
    """The answer to a transaction is lost; each request has to read back."""
    table = SlowTable()
    part = groups.Groups(write=table.write, spawn=spawn, most=2)
    tasks = begin(part, "a", "b", "c")
    for _ in range(2):
        _, answer = await table.calls.get()
        answer.set_result(LOST)
    assert await asyncio.gather(*tasks) == [LOST] * 3


async def test_an_answer_nobody_foresaw_ends_the_wait():
    """The store answers with something the adapter does not know.

    All requests whose writes were in the group would hang.
    """
    table = SlowTable()
    part = groups.Groups(write=table.write, spawn=spawn, most=8)
    tasks = begin(part, "a")
    _, answer = await table.calls.get()
    answer.set_exception(KeyError("versions"))
    (result,) = await asyncio.gather(*tasks)
    assert result.sent
    tasks = begin(part, "b")
    _, answer = await table.calls.get()
    answer.set_result(tables.Written((1,)))
    assert await asyncio.gather(*tasks) == [tables.Written((1,))]
