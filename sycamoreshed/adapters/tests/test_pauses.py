"""Answers that come while this process is paused."""

import asyncio
import contextlib
import json
import socket
import time

import aiohttp
from sycamoreshed.adapters import endpoints
from sycamoreshed.adapters import engines
from sycamoreshed.errors import kinds
from sycamoreshed.membership import messages
from sycamoreshed.observe import metrics
from testkit import builders

TIMEOUT_S = 0.15
ANSWERED_S = 0.05
PAUSE_S = 0.4
TAKEN = b"{}"
HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"


@contextlib.asynccontextmanager
async def paused_while_answered(body):
    """Yield the address of a server, and pause once it has a request.

    The server is another thread's, so that it answers during the pause.
    """
    server = socket.create_server(("127.0.0.1", 0))
    loop = asyncio.get_running_loop()
    answering = asyncio.create_task(
        asyncio.to_thread(_answer, server, body, loop)
    )
    host, port = server.getsockname()
    try:
        yield f"{host}:{port}"
        await answering
    finally:
        server.close()


def _answer(server, body, loop):
    found, _ = server.accept()
    with found:
        found.recv(65536)
        loop.call_soon_threadsafe(time.sleep, PAUSE_S)
        time.sleep(ANSWERED_S)
        found.sendall(HEAD + body)


def _endpoint(address):
    (found,) = builders.config(
        {"one": builders.endpoint_spec(address)}
    ).endpoints["encoder"]
    return found


async def test_an_order_that_was_taken_is_not_counted_as_late():
    """A holder that is paused for a moment must not take its order for lost.

    It would wait out the longest time of an order before the next step,
    and the engine would be given the same order again.
    """
    async with (
        paused_while_answered(TAKEN) as address,
        aiohttp.ClientSession() as session,
    ):
        client = engines.Engines(
            session=session,
            traffic=metrics.Metrics().control_bytes.labels("orders"),
        )
        result = await client.send_order(
            _endpoint(address),
            {"fence": 1, "config": 1, "target": None},
            timeout=TIMEOUT_S,
            is_allowed=lambda: True,
        )
    assert result is True


async def test_a_peer_that_answered_is_not_taken_to_be_silent():
    """An instance that is paused must not blame its peers for the pause.

    It would hold them for dead, and send no request their way.
    """
    message = messages.Message(
        name="b", boot=1, zone="north-a", base=0, last=0, ack=0, of=0
    )
    async with (
        paused_while_answered(messages.encode(message)) as address,
        aiohttp.ClientSession() as session,
    ):
        result = await messages.post(
            session, address, messages.encode(message), timeout=TIMEOUT_S
        )
    assert not isinstance(result, kinds.Failure)
    assert result[0] == message


async def test_a_token_that_came_during_a_pause_is_passed_on():
    """An instance that is paused must not break a stream that goes on.

    Its engine would be blamed, and the tokens read again elsewhere.
    """
    line = {
        "request": "r",
        "stage": "s",
        "attempt": "a",
        "offset": 0,
        "token": "word ",
    }
    async with (
        paused_while_answered(json.dumps(line).encode() + b"\n") as address,
        aiohttp.ClientSession() as session,
    ):
        client = endpoints.Endpoints(
            session=session, metrics=metrics.Metrics()
        )
        call = endpoints.Call(
            request="r",
            stage="s",
            attempt="a",
            deadline_ms=1000.0,
            payload="x",
        )
        got = [
            chunk
            async for chunk in client.stream(
                _endpoint(address), call, timeout=TIMEOUT_S
            )
        ]
    assert not isinstance(got[0], kinds.Failure)
    assert got[0].token == "word "
