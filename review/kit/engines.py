"""A model engine that streams events, as a stand-in."""

import asyncio
import json
import socket
import struct

from standins import platformstore
from testkit import wiredata

__all__ = ["SEAL", "Engine", "abort", "answer"]

SEAL = "X-Sycamoreshed-Response-Seal"
ID = "X-Sycamoreshed-Instance-Id"
_REPORT = {
    "phase": "combined",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "busy": False,
    "sequence": 0,
    "waiting": 0,
    "running": 0,
    "kv_used": 0,
    "kv_total": 400000,
    "handles": 0,
}


def abort(writer):
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class Engine:
    """An engine with a registered entry.

    Parameters
    ----------
    store : platformstore.PlatformStore
    name : str
        Its id.
    record : Record
    service, zone, version : str
    slots : int
    events : int
        Events of each stream.
    gap_s : float
        Seconds between them.

    Attributes
    ----------
    runs : list of (float, str, str or None)
        Loop time, request id and ``Last-Event-Id`` of each run.
    """

    def __init__(
        self,
        *,
        store,
        name,
        record,
        service="desk",
        zone="north-a",
        version="v1",
        slots=64,
        events=8,
        gap_s=0.2,
    ):
        self._store: platformstore.PlatformStore = store
        self._record = record
        self._events = events
        self._gap_s = gap_s
        self._server = None
        self._writers = set()
        self._entry = {
            "service": service,
            "zone": zone,
            "version": version,
            "slots": slots,
        }
        self.name = name
        self.zone = zone
        self.version = version
        self.address = None
        self.runs = []

    async def start(self):
        """Listen on a free port, and register."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        entry = wiredata.beat(self.address, **self._entry)
        self._store.put("servers", self.name, entry)
        self._record.write(f"engine {self.name} {self.version} registers")

    async def crash(self):
        """Reset all connections, and refuse new ones."""
        self._record.write(f"engine {self.name} {self.version} crashes")
        self._server.close()
        for writer in list(self._writers):
            abort(writer)

    def event(self, number):
        """Return an event of a stream."""
        return f"id: {number}\ndata: {self.version} {number}\n\n"

    async def begin(self, fields):
        """Read the prompt of a request with these headers."""

    async def stop(self):
        """Stop listening."""
        self._server.close()
        for writer in list(self._writers):
            abort(writer)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader, writer):
        raw = await reader.readuntil(b"\r\n\r\n")
        first, *lines = raw.decode().split("\r\n")[:-2]
        method, target, _ = first.split(" ")
        fields = {}
        for line in lines:
            name, _, value = line.partition(":")
            fields[name.lower()] = value.strip()
        size = int(fields.get("content-length", 0))
        await reader.readexactly(size)
        if method == "GET" and target == "/v1/report":
            await answer(writer, 200, json.dumps(_REPORT).encode())
            return True
        if method == "GET" and target == "/healthz":
            await answer(writer, 200, b"", {ID: self.name})
            return True
        if fields.get("x-sycamoreshed-expect-instance") != self.name:
            await answer(writer, 421, b"", {ID: self.name})
            return True
        await self.serve_request(reader, writer, fields)
        return False

    async def serve_request(self, reader, writer, fields):
        """Run a request with these headers: stream its events."""
        request = fields["x-sycamoreshed-request-id"]
        after = fields.get("last-event-id")
        self.runs.append((asyncio.get_running_loop().time(), request, after))
        self._record.write(
            f"engine {self.name} {self.version} runs {request} "
            f"resumes={fields.get('resumes')} after={after}"
        )
        await self.begin(fields)
        writer.write(
            "HTTP/1.1 200 OK\r\n"
            "Content-Type: text/event-stream\r\n"
            f"X-Sycamoreshed-Request-Id: {request}\r\n"
            f"{SEAL}: proof-{self.name}-{request}\r\n"
            "X-Sycamoreshed-Weight-Versions: 1\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        left = asyncio.ensure_future(reader.read(1))
        begin = 0 if after is None else int(after) + 1
        for number in range(begin, self._events):
            event = self.event(number)
            writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
            await writer.drain()
            await asyncio.wait([left], timeout=self._gap_s)
            if left.done():
                self._record.write(f"engine {self.name} drops {request}")
                return
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        left.cancel()


async def answer(writer, status, body, fields=None):
    """Send an answer with a length."""
    lines = [f"HTTP/1.1 {status} Told", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
    writer.write("\r\n".join([*lines, "", ""]).encode() + body)
    await writer.drain()
