"""A fault-injecting TCP proxy that runs in the process of the test.

Each proxy forwards to one listening address.  Daemons connect from
separate source addresses, so a proxy can apply faults by source.  Tests
use this to simulate network partitions between zones.
"""

import asyncio
import contextlib

__all__ = ["Proxy"]

CHUNK_BYTES = 65536
POLL_INTERVAL_S = 0.02


class Proxy:
    """Forwards connections and injects the configured faults.

    Parameters
    ----------
    target : str
        ``IP:port`` to forward to.
    host : str
        Address to listen on.

    Attributes
    ----------
    delay_s : float
        Delay before each chunk, in both directions.
    refuse : bool
        Close new connections at once, and open ones at their next chunk.
    freeze : bool
        Keep connections open and forward nothing.
    hold_answers : bool
        Forward requests, but withhold answers until this is unset.
    held_sources : set of str
        Source addresses to which `hold_answers` applies.
    lose_answers : int
        Number of next answers to drop, closing their connections after
        the request was forwarded; negative for all.
    blocked : set of str
        Source addresses to which `freeze` applies.
    bytes_in, bytes_out : int
        Bytes forwarded to and from the target.
    """

    def __init__(self, *, target, host="127.0.0.1"):
        self._target = target
        self._host = host
        self._server = None
        self._tasks = set()
        self.delay_s = 0.0
        self.refuse = False
        self.freeze = False
        self.hold_answers = False
        self.held_sources = set()
        self.lose_answers = 0
        self.blocked = set()
        self.bytes_in = 0
        self.bytes_out = 0

    @property
    def address(self):
        """Address that the proxy listens on."""
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, self._host, 0)

    async def stop(self):
        """Stop listening and close all connections."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset(self):
        """Close all open connections; new ones are accepted."""
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self._forward(reader, writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _forward(self, reader, writer):
        source = writer.get_extra_info("peername")[0]
        await self._wait_while_frozen(source)
        if self.refuse:
            return
        host, _, port = self._target.rpartition(":")
        up_reader, up_writer = await asyncio.open_connection(host, int(port))
        pumps = [
            asyncio.create_task(self._pump(reader, up_writer, source, False)),
            asyncio.create_task(self._pump(up_reader, writer, source, True)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            await asyncio.gather(*pumps, return_exceptions=True)
            up_writer.transport.abort()

    async def _pump(self, reader, writer, source, is_answer):
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                await self._wait_while_frozen(source)
                while is_answer and self._is_held(source):
                    await asyncio.sleep(POLL_INTERVAL_S)
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if self.refuse or (is_answer and self._drops_answer()):
                    return
                writer.write(data)
                await writer.drain()
                self._count(len(data), is_answer)

    async def _wait_while_frozen(self, source):
        while self.freeze or source in self.blocked:
            await asyncio.sleep(POLL_INTERVAL_S)

    def _is_held(self, source):
        return self.hold_answers or source in self.held_sources

    def _drops_answer(self):
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return True
        return self.lose_answers < 0

    def _count(self, size, is_answer):
        if is_answer:
            self.bytes_out += size
        else:
            self.bytes_in += size
