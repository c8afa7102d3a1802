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

__all__ = ["ENGINE_TABLE", "INSTANCE_TABLE", "Link", "StoreLink"]

INSTANCE_TABLE = "sycamoreshed-instances"
ENGINE_TABLE = "servers"


class Link:
    """A link from one process to the address of another one.

    Parameters
    ----------
    target : str, optional
        The address that it leads to.
    delay_s : float
        Seconds that bytes need each way; a connection takes one round trip
        before its first bytes.

    Attributes
    ----------
    target : str or None
    is_cut : bool
    address : str
    """

    def __init__(self, target=None, *, delay_s=0.0):
        self._delay_s = delay_s
        self._writers = set()
        self._server = None
        self.target = target
        self.is_cut = False
        self.address = None

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, backlog=512
        )
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
        try:
            await asyncio.gather(
                _copy(reader, onward[1], self._delay_s, 2 * self._delay_s),
                _copy(onward[0], writer, self._delay_s, 0.0),
            )
        finally:
            self._writers -= {writer, onward[1]}


async def _copy(reader, writer, delay_s, first_s):
    """Copy bytes, each after a delay; the first ones wait longer."""
    now = asyncio.get_running_loop().time
    parts = asyncio.Queue()
    opened_at = now() + first_s

    async def receive():
        try:
            while data := await reader.read(65536):
                parts.put_nowait((max(now(), opened_at) + delay_s, data))
            parts.put_nowait((max(now(), opened_at) + delay_s, b""))
        except OSError:
            parts.put_nowait((now() + delay_s, None))

    receiving = asyncio.ensure_future(receive())
    try:
        while True:
            due_at, data = await parts.get()
            if due_at > now():
                await asyncio.sleep(due_at - now())
            if data is None:
                engines.abort(writer)
                return
            if not data:
                return
            writer.write(data)
            await writer.drain()
    except OSError:
        pass
    finally:
        receiving.cancel()
        writer.close()


class StoreLink:
    """The link of one process to the store.

    Parameters
    ----------
    store : str
        Address of the store.
    links : dict of str to Link
        The process's links, by the names of the other processes.
    zone_delays : dict of str to float
        Seconds each way to the engines of each zone.
    """

    def __init__(self, *, store, links, zone_delays):
        self._store = store
        self._links = links
        self._zone_delays = zone_delays
        self._engine_links = {}
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
        for link in self._engine_links.values():
            await link.stop()

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
        table = http.query.get("table")
        if table in (INSTANCE_TABLE, ENGINE_TABLE):
            body = await self._translate(table, body)
        return web.Response(
            status=answer.status, body=body, content_type="application/json"
        )

    async def _translate(self, table, body):
        document = json.loads(body)
        for row in document.get("rows", ()):
            if row.get("value") is None:
                continue
            value = json.loads(base64.b64decode(row["value"]))
            if table == ENGINE_TABLE:
                value["address"] = await self._link_to(value)
            elif row["key"] in self._links:
                link = self._links[row["key"]]
                # Name, zone and control address come first.
                value = [*value[:2], link.address, *value[3:]]
            raw = json.dumps(value).encode()
            row["value"] = base64.b64encode(raw).decode()
        return json.dumps(document).encode()

    async def close_engine(self, address):
        """Refuse connections to an engine that is gone."""
        link = self._engine_links.get(address)
        if link is not None:
            await link.stop()

    async def _link_to(self, entry):
        """Return the address of an engine, or of the link to it."""
        address = entry["address"]
        delay_s = self._zone_delays[entry["zone"]]
        if not delay_s:
            return address
        link = self._engine_links.get(address)
        if link is None:
            link = Link(address, delay_s=delay_s)
            self._engine_links[address] = link
            await link.start()
        return link.address
