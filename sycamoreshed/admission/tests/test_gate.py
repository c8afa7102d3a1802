"""Slots, rejections and the end of waits at a gate."""

import asyncio

import pytest

from sycamoreshed.admission import fairqueue
from sycamoreshed.admission import gate as gates
from sycamoreshed.admission import limiters
from sycamoreshed.errors import kinds


def entry(number, team="a", start_deadline=1e9):
    return fairqueue.Entry(
        str(number), team, "p", 1.0, (1, 0.0, number), start_deadline
    )


def make_gate(slots=1, max_waiting=4, clock=lambda: 0.0):
    return gates.Gate(
        queue=fairqueue.WeightedFair(),
        limiter=limiters.Fixed(max_limit=slots),
        max_waiting=max_waiting,
        clock=clock,
    )


async def start_waiting(gate, *entries):
    tasks = []
    for item in entries:
        tasks.append(asyncio.create_task(gate.acquire(item, 5.0, 0.0)))
        await asyncio.sleep(0)
    return tasks


async def run_once(gate, seconds):
    ticket = await gate.acquire(entry(0), 5.0, 0.0)
    gate.release(ticket, seconds)


async def test_released_slot_goes_to_a_waiting_request():
    gate = make_gate(slots=2)
    tasks = await start_waiting(gate, *(entry(n) for n in range(4)))
    assert (gate.running, gate.waiting) == (2, 2)
    gate.release(await tasks[0], 0.1)
    assert isinstance(await tasks[2], gates.Ticket)
    assert (gate.running, gate.waiting) == (2, 1)


async def test_cancelled_request_leaves_the_queue_or_its_slot():
    """Slots and queue positions must not leak when callers disconnect.

    One of the callers already has a slot assigned when it disconnects.
    """
    gate = make_gate()
    tasks = await start_waiting(gate, entry(1), entry(2), entry(3))
    gate.release(await tasks[0], 0.1)
    tasks[1].cancel()
    tasks[2].cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    assert (gate.running, gate.waiting) == (0, 0)


async def test_full_queue_evicts_from_the_longest_team_queue():
    """One team fills the queue; a request of another team is admitted."""
    gate = make_gate(max_waiting=3)
    tasks = await start_waiting(gate, *(entry(n) for n in range(4)))
    (other,) = await start_waiting(gate, entry(9, team="b"))
    evicted = await tasks[3]
    assert evicted.kind == kinds.Kind.SHED
    assert not evicted.sent
    assert evicted.retry_after > 0
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
        # With no request running, the estimate is ignored.
        (0.3, False, None),
    ],
)
async def test_rejection_on_arrival(deadline, busy, kind):
    gate = make_gate()
    await run_once(gate, 1.0)
    if busy:
        await start_waiting(gate, entry(1), entry(2, team="b"))
    rejection = gate.rejection(entry(3, team="c"), deadline, 0.0)
    assert kind is None if rejection is None else rejection.kind == kind


async def test_waiting_request_is_rejected_at_its_start_deadline():
    gate = make_gate()
    tasks = await start_waiting(gate, entry(1), entry(2, start_deadline=0.01))
    late = await asyncio.wait_for(tasks[1], 5)
    assert late.kind == kinds.Kind.SHED
    assert gate.waiting == 0


def test_adaptive_limit_follows_run_time():
    limiter = limiters.Adaptive(max_limit=256)
    limiter.resize(36, 9)
    start = limiter.limit
    limiter.record_run(0.5, 3.0, running=int(start), now=1.0)
    assert limiter.limit > start
    for now in range(2, 200):
        limiter.record_run(2.0, 3.0, running=1, now=float(2 * now))
    assert 1.0 <= limiter.limit < start
    for now in range(1000, 3000):
        limiter.record_run(0.5, 3.0, running=256, now=float(now))
    assert start < limiter.limit <= 36 * limiters.HEADROOM


@pytest.mark.parametrize("slots, refused", [(1, True), (2, False)])
async def test_request_that_may_end_late_gets_a_free_slot(slots, refused):
    """Run times vary, and a request has less time left than the longest.

    Rejecting it although a slot is free would certainly lose it, without
    benefit to any other request.
    """
    gate = make_gate(slots=slots)
    for seconds in (0.2, 1.5, 0.2, 1.5):
        await run_once(gate, seconds)
    await start_waiting(gate, entry(1))
    assert (
        gate.run_time_estimate("p").lower_bound(0.0)
        < 0.7
        < gate.run_time_estimate("p").upper_bound(0.0)
    )
    failure = gate.rejection(entry(2), 0.7, 0.0)
    assert (failure is not None) == refused
