"""Streamed stages: token offsets, resuming and deadlines."""

import asyncio
import time

import pytest

from sycamoreshed.adapters import endpoints
from sycamoreshed.errors import kinds
from sycamoreshed.pipeline import streamed
from testkit import fakes

STAGE = {"name": "generate", "service": "encoder"}
REFUSED = kinds.Failure(kinds.Kind.REFUSED, "no connection")
CUT = kinds.Failure(kinds.Kind.BROKEN_STREAM, "cut", sent=True)
FULL_TEXT = "0 1 2 3 4 5 "
chunks = fakes.chunks


async def run(parts, *, seconds=60.0, emit=None, **options):
    """Run one stage with a deadline `seconds` from now."""
    return await streamed.StreamedStage(**parts).run(
        fakes.request(seconds=seconds),
        STAGE,
        "input",
        time.monotonic() + seconds,
        emit=emit,
        **options,
    )


@pytest.mark.parametrize(
    "script, offsets",
    [
        ([chunks(0, 6, finish=6)], [0]),
        ([[*chunks(0, 2), CUT], chunks(2, 6, finish=6)], [0, 2]),
        ([chunks(0, 2), chunks(2, 6, finish=6)], [0, 2]),
        ([[*chunks(0, 2), *chunks(3, 6)], chunks(2, 6, finish=6)], [0, 2]),
        ([[*chunks(0, 3), *chunks(1, 6, finish=6)]], [0]),
        ([chunks(0, 4, finish=6), chunks(4, 6, finish=6)], [0, 4]),
        ([chunks(0, 6, finish=5), chunks(6, 6, finish=6)], [0, 6]),
        ([[REFUSED], [CUT], chunks(0, 6, finish=6)], [0, 0, 0]),
        # Each attempt adds a token, so more than the usual number of
        # attempts is allowed.
        (
            [[*chunks(n, n + 1), CUT] for n in range(5)]
            + [chunks(5, 6, finish=6)],
            [0, 1, 2, 3, 4, 5],
        ),
        # The engine starts over although asked to resume.
        ([[*chunks(0, 2), CUT], chunks(0, 6, finish=6)], [0, 2]),
    ],
)
async def test_stream_is_completed(script, offsets):
    """Engines cut a stream, skip or repeat tokens, or finish too early.

    The caller must not see gaps or duplicate tokens.
    """
    parts = fakes.stage_parts(*script)
    emitted = []

    async def emit(offset, token):
        emitted.append((offset, token))

    result = await run(parts, emit=emit)
    assert result.output == FULL_TEXT
    assert emitted == [(number, f"{number} ") for number in range(6)]
    assert [call.offset for call in parts["client"].calls] == offsets


@pytest.mark.parametrize(
    "script, seconds, kind, sent",
    [
        ([[REFUSED]] * 3, 60.0, REFUSED.kind, False),
        ([[CUT], [REFUSED], [REFUSED]], 60.0, REFUSED.kind, True),
        ([[*chunks(0, 2), CUT], [CUT], [CUT]], 60.0, CUT.kind, True),
        ([], 0.0, kinds.Kind.LATE, False),
        ([[*chunks(0, 2), ...]], 0.3, kinds.Kind.LATE, True),
    ],
)
async def test_failure_reports_whether_anything_was_sent(
    script, seconds, kind, sent
):
    parts = fakes.stage_parts(*script)
    result = await run(parts, seconds=seconds)
    assert (result.kind, result.sent) == (kind, sent)
    assert len(parts["client"].calls) == len(script)
    assert not parts["router"].loads._in_flight


async def test_slow_reader_does_not_outlive_the_deadline():
    """A caller stops reading its stream but keeps the connection open.

    Without the deadline its engine slot would be occupied until it reads
    again.
    """
    parts = fakes.stage_parts([*chunks(0, 6, finish=6)])

    async def emit(_offset, _token):
        await asyncio.Event().wait()

    result = await run(parts, seconds=0.3, emit=emit)
    assert (result.kind, result.sent) == (kinds.Kind.LATE, True)
    await asyncio.sleep(0)
    assert len(parts["client"].cancelled) == 1


async def test_disconnected_caller_is_not_counted_against_the_engine():
    """Writing to the caller fails; this is no fault of the engine."""
    parts = fakes.stage_parts(chunks(0, 6, finish=6))

    async def emit(_offset, _token):
        raise ConnectionResetError

    with pytest.raises(ConnectionResetError):
        await run(parts, emit=emit)
    await asyncio.sleep(0)
    assert len(parts["client"].cancelled) == 1
    assert parts["membership"].reports == []
    assert not parts["router"].loads._in_flight


async def test_duplicate_tokens_are_counted():
    script = [*chunks(0, 3), *chunks(1, 6, finish=6)]
    parts = fakes.stage_parts(script)
    await run(parts)
    strays = parts["metrics"].stray_answers.labels("duplicate-token")
    assert strays._value.get() == 2


def test_equal_beginnings_give_equal_prefixes():
    long = "x" * streamed.PREFIX_BYTES
    assert streamed.prefix_hash(long + "a") == streamed.prefix_hash(long + "b")
    assert streamed.prefix_hash("a") != streamed.prefix_hash("b")
    assert endpoints.Chunk(0, "a").finish is None


async def test_stream_is_not_resumed_if_that_would_not_end():
    """A stopping instance began repeats that were cut off."""
    parts = fakes.stage_parts([*chunks(0, 2), CUT], chunks(2, 6, finish=6))
    result = await run(parts, may_repeat=lambda _now: False)
    assert (result.kind, result.sent) == (CUT.kind, True)
    assert len(parts["client"].calls) == 1
