"""Unary stages: retries, and whether anything was sent."""

import asyncio
import time

import pytest

from sycamoreshed.adapters import endpoints
from sycamoreshed.errors import kinds
from sycamoreshed.pipeline import unary
from testkit import fakes

STAGE = {"name": "encode", "service": "encoder"}
GOOD = endpoints.StageAnswer("out", 9)
REFUSED = kinds.Failure(kinds.Kind.REFUSED, "no connection")
BROKEN = kinds.Failure(kinds.Kind.STAGE_FAILED, "status 500", sent=True)
STRAY = kinds.Failure(kinds.Kind.STRAY_ANSWER, "another's", sent=True)
LATE = kinds.Kind.LATE


async def run(parts, *, seconds=60.0, repeatable=True, **options):
    """Run one stage with a deadline `seconds` from now."""
    return await unary.UnaryStage(**parts).run(
        fakes.request(seconds=seconds),
        STAGE,
        "input",
        time.monotonic() + seconds,
        repeatable=repeatable,
        **options,
    )


@pytest.mark.parametrize(
    "script, repeatable, calls, kind, sent",
    [
        ([GOOD], True, 1, None, None),
        ([GOOD], False, 1, None, None),
        ([REFUSED, GOOD], True, 2, None, None),
        ([REFUSED, GOOD], False, 2, None, None),
        ([BROKEN, GOOD], True, 2, None, None),
        ([STRAY, REFUSED, GOOD], True, 3, None, None),
        ([BROKEN, GOOD], False, 1, BROKEN.kind, True),
        ([REFUSED, BROKEN, GOOD], False, 2, BROKEN.kind, True),
        ([REFUSED] * 3, True, 3, REFUSED.kind, False),
        ([REFUSED] * 3, False, 3, REFUSED.kind, False),
        # The last call was refused, but an earlier one may have run.
        ([BROKEN, REFUSED, REFUSED], True, 3, REFUSED.kind, True),
    ],
)
async def test_outcomes(script, repeatable, calls, kind, sent):
    """Retries and results for calls that fail in different ways.

    A caller told that its ballot was not run casts it again, so ``sent``
    must be true if any attempt may have run.
    """
    parts = fakes.stage_parts(*script)
    result = await run(parts, repeatable=repeatable)
    assert len(parts["client"].calls) == calls
    attempts = {call.attempt for call in parts["client"].calls}
    assert len(attempts) == calls
    if kind is None:
        assert result == GOOD
    else:
        assert (result.kind, result.sent) == (kind, sent)
    await asyncio.sleep(0)
    failed = [item for item in script[:calls] if item in (BROKEN, STRAY)]
    assert len(parts["client"].cancelled) == len(failed)
    assert not parts["router"].loads._in_flight


@pytest.mark.parametrize(
    "script, seconds, names, kind, sent",
    [
        ([], 0.0, ["a"], LATE, False),
        ([], -1.0, ["a"], LATE, False),
        ([...], 0.3, ["a"], LATE, True),
        ([], 60.0, [], kinds.Kind.NO_ENDPOINT, False),
    ],
)
async def test_time_and_endpoints_run_out(script, seconds, names, kind, sent):
    parts = fakes.stage_parts(*script, names=names)
    result = await run(parts, seconds=seconds)
    assert (result.kind, result.sent) == (kind, sent)
    assert len(parts["client"].calls) == len(script)


async def test_late_calls_with_short_limits_are_not_reported():
    """A team sends deadlines that no endpoint can meet.

    Reported, its late calls would have the endpoint ejected for all other
    teams.
    """
    parts = fakes.stage_parts(...)
    await run(parts, seconds=0.3)
    assert parts["membership"].reports == []


async def test_empty_budget_stops_retries():
    parts = fakes.stage_parts(BROKEN, GOOD)
    while parts["budget"].try_spend():
        pass
    assert (await run(parts)).kind == BROKEN.kind
    assert len(parts["client"].calls) == 1


async def test_cancelled_stage_sends_a_cancel_and_does_not_wait_for_it():
    """A caller disconnects while its endpoint is unresponsive."""
    parts = fakes.stage_parts(...)
    parts["client"].cancel_hangs = True
    task = asyncio.create_task(run(parts))
    while not parts["client"].calls:
        await asyncio.sleep(0)
    task.cancel()
    await asyncio.wait([task])
    assert task.cancelled()
    await asyncio.sleep(0)
    assert len(parts["client"].cancelled) == 1
    assert not parts["router"].loads._in_flight


async def test_call_is_not_repeated_if_that_would_not_end():
    """A stopping instance began repeats that were cut off."""
    parts = fakes.stage_parts(BROKEN, GOOD)
    result = await run(parts, may_repeat=lambda _now: False)
    assert (result.kind, result.sent) == (BROKEN.kind, True)
    assert len(parts["client"].calls) == 1
