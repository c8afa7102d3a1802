"""Requests that would last beyond the end of a stopping instance."""

import asyncio

import aiohttp
import pytest

from standins import scripted
from testkit import wiredata
from tests.integration import harness

# From SIGTERM to SIGKILL.
GRACE_S = 4.0
STREAM_S = 2.6
EVENTS = 10
# After SIGTERM, while requests are accepted.
EARLY_S = 0.5
LATE_S = 1.8


async def stop(gateway):
    """Stop a daemon as the platform does."""
    try:
        async with asyncio.timeout(GRACE_S):
            await gateway.stop()
    except TimeoutError:
        await gateway.kill()


def stream(seconds):
    """Return the script of a stream that lasts so long."""

    def script(_received):
        yield scripted.stream_head(**{harness.SEAL: "proof"})
        for number in range(EVENTS):
            yield seconds / EVENTS
            yield harness.event(number)

    return script


async def outcome_of(session, gateway, number, **head):
    """Send a request; return "whole", "cut" or the status of a rejection."""
    headers = wiredata.head(f"r-{number}", deadline_ms="9000", **head)
    try:
        status, answer_headers, _ = await harness.call(
            session, gateway, "POST", headers=headers
        )
    except aiohttp.ClientError:
        return "cut"
    if status == 200:
        return "whole"
    assert float(answer_headers["Retry-After"]) == 0
    return status


def long_route(**changes):
    """Return a configuration with a route for long streams."""
    return harness.stream_route(
        timeout_ms=9000, target_latency_ms=5000, itl_target_ms=2000, **changes
    )


@pytest.mark.parametrize("resumable", [False, True])
@pytest.mark.parametrize("is_open", [False, True])
async def test_request_that_lasts_longer_than_a_stop_is_rejected_at_once(
    store, tmp_path, resumable, is_open
):
    """It was accepted, and cut off when the instance ended."""
    store.put("op", "config", long_route(resumable=resumable))
    script = stream(STREAM_S)
    async with (
        harness.endpoints(store, script, script),
        harness.serving(store, tmp_path, grace_s=GRACE_S) as (gateway, known),
        aiohttp.ClientSession() as other,
    ):
        assert await outcome_of(known, gateway, 0) == "whole"
        stopping = asyncio.create_task(stop(gateway))
        await asyncio.sleep(EARLY_S)
        # It ends in time, and is on a connection of its own.
        early = asyncio.create_task(outcome_of(other, gateway, 1))
        await asyncio.sleep(LATE_S - EARLY_S)
        async with aiohttp.ClientSession() as new:
            late = await outcome_of(known if is_open else new, gateway, 2)
        assert await early == "whole"
        await stopping
    assert late == 503


async def test_request_whose_stages_took_long_is_not_passed_on_before_the_end(
    store, tmp_path
):
    """Its engine had no time left when the stages were done."""
    stage_s = [0.1]

    def run_pieces(received):
        for step in harness.pieces_script(lambda _: {"handle": "h"})(received):
            yield step if isinstance(step, bytes) else stage_s[0]

    stages = [{"service": "first", "after": [], "size_bytes": 8000}]
    document = long_route(stages=stages, resumable=True)
    document["services"] = [
        wiredata.service(),
        wiredata.piece_service("first", call_ms=1000.0),
    ]
    first = scripted.Endpoint(run_pieces)
    await first.start()
    store.put("servers", "i-9", wiredata.beat(first.address, service="first"))
    store.put("op", "config", document)
    pieces = {"pieces": "1", "piece_key": "k"}
    script = stream(STREAM_S / 2)
    async with (
        harness.endpoints(store, script, script) as engines,
        harness.serving(store, tmp_path, grace_s=GRACE_S) as (
            gateway,
            session,
        ),
    ):
        assert await outcome_of(session, gateway, 0, **pieces) == "whole"
        stage_s[0] = 1.5
        stopping = asyncio.create_task(stop(gateway))
        await asyncio.sleep(LATE_S)
        before = sum(len(each.seen) for each in engines)
        late = await outcome_of(session, gateway, 1, **pieces)
        await stopping
        after = sum(len(each.seen) for each in engines)
    await first.stop()
    assert late == 503
    assert after == before
