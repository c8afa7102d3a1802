"""Callers that open more connections than a daemon may have."""

import asyncio
import contextlib
import sys

__all__ = ["MAX_DESCRIPTORS", "PROGRAM", "Crowd"]

MAX_DESCRIPTORS = 512
CONNECTIONS = 700
# Between two connections.
PAUSE_S = 0.002
# Runs a daemon that may have few descriptors open.
PROGRAM = (
    "/bin/sh",
    "-c",
    f'ulimit -n {MAX_DESCRIPTORS} && exec "$@"',
    "sh",
    sys.executable,
    "-m",
    "sycamoreshed",
)


class Crowd:
    """Connections that send nothing, or no whole request.

    One that the daemon closes is opened again.

    Parameters
    ----------
    address : str
        ``IP:port`` of the daemon.
    sent : bytes
        What each connection sends.
    """

    def __init__(self, address, *, sent=b""):
        self._host, _, self._port = address.rpartition(":")
        self._sent = sent
        self._open = {}

    async def run(self):
        """Keep connections open until cancelled."""
        try:
            while True:
                for reader in [r for r in self._open if r.at_eof()]:
                    self._open.pop(reader).transport.abort()
                if len(self._open) < CONNECTIONS:
                    with contextlib.suppress(OSError, TimeoutError):
                        await self._connect()
                await asyncio.sleep(PAUSE_S)
        finally:
            for writer in self._open.values():
                writer.transport.abort()

    async def _connect(self):
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(
                self._host, int(self._port)
            )
        self._open[reader] = writer
        writer.write(self._sent)
