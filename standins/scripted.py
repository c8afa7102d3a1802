"""An endpoint that answers with scripted bytes and delays."""

import asyncio
import socket
import struct
import typing

__all__ = [
    "CRASH",
    "RESET",
    "Endpoint",
    "ReceivedRequest",
    "answer",
    "stream_head",
]

# Script step that resets the connection instead of sending bytes.
RESET = object()
# Script step that resets all connections and stops listening.
CRASH = object()


class ReceivedRequest(typing.NamedTuple):
    """A request that an endpoint received."""

    method: str
    target: str
    headers: dict
    body: bytes


def answer(status, body=b"", **headers):
    """Return the bytes of an answer with a Content-Length."""
    fields = {key.replace("_", "-"): value for key, value in headers.items()}
    fields["Content-Length"] = str(len(body))
    return _head(status, fields) + body


def stream_head(status=200, **headers):
    """Return the head of an answer that ends when the connection closes."""
    fields = {key.replace("_", "-"): value for key, value in headers.items()}
    return _head(status, {**fields, "Connection": "close"})


def _head(status, headers):
    lines = [f"HTTP/1.1 {status} Told"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class Endpoint:
    """Reads one request per connection, then executes its script.

    Parameters
    ----------
    script : callable
        Takes a `ReceivedRequest` and returns an iterable of steps: bytes
        to send, seconds to wait, `RESET` or `CRASH`.
    on_crash : callable, optional
        Called with this endpoint when it has crashed.

    Attributes
    ----------
    seen : list of ReceivedRequest
        Requests received.
    left : int
        Connections that the client closed before the script ended.
    """

    def __init__(self, script, *, on_crash=None):
        self._script = script
        self._on_crash = on_crash
        self._server = None
        self._writers = set()
        self._has_crashed = False
        self.seen = []
        self.left = 0
        self.address = None

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self):
        """Stop listening."""
        self._server.close()

    def _crash(self):
        self._has_crashed = True
        self._server.close()
        for writer in self._writers:
            _reset(writer)
        if self._on_crash is not None:
            self._on_crash(self)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            seen = await _read(reader)
            self.seen.append(seen)
            for step in self._script(seen):
                if self._has_crashed:
                    return
                if step is RESET:
                    _reset(writer)
                    return
                if step is CRASH:
                    self._crash()
                    return
                if isinstance(step, bytes):
                    writer.write(step)
                    await writer.drain()
                    continue
                await self._wait_open(reader, step)
        except (ConnectionError, asyncio.IncompleteReadError):
            self.left += 1
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _wait_open(self, reader, seconds):
        try:
            async with asyncio.timeout(seconds):
                if not await reader.read(1):
                    raise ConnectionError("closed by the client")
        except TimeoutError:
            return


def _reset(writer):
    # With a linger time of zero, closing the socket sends a reset.
    sock = writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def _read(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    first, *lines = raw.decode().split("\r\n")[:-2]
    method, target, _ = first.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return ReceivedRequest(method, target, headers, body)
