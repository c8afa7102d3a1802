"""Connections to endpoints: which are kept, and what for."""

import asyncio
import contextlib

from sycamoreshed.errors import kinds
from sycamoreshed.forwarding import client

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class Endpoint:
    """Answers every call; counts its connections.

    Parameters
    ----------
    most : int
        Calls it takes on a connection; the next one is not answered, and
        the connection ends.
    """

    def __init__(self, *, most):
        self._most = most
        self.connections = 0
        self.calls = 0

    async def serve(self, reader, writer):
        """Serve one connection."""
        self.connections += 1
        for _ in range(self._most):
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(
                head.lower().partition(b"content-length:")[2].split()[0]
            )
            await reader.readexactly(length)
            self.calls += 1
            writer.write(ANSWER)
        with contextlib.suppress(asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
        writer.transport.abort()


@contextlib.asynccontextmanager
async def serving(most):
    """Run an endpoint; yield it and its address."""
    endpoint = Endpoint(most=most)
    server = await asyncio.start_server(endpoint.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    try:
        yield endpoint, f"127.0.0.1:{port}"
    finally:
        server.close()


async def test_calls_that_tell_nothing_share_a_connection():
    """Results are freed several times a second.

    A new connection for each takes the endpoint as long as a part of a
    piece, and it takes a limited number of them.
    """
    async with serving(most=99) as (endpoint, address):
        async with client.open_client() as found:
            for _ in range(10):
                answer = await found.post_idempotent(
                    address, "/", {}, b"x", timeout_s=5
                )
                assert answer.status == 200
    assert endpoint.calls == 10
    assert endpoint.connections == 1


async def test_a_kept_connection_that_ends_is_made_up_for():
    """An endpoint closes a connection while a call is on its way.

    If the call were given up, its results would fill the endpoint's room
    until they expire, and callers would be refused for want of room.
    """
    async with serving(most=1) as (endpoint, address):
        async with client.open_client() as found:
            for _ in range(5):
                answer = await found.post_idempotent(
                    address, "/", {}, b"x", timeout_s=5
                )
                assert not isinstance(answer, kinds.Failure)
    assert endpoint.calls == 5


async def test_other_requests_have_connections_of_their_own():
    """A late second answer must not stand where another one is expected."""
    async with serving(most=99) as (endpoint, address):
        async with client.open_client() as found:
            for _ in range(3):
                await found.post_idempotent(
                    address, "/", {}, b"x", timeout_s=5
                )
                response = await found.send(
                    "POST", address, "/", {}, b"x", timeout_s=5
                )
                await client.read_full(response, timeout_s=5)
    assert endpoint.connections == 4
