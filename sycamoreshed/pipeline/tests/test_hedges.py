"""Hedging: only slow attempts, only once, only if repeatable."""

import asyncio
import time

import pytest

from sycamoreshed.adapters import endpoints as adapters
from sycamoreshed.admission import budget as budgets
from sycamoreshed.errors import kinds
from sycamoreshed.pipeline import hedges
from sycamoreshed.pipeline import unary
from testkit import fakes

FAILED = kinds.Failure(kinds.Kind.STAGE_FAILED, "x", sent=True)


async def after(event, result):
    await event.wait()
    return result


@pytest.mark.parametrize(
    ("first", "second", "expected"),
    [
        ("a", None, "a"),
        (None, "b", "b"),
        (FAILED, "b", "b"),
        (FAILED, FAILED, FAILED),
    ],
)
async def test_first_complete_answer_is_returned(first, second, expected):
    """None stands for an attempt that never ends."""
    never, slow = asyncio.Event(), asyncio.Event()

    async def start():
        return await after(never if first is None else slow, first)

    def hedge():
        slow.set()
        return after(never if second is None else slow, second)

    async with asyncio.timeout(5):
        got = await hedges.first_answer(start, hedge, delay_s=0.001)
    assert got == expected
    assert len(asyncio.all_tasks()) == 1


@pytest.mark.parametrize("delay_s", [None, 60.0])
async def test_fast_attempt_is_not_hedged(delay_s):
    async def start():
        return "a"

    got = await hedges.first_answer(start, pytest.fail, delay_s=delay_s)
    assert got == "a"


@pytest.mark.parametrize(("reserve", "moves"), [(1.0, True), (0.0, False)])
async def test_stream_moves_only_within_the_budget(reserve, moves):
    budget = budgets.RetryBudget(share=0.0, reserve=reserve)
    try:
        async with asyncio.timeout(0.2) as timer:
            first_token = hedges.FirstTokenTimeout(
                timer=timer,
                delay_s=0.0,
                budget=budget,
                may_repeat=lambda: True,
            )
            await asyncio.Event().wait()
    except TimeoutError:
        pass
    assert first_token.moved is moves
    assert budget.tokens == 0


async def test_stream_does_not_move_if_a_repeat_would_not_end():
    """A stopping instance began repeats that were cut off."""
    budget = budgets.RetryBudget()
    tokens = budget.tokens
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.2) as timer:
            first_token = hedges.FirstTokenTimeout(
                timer=timer,
                delay_s=0.0,
                budget=budget,
                may_repeat=lambda: False,
            )
            await asyncio.Event().wait()
    assert not first_token.moved
    assert budget.tokens == tokens


class SlowFirst:
    """A client whose first endpoint hangs."""

    def __init__(self):
        self.called = []
        self.cancelled = []

    async def call(self, endpoint, call, *, timeout):
        self.called.append(endpoint.name)
        if endpoint.name == "encoder-1":
            await asyncio.sleep(timeout)
            return FAILED
        return adapters.StageAnswer("out", 3)

    async def cancel(self, endpoint, call):
        self.cancelled.append(endpoint.name)


@pytest.mark.parametrize(
    ("repeatable", "reserve", "may_repeat", "names"),
    [
        (True, 10.0, True, ["encoder-1", "encoder-2"]),
        (True, 0.0, True, ["encoder-1"]),
        (False, 10.0, True, ["encoder-1"]),
        # The instance stops too soon for a second call.
        (True, 10.0, False, ["encoder-1"]),
    ],
)
async def test_slow_call_is_hedged_if_allowed(
    repeatable, reserve, may_repeat, names
):
    """One endpoint hangs; without a second call the answer is late."""
    parts = fakes.stage_parts()
    client = parts["client"] = SlowFirst()
    parts["budget"] = budgets.RetryBudget(share=0.0, reserve=reserve)
    loads = parts["router"].loads
    request = fakes.request()
    stage = request.spec["stages"][0]
    endpoint = parts["router"].choose(request, stage, 0.0)
    for _ in range(10):
        loads.observe_first_output(endpoint, 0.001, 0.0)
    result = await unary.UnaryStage(**parts).run(
        request,
        stage,
        "in",
        time.monotonic() + 1.0,
        repeatable=repeatable,
        may_repeat=lambda _now: may_repeat,
    )
    assert client.called == names
    assert isinstance(result, adapters.StageAnswer) is (len(names) == 2)
    assert not loads._in_flight
