"""An endpoint that answers before it has read the body of a request."""

import asyncio
import contextlib
import enum
import socket
import struct

__all__ = ["EarlyAnswers", "Step"]

# Less than the requests take.
BUFFER_BYTES = 64 * 1024
READ_BYTES = 16 * 1024
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Step(enum.Enum):
    """What an endpoint does after an early answer."""

    # Ends its side of the connection.
    END_SIDE = enum.auto()
    # Reads the rest of the request.
    READ = enum.auto()
    CLOSE = enum.auto()
    RESET = enum.auto()


class EarlyAnswers:
    """Answers each request once it has read its head.

    Parameters
    ----------
    sent : bytes
        What is sent of the answer.
    then : sequence of Step or float
        What follows; a number is a pause in seconds.  The connection stays
        open after the last step.

    Attributes
    ----------
    address : str
    bodies : list of int
        Bytes of each body that was read to its end.
    """

    def __init__(self, *, sent, then):
        self._sent = sent
        self._then = then
        self._server = None
        self._writers = set()
        self.address = None
        self.bodies = []

    async def __aenter__(self):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        sock.bind(("127.0.0.1", 0))
        self._server = await asyncio.start_server(
            self._serve, sock=sock, limit=READ_BYTES
        )
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *_error):
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            length = int(head.partition(b"content-length:")[2].split()[0])
            writer.write(self._sent)
            for step in self._then:
                await self._take(step, length, reader, writer)

    async def _take(self, step, length, reader, writer):
        if step is Step.END_SIDE:
            writer.write_eof()
        elif step is Step.READ:
            await reader.readexactly(length)
            self.bodies.append(length)
        elif step is Step.CLOSE:
            writer.close()
        elif step is Step.RESET:
            _reset(writer)
        else:
            await asyncio.sleep(step)


def _reset(writer):
    if writer.transport.is_closing():
        return
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    writer.transport.abort()
