"""Behaviour of the HTTP library on calls that must not be repeated."""

import asyncio

import aiohttp
import pytest

from sycamoreshed.adapters import web

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
MOVED = b"HTTP/1.1 %d Moved\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n"


class Endpoint:
    """Sends its answers in order; None closes the connection instead."""

    def __init__(self, answers):
        self._answers = list(answers)
        self.paths = []

    async def serve(self, reader, writer):
        while head := await reader.readuntil(b"\r\n\r\n"):
            length = int(head.lower().split(b"content-length:")[1].split()[0])
            await reader.readexactly(length)
            self.paths.append(head.split()[1])
            answer = self._answers.pop(0)
            if answer is None:
                break
            writer.write(answer)
            await writer.drain()
        writer.close()


async def post(answers, times):
    part = Endpoint(answers)
    server = await asyncio.start_server(part.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    async with aiohttp.ClientSession() as session:
        for _ in range(times):
            result = await web.fetch(
                session, "POST", f"{host}:{port}", "/call", timeout=9, body=1
            )
    server.close()
    return result, part.paths


async def test_call_on_broken_keep_alive_connection_is_not_resent():
    """An endpoint receives a call on a reused connection and then dies.

    The library retries some methods by itself in that case; a vote would
    be counted twice.
    """
    result, paths = await post([OK, None, OK], 2)
    assert paths == [b"/call", b"/call"]
    assert result.sent


@pytest.mark.parametrize("status", [301, 302, 307, 308])
async def test_redirects_are_not_followed(status):
    """An endpoint counts a vote and answers with a redirect.

    If it were followed, the vote would be cast again at its target.
    """
    result, paths = await post([MOVED % status, OK], 1)
    assert paths == [b"/call"]
    assert result.status == status


async def test_only_a_refused_connection_counts_as_unsent():
    async with aiohttp.ClientSession() as session:
        refused = await web.fetch(
            session, "POST", "127.0.0.1:1", "/call", timeout=9, body=1
        )
    broken, _ = await post([None], 1)
    assert not refused.sent
    assert broken.sent
