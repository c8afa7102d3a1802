"""Callers and endpoints that read slowly, for tests."""

import asyncio
import contextlib
import socket

__all__ = ["Caller", "SlowEndpoint"]

RECEIVE_BUFFER_BYTES = 16 * 1024
CONNECTION_LIMIT_BYTES = 4096


def _socket():
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setblocking(False)
    return sock


class Caller:
    """Sends a request, and reads its answer only as it is told to.

    Parameters
    ----------
    address : str
        ``IP:port``.
    """

    def __init__(self, address):
        host, _, port = address.rpartition(":")
        self._address = host, int(port)
        self._sock = _socket()
        self._loop = asyncio.get_running_loop()

    async def send(self, target, headers):
        """Send a GET request."""
        lines = [f"GET {target} HTTP/1.1", "Connection: close"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        await self._loop.sock_connect(self._sock, self._address)
        head = "\r\n".join([*lines, "", ""]).encode()
        await self._loop.sock_sendall(self._sock, head)

    async def read(self, *, size=65536, pause_s=0.0):
        """Read until the connection ends, with a pause after each part."""
        parts = []
        with contextlib.suppress(ConnectionError):
            while part := await self._loop.sock_recv(self._sock, size):
                parts.append(part)
                await asyncio.sleep(pause_s)
        return b"".join(parts)

    def close(self):
        """Close the connection."""
        self._sock.close()


class SlowEndpoint:
    """Reads the head of each request, and nothing of its body."""

    def __init__(self):
        self.opened = 0
        self._server = None
        self._writers = set()

    @property
    def address(self):
        """Where it listens, as ``IP:port``."""
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def start(self):
        """Listen."""
        sock = _socket()
        sock.bind(("127.0.0.1", 0))
        self._server = await asyncio.start_server(
            self._serve, sock=sock, limit=CONNECTION_LIMIT_BYTES
        )

    async def stop(self):
        """Close all connections."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        await reader.readuntil(b"\r\n\r\n")
        self.opened += 1
