"""Answers that arrive while this process is paused."""

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
ANSWER_DELAY_S = 0.05
PAUSE_S = 0.4
ACCEPTED = b"{}"
HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"


@contextlib.asynccontextmanager
async def paused_while_answered(body):
    """Yield the address of a server; pause once it has received a request.

    The server runs in another thread, so that it answers during the pause.
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
    connection, _ = server.accept()
    with connection:
        connection.recv(65536)
        loop.call_soon_threadsafe(time.sleep, PAUSE_S)
        time.sleep(ANSWER_DELAY_S)
        connection.sendall(HEAD + body)


def _endpoint(address):
    (endpoint,) = builders.config(
        {"one": builders.endpoint_spec(address)}
    ).endpoints["encoder"]
    return endpoint


async def test_an_accepted_order_is_not_counted_as_late():
    """A lease holder is paused while an engine accepts its order.

    If the order were counted as late, the holder would wait for the maximum
    time of an order before the next step, and send the same order again.
    """
    async with (
        paused_while_answered(ACCEPTED) as address,
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


async def test_a_peer_that_answered_is_not_counted_as_unresponsive():
    """An instance is paused while a peer answers its message.

    If the peer were recorded as unresponsive, it would be treated as dead
    and get no requests.
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


async def test_a_token_that_arrives_during_a_pause_is_yielded():
    """An instance is paused while an engine streams tokens.

    If the stream were counted as broken, the engine would be recorded as at
    fault, and the tokens would be read again from another engine.
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
        items = [
            chunk
            async for chunk in client.stream(
                _endpoint(address), call, timeout=TIMEOUT_S
            )
        ]
    assert not isinstance(items[0], kinds.Failure)
    assert items[0].token == "word "
