"""Callers with open connections that go on while an instance stops."""

import asyncio
import itertools
import time
import typing

__all__ = ["Outcome", "StopCallers", "send"]

RETRY_S = 0.02


class Outcome(typing.NamedTuple):
    """What came of a request.

    Parameters
    ----------
    request : str
    sent_at : float
        Monotonic time, and so is the end.
    ended_at : float
    status : int or None
        None if the connection ended without a whole answer.
    is_reset : bool
        Whether it was reset.
    """

    request: str
    sent_at: float
    ended_at: float
    status: int | None
    is_reset: bool = False


class StopCallers:
    """Send requests on connections that they keep open as long as they may.

    Parameters
    ----------
    address : str
    head : callable
        Returns the head of a request with an id, without the empty line.
    body : bytes
    count : int
        Connections at the same time.

    Attributes
    ----------
    outcomes : list of Outcome
    """

    def __init__(self, *, address, head, body=b"", count=40):
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._head = head
        self._body = body
        self._count = count
        self._numbers = itertools.count()
        self.outcomes = []

    async def run(self):
        """Send requests until cancelled."""
        await asyncio.gather(
            *[self._run_connections() for _ in range(self._count)]
        )

    async def _run_connections(self):
        while True:
            try:
                reader, writer = await asyncio.open_connection(
                    self._host, self._port
                )
            except OSError:
                await asyncio.sleep(RETRY_S)
                continue
            try:
                while await self._send(reader, writer):
                    pass
            finally:
                writer.transport.abort()
            await asyncio.sleep(RETRY_S)

    async def _send(self, reader, writer):
        """Send one request; return whether to go on with its connection."""
        request = f"r-{next(self._numbers)}"
        outcome, goes_on = await _exchange(
            reader, writer, request, self._head(request), self._body
        )
        self.outcomes.append(outcome)
        return goes_on


async def send(address, request, head, body=b""):
    """Send a request on a new connection; return its `Outcome`.

    Parameters
    ----------
    address : str
    request : str
    head : bytes
        Without ``Content-Length`` and the empty line.
    body : bytes
    """
    host, _, port = address.rpartition(":")
    sent_at = time.monotonic()
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return Outcome(request, sent_at, time.monotonic(), None, True)
    try:
        outcome, _ = await _exchange(reader, writer, request, head, body)
    finally:
        writer.transport.abort()
    return outcome


async def _exchange(reader, writer, request, head, body):
    """Return the `Outcome`, and whether the connection can be used again."""
    sent_at = time.monotonic()
    status = None
    is_reset = goes_on = False
    try:
        length = f"Content-Length: {len(body)}\r\n\r\n"
        writer.write(head + length.encode() + body)
        raw = await reader.readuntil(b"\r\n\r\n")
        fields = raw.lower()
        found = int(raw.split(b" ")[1])
        _, _, size = fields.partition(b"content-length:")
        if b"transfer-encoding: chunked" in fields:
            await reader.readuntil(b"\r\n0\r\n\r\n")
        else:
            await reader.readexactly(int(size.split()[0]))
        status = found
        goes_on = b"connection: close" not in fields
    except asyncio.IncompleteReadError:
        pass
    except OSError:
        is_reset = True
    ended_at = time.monotonic()
    return Outcome(request, sent_at, ended_at, status, is_reset), goes_on
