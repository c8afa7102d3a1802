"""Time limits, and data that arrives while the process is paused."""

import asyncio
import socket
import time

import pytest

from sycamoreshed.kernel import timeouts


async def read_during_pause(seconds, *, answer_s, pause_s):
    """Read from a server under a time limit, and block the event loop.

    The server runs in another thread, so that it answers during the pause.
    """
    server = await asyncio.to_thread(_listen)
    answering = asyncio.to_thread(_answer, server, answer_s)
    task = asyncio.create_task(answering)
    reader, writer = await asyncio.open_connection(*server.getsockname())
    asyncio.get_running_loop().call_later(0.01, time.sleep, pause_s)
    try:
        async with timeouts.time_limit(seconds):
            return await reader.read(100)
    finally:
        writer.close()
        await task
        server.close()


def _listen():
    return socket.create_server(("127.0.0.1", 0))


def _answer(server, seconds):
    connection, _ = server.accept()
    with connection:
        time.sleep(seconds)
        connection.sendall(b"answer")


async def test_an_answer_that_arrives_during_a_pause_is_read():
    """The process is paused for longer than the time limit of a call.

    The answer arrived in time and is in the socket's buffer.  If the call
    timed out, the caller would get a failure although the endpoint had
    done its work.
    """
    received = await read_during_pause(0.15, answer_s=0.05, pause_s=0.4)
    assert received == b"answer"


async def test_a_call_without_an_answer_times_out_after_a_pause():
    """Nothing arrives during the pause; the time limit still holds."""
    started_at = time.monotonic()
    with pytest.raises(TimeoutError):
        await read_during_pause(0.15, answer_s=1.5, pause_s=0.4)
    assert time.monotonic() - started_at < 10


async def test_a_block_that_ends_in_time_is_not_interrupted():
    async with timeouts.time_limit(0.05):
        pass
    async with timeouts.time_limit(None):
        await asyncio.sleep(0.1)


async def test_limit_that_is_extended_goes_on():
    """A call was given up although its limit had been extended."""
    extensions = [0.05, 0.0]
    began_at = time.monotonic()
    with pytest.raises(TimeoutError):
        async with timeouts.time_limit(0.01, extend=lambda: extensions.pop(0)):
            await asyncio.sleep(30.0)
    assert time.monotonic() - began_at >= 0.06
    assert extensions == []
