"""Jobs on their way through all their stages."""

import asyncio

import pytest

from sycamoreshed.catalog import types
from sycamoreshed.forwarding import budget
from sycamoreshed.staging import coordinator
from sycamoreshed.staging import pieces
from sycamoreshed.staging.tests import builders
from testkit import journals


class Batcher:
    """Makes pieces by a script, and keeps what is given up."""

    def __init__(self, name, script):
        self.service = types.Service(name, "/", 9, None, builders.spec())
        self.places = 1
        self.held_bytes = 0
        self.freed = []
        self.calls = 0
        self._script = script

    async def make(self, _plan, wanted, _size):
        """Make pieces, after a moment."""
        self.calls += 1
        await asyncio.sleep(0.01)
        return [self._script(piece) for piece in wanted]

    def free(self, results):
        """Keep what is given up."""
        self.freed += [held.handle for held in results]

    def wake(self):
        """Do nothing."""


def made(piece):
    """Return a result that names its piece."""
    handle = f"{piece.stage}/{piece.index}"
    return pieces.Result(pieces.Held(handle, "e"), None, sent=True)


def failed(_piece):
    """Return no result."""
    return pieces.Result(None, "gone", sent=True)


def zone(**scripts):
    """Return a coordinator, and its batchers by service."""
    found = {name: Batcher(name, each) for name, each in scripts.items()}
    result = coordinator.Coordinator(
        zone="north-a",
        services=lambda name: found[name].service if name in found else None,
        endpoints=lambda _name, _now: [builders.endpoint("e")],
        make_batcher=lambda service, _endpoints, _plans: found[service.name],
        budget=budget.RetryBudget(ratio=1.0, slack=9, window_s=10),
        instances=lambda: 1,
        journal=journals.Journal(),
        clock=asyncio.get_running_loop().time,
    )
    return result, found


def job(*stages):
    """Return a job; a stage is its service, what it is after, its count."""
    works = [
        pieces.StageWork(service, after, count, 10)
        for service, after, count in stages
    ]
    return pieces.Job("r", works, "key", 5.0, 6.0, 9.0, None, 0, 0)


async def test_results_of_final_stages_in_order():
    """Results that only other stages took are freed on the way."""
    found, batchers = zone(first=made, second=made)
    done = await found.run(job(("first", (), 2), ("second", (0,), 2)))
    assert [held.handle for held in done.results] == ["1/0", "1/1"]
    assert sorted(batchers["first"].freed) == ["0/0", "0/1"]
    assert not batchers["second"].freed


async def test_a_branch_that_fails_ends_the_others():
    """One of two branches fails while the next stage waits for the other.

    The wait is cancelled; the coordinator must not break with it, or the
    instance that asked sees its connection closed instead of an answer.
    """
    found, batchers = zone(bad=failed, first=made, second=made)
    done = await found.run(
        job(("bad", (), 1), ("first", (), 2), ("second", (1,), 1))
    )
    assert done.results is None
    assert done.why == "gone"
    assert not done.is_late
    await asyncio.sleep(0.05)
    assert sorted(batchers["first"].freed) == ["1/0", "1/1"]


async def test_only_pieces_that_are_missing_are_asked_for_again():
    """An endpoint fails one of three pieces, once."""
    seen = []

    def flaky(piece):
        seen.append(piece.index)
        if piece.index == 1 and seen.count(1) == 1:
            return pieces.Result(None, "error", sent=True)
        return made(piece)

    found, _ = zone(first=flaky)
    done = await found.run(job(("first", (), 3)))
    assert len(done.results) == 3
    assert seen == [0, 1, 2, 1]


async def test_stages_without_pieces_are_left_out():
    found, batchers = zone(first=made, second=made)
    done = await found.run(job(("first", (), 0), ("second", (), 1)))
    assert [held.handle for held in done.results] == ["1/0"]
    assert not batchers["first"].calls


async def test_who_asked_and_left_gets_no_results():
    """The caller hangs up while the second stage is worked on."""
    found, batchers = zone(first=made, second=made)
    task = asyncio.create_task(
        found.run(job(("first", (), 1), ("second", (0,), 1)))
    )
    await asyncio.sleep(0.015)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    await asyncio.sleep(0.05)
    assert batchers["first"].freed == ["0/0"]
