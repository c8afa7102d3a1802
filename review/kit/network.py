"""Links between processes, which can be cut.

Each process reaches the store, and each other process, through a link of its
own.  The addresses of other processes that it reads in the store are those of
its links, as behind a translation of addresses.
"""

import asyncio
import base64
import json

import aiohttp
from aiohttp import web

from review.kit import engines

__all__ = ["PeerLink", "StoreLink"]

INSTANCE_TABLE = "sycamoreshed-instances"


class PeerLink:
    """A link from one process to the address of another one.

    Attributes
    ----------
    target : str or None
        The address that it leads to.
    """

    def __init__(self):
        self._writers = set()
        self._server = None
        self.target = None
        self.is_cut = False
        self.address = None

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self):
        """Stop listening."""
        self._server.close()
        self._reset()

    def cut(self):
        """Reset the open connections, and each new one."""
        self.is_cut = True
        self._reset()

    def _reset(self):
        for writer in list(self._writers):
            engines.abort(writer)

    async def _serve(self, reader, writer):
        if self.is_cut:
            engines.abort(writer)
            return
        host, port = self.target.split(":")
        try:
            onward = await asyncio.open_connection(host, int(port))
        except OSError:
            engines.abort(writer)
            return
        self._writers |= {writer, onward[1]}
        await asyncio.gather(
            _copy(reader, onward[1]), _copy(onward[0], writer)
        )
        self._writers -= {writer, onward[1]}


async def _copy(reader, writer):
    try:
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
    except OSError:
        pass
    finally:
        writer.close()


class StoreLink:
    """The link of one process to the store.

    Parameters
    ----------
    store : str
        Address of the store.
    links : dict of str to PeerLink
        The process's links, by the names of the other processes.
    """

    def __init__(self, *, store, links):
        self._store = store
        self._links = links
        self._runner = None
        self._session = None
        self._pending = {}
        self.is_cut = False
        self.address = None

    async def start(self):
        """Listen on a free port."""
        self._session = aiohttp.ClientSession()
        self._runner = web.ServerRunner(
            web.Server(self._handle), shutdown_timeout=0
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        host, port = self._runner.addresses[0]
        self.address = f"{host}:{port}"

    async def stop(self):
        """Stop listening."""
        await self._runner.cleanup()
        await self._session.close()

    def cut(self):
        """Reset the open connections, and each new one."""
        self.is_cut = True
        for transport in list(self._pending.values()):
            transport.abort()

    async def _handle(self, http):
        if self.is_cut:
            http.transport.abort()
            return web.Response()
        self._pending[id(http)] = http.transport
        try:
            async with self._session.request(
                http.method,
                f"http://{self._store}{http.raw_path}",
                data=await http.read(),
                headers={"Content-Type": "application/json"},
            ) as answer:
                body = await answer.read()
        finally:
            self._pending.pop(id(http), None)
        if http.query.get("table") == INSTANCE_TABLE:
            body = self._translate(body)
        return web.Response(
            status=answer.status, body=body, content_type="application/json"
        )

    def _translate(self, body):
        document = json.loads(body)
        for row in document.get("rows", ()):
            link = self._links.get(row["key"])
            if link is None or row.get("value") is None:
                continue
            value = json.loads(base64.b64decode(row["value"]))
            control = _with_control(value, link.address)
            row["value"] = base64.b64encode(
                json.dumps(control).encode()
            ).decode()
        return json.dumps(document).encode()


def _with_control(value, address):
    """Return the row of a process with another control address."""
    if isinstance(value, dict):
        return {**value, "control": address}
    # Name, zone and control address come first.
    return [*value[:2], address, *value[3:]]
