"""Limits on time, and what comes while a process is paused."""

import asyncio
import socket
import time

import pytest

from sycamoreshed.kernel import timeouts


async def first_bytes(seconds, *, answer_s, pause_s):
    """Ask a server under a limit, and block the process meanwhile.

    The server is another thread's, so that it answers during the pause.
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
    found, _ = server.accept()
    with found:
        time.sleep(seconds)
        found.sendall(b"answer")


async def test_an_answer_that_came_during_a_pause_is_read():
    """A process is paused for longer than a call may take.

    The answer came in time and lies in the socket.  Given up as late, the
    caller would hear of a failure of an endpoint that did its work.
    """
    got = await first_bytes(0.15, answer_s=0.05, pause_s=0.4)
    assert got == b"answer"


async def test_an_answer_that_did_not_come_is_given_up():
    """Nothing came during the pause; the time is over all the same."""
    began = time.monotonic()
    with pytest.raises(TimeoutError):
        await first_bytes(0.15, answer_s=1.5, pause_s=0.4)
    assert time.monotonic() - began < 10


async def test_what_ends_in_time_is_left_alone():
    async with timeouts.time_limit(0.05):
        pass
    async with timeouts.time_limit(None):
        await asyncio.sleep(0.1)
