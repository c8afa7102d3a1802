"""Slots, refusals and what wakes a waiting request."""

import asyncio

import pytest

from sycamoreshed.admission import fairqueue
from sycamoreshed.admission import gate as gates
from sycamoreshed.admission import limiters
from sycamoreshed.errors import kinds


def entry(number, team="a", give_up=1e9):
    return fairqueue.Entry(
        str(number), team, "p", 1.0, (1, 0.0, number), give_up
    )


def make(slots=1, most=4, clock=lambda: 0.0):
    return gates.Gate(
        queue=fairqueue.WeightedFair(),
        limiter=limiters.Fixed(most=slots),
        most=most,
        clock=clock,
    )


async def waiting(gate, *entries):
    tasks = []
    for item in entries:
        tasks.append(asyncio.create_task(gate.acquire(item, 5.0, 0.0)))
        await asyncio.sleep(0)
    return tasks


async def measure(gate, seconds):
    ticket = await gate.acquire(entry(0), 5.0, 0.0)
    gate.release(ticket, seconds)


async def test_slots_are_given_back_and_passed_on():
    gate = make(slots=2)
    tasks = await waiting(gate, *(entry(n) for n in range(4)))
    assert (gate.running, gate.waiting) == (2, 2)
    gate.release(await tasks[0], 0.1)
    assert isinstance(await tasks[2], gates.Ticket)
    assert (gate.running, gate.waiting) == (2, 1)


async def test_caller_that_goes_away_frees_its_place():
    """Callers hang up while they wait; their places must not leak."""
    gate = make()
    tasks = await waiting(gate, entry(1), entry(2), entry(3))
    gate.release(await tasks[0], 0.1)
    tasks[1].cancel()
    tasks[2].cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    assert (gate.running, gate.waiting) == (0, 0)


async def test_full_queue_pushes_out_the_longest_team():
    """One team fills the queue; another one's request still gets in."""
    gate = make(most=3)
    tasks = await waiting(gate, *(entry(n) for n in range(4)))
    (other,) = await waiting(gate, entry(9, team="b"))
    pushed = await tasks[3]
    assert pushed.kind == kinds.Kind.SHED
    assert not pushed.sent
    assert pushed.retry_after > 0
    gate.release(await tasks[0], 0.1)
    gate.release(await tasks[1], 0.2)
    assert isinstance(await asyncio.wait_for(other, 5), gates.Ticket)


@pytest.mark.parametrize(
    ("deadline", "busy", "kind"),
    [
        (0.0, False, kinds.Kind.HOPELESS),
        (0.3, True, kinds.Kind.HOPELESS),
        (2.4, True, kinds.Kind.SHED),
        (9.0, True, None),
        # With nothing running it measures anew, whatever it believed.
        (0.3, False, None),
    ],
)
async def test_refusal_on_arrival(deadline, busy, kind):
    gate = make()
    await measure(gate, 1.0)
    if busy:
        await waiting(gate, entry(1), entry(2, team="b"))
    refusal = gate.refusal(entry(3, team="c"), deadline, 0.0)
    assert kind is None if refusal is None else refusal.kind == kind


async def test_given_up_when_it_is_too_late_to_begin():
    gate = make()
    tasks = await waiting(gate, entry(1), entry(2, give_up=0.01))
    late = await asyncio.wait_for(tasks[1], 5)
    assert late.kind == kinds.Kind.SHED
    assert gate.waiting == 0


def test_adaptive_limit_follows_time_run():
    limiter = limiters.Adaptive(most=256)
    limiter.resize(36, 9)
    start = limiter.limit
    limiter.finished(0.5, 3.0, running=int(start), now=1.0)
    assert limiter.limit > start
    for now in range(2, 200):
        limiter.finished(2.0, 3.0, running=1, now=float(2 * now))
    assert 1.0 <= limiter.limit < start
    for now in range(1000, 3000):
        limiter.finished(0.5, 3.0, running=256, now=float(now))
    assert start < limiter.limit <= 36 * limiters.HEADROOM


@pytest.mark.parametrize("slots, refused", [(1, True), (2, False)])
async def test_one_that_may_be_late_gets_a_free_slot(slots, refused):
    """Times vary, and a request has less left than the longest take.

    Refused although a slot is free it would be lost for sure, and nobody
    would gain.
    """
    gate = make(slots=slots)
    for seconds in (0.2, 1.5, 0.2, 1.5):
        await measure(gate, seconds)
    await waiting(gate, entry(1))
    assert (
        gate.run_time("p").lower_bound(0.0)
        < 0.7
        < gate.run_time("p").upper_bound(0.0)
    )
    failure = gate.refusal(entry(2), 0.7, 0.0)
    assert (failure is not None) == refused
