"""Endpoints that answer long uploads before they have read them."""

import asyncio
import contextlib

import aiohttp
import pytest

from standins import earlyanswers
from testkit import wiredata
from tests.integration import harness

WHOLE = b"x" * 240
PART = WHOLE[:100]
SEAL = f"{harness.SEAL}: proof\r\n".encode()
HEADS = {
    "connection": b"",
    "length": b"Content-Length: 240\r\n",
    "chunks": b"Transfer-Encoding: chunked\r\n",
}
# Settings of an instance.
LIMITS = [{}, {"memory_mb": 160}]
CHUNK = b"%x\r\n%s\r\n"
MB = 10**6
STEP = earlyanswers.Step
ROUTES = {
    "safe": {"route_kind": "safe", "max_attempts": 1},
    "unsafe": {"route_kind": "unsafe"},
    "stream": {"route_kind": "streaming"},
    "resumable": {
        "route_kind": "streaming",
        "resumable": True,
        "max_attempts": 1,
        # Its streams are given up after four such pauses.
        "itl_target_ms": 500,
    },
}
EVENTS = b"".join(map(harness.event, range(3)))
# Of each kind of route, a whole answer and a part of it.
ANSWERS = {
    "safe": (WHOLE, PART),
    "unsafe": (WHOLE, PART),
    "stream": (EVENTS, harness.event(0)),
    "resumable": (EVENTS, harness.event(0)),
}
RESET_S = 0.3
# Until an endpoint reads an upload; its head has arrived by then.
READ_S = 0.3
DEADLINE_S = 2
# For the answer of an instance beside other work.
SPARE_S = 5.0


def sent_of(framing, body):
    """Return a head, and a body that ends as the head says if it is whole."""
    head = b"HTTP/1.1 200 Told\r\n" + SEAL + HEADS[framing] + b"\r\n"
    if framing != "chunks":
        return head + body
    end = b"0\r\n\r\n" if body == WHOLE else b""
    return head + CHUNK % (len(body), body) + end


@contextlib.asynccontextmanager
async def uploading(store, folder, limits, *, route="unsafe", **endpoint):
    """Run an endpoint; yield it and a function that uploads some bytes."""
    routes = [wiredata.route(**{**ROUTES[route], "timeout_ms": 9000})]
    store.put("op", "config", wiredata.configuration(2, routes=routes))
    async with earlyanswers.EarlyAnswers(**endpoint) as running:
        store.put("servers", "i-0", wiredata.beat(running.address))
        async with harness.serving(store, folder, **limits) as (
            gateway,
            session,
        ):

            async def upload(size, deadline_ms=8000):
                headers = wiredata.head(deadline_ms=str(deadline_ms))
                try:
                    status, _, body = await harness.call(
                        session,
                        gateway,
                        "POST",
                        headers=headers,
                        data=b"u" * size,
                    )
                except aiohttp.ClientError:
                    return "cut", b""
                return status, body

            yield running, upload


@pytest.mark.parametrize("limits", LIMITS)
@pytest.mark.parametrize("size", [MB, 4 * MB])
@pytest.mark.parametrize("framing", HEADS)
@pytest.mark.parametrize("ends_side", [False, True])
async def test_part_of_an_answer_to_an_upload_is_not_whole(
    store, tmp_path, ends_side, framing, size, limits
):
    """A reset while the upload went on was taken for the end of an answer."""
    async with uploading(
        store,
        tmp_path,
        limits,
        sent=sent_of(framing, PART),
        then=[STEP.END_SIDE] * ends_side + [RESET_S, STEP.RESET],
    ) as (_, upload):
        assert (await upload(size))[0] in (502, "cut")


@pytest.mark.parametrize("limits", LIMITS)
@pytest.mark.parametrize("framing", HEADS)
@pytest.mark.parametrize("ends_side", [False, True])
async def test_early_answer_to_an_upload_is_passed_on(
    store, tmp_path, ends_side, framing, limits
):
    """An endpoint may answer at once, and read the upload later."""
    async with uploading(
        store,
        tmp_path,
        limits,
        sent=sent_of(framing, WHOLE),
        then=[STEP.END_SIDE] * ends_side + [READ_S, STEP.READ, STEP.CLOSE],
    ) as (endpoint, upload):
        assert await upload(4 * MB) == (200, WHOLE)
    if framing == "connection":
        assert endpoint.bodies == [4 * MB]


@pytest.mark.parametrize("limits", LIMITS)
@pytest.mark.parametrize("size", [MB, 4 * MB])
@pytest.mark.parametrize("route", ROUTES)
async def test_part_is_not_whole_once_the_upload_was_taken(
    store, tmp_path, route, size, limits
):
    """A part went on as a whole answer if its reset came after the upload."""
    async with uploading(
        store,
        tmp_path,
        limits,
        route=route,
        sent=sent_of("connection", ANSWERS[route][1]),
        then=[STEP.END_SIDE, READ_S, STEP.READ, RESET_S, STEP.RESET],
    ) as (_, upload):
        assert (await upload(size))[0] in (502, "cut")


@pytest.mark.parametrize("route", ROUTES)
async def test_early_answer_that_stays_without_a_reset_is_passed_on(
    store, tmp_path, route
):
    """An answer is whole though its connection stays half open."""
    whole = ANSWERS[route][0]
    async with uploading(
        store,
        tmp_path,
        {},
        route=route,
        sent=sent_of("connection", whole),
        then=[STEP.END_SIDE, READ_S, STEP.READ],
    ) as (endpoint, upload):
        assert await upload(MB) == (200, whole)
    assert endpoint.bodies == [MB]


@pytest.mark.parametrize("route", ROUTES)
async def test_upload_that_is_never_read_ends_in_time(store, tmp_path, route):
    """An endpoint ends its side, and its caller waits past the deadline."""
    async with uploading(
        store,
        tmp_path,
        {},
        route=route,
        sent=sent_of("connection", ANSWERS[route][0]),
        then=[STEP.END_SIDE],
    ) as (_, upload):
        async with asyncio.timeout(DEADLINE_S + SPARE_S):
            status, _ = await upload(4 * MB, 1000 * DEADLINE_S)
    assert status in (502, 503, 504, "cut")
