"""A server whose answers end within their head."""

import asyncio
import contextlib
import socket
import struct

__all__ = ["HEADS", "TornHeads", "torn_at"]

# By the way in which the body would end.
HEADS = {
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-End: 1\r\n\r\n",
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "connection": b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
    "old": b"HTTP/1.0 200 OK\r\nX-End: 1\r\n\r\n",
    "interim": b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n"
    b"Content-Length: 0\r\n\r\n",
    "nothing": b"HTTP/1.1 204 No Content\r\n\r\n",
}
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def torn_at(form):
    """Return all proper beginnings of a head, by their length."""
    return range(len(HEADS[form]))


class TornHeads:
    """Answers some calls, and then sends a part of a head on each connection.

    Parameters
    ----------
    sent : bytes
        What is sent of a torn answer.
    whole_answers : int
        Answers before the first torn one.
    resets : bool
        Whether the connection is reset, not closed.
    pause_s : float
        Between the torn head and the end of the connection.
    """

    def __init__(self, *, sent, whole_answers=0, resets=False, pause_s=0.0):
        self._sent = sent
        self._whole_answers = whole_answers
        self._resets = resets
        self._pause_s = pause_s
        self._server = None
        self.address = None

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *_error):
        self._server.close()

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while self._whole_answers:
                self._whole_answers -= 1
                await _read_request(reader)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
            await _read_request(reader)
            writer.write(self._sent)
            await writer.drain()
            await asyncio.sleep(self._pause_s)
        if self._resets:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
        writer.close()


async def _read_request(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    _, found, rest = head.partition(b"content-length:")
    await reader.readexactly(int(rest.split()[0]) if found else 0)
