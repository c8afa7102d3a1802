"""A gateway daemon whose links to endpoints can be cut from outside.

``python -m testkit.partitioned gateway SETTINGS`` runs the daemon.  A
document beside the settings, which `Partition` writes, names the addresses
that it cannot reach; everything else stays reachable.
"""

import asyncio
import json
import os
import pathlib
import socket
import sys
import threading
import time
import weakref

from aiohttp import connector

from sycamoreshed import __main__ as program

__all__ = ["PROGRAM", "Partition"]

PROGRAM = (sys.executable, "-m", "testkit.partitioned")
POLL_S = 0.02


class Partition:
    """Cuts the links of a daemon that runs as `PROGRAM`.

    Parameters
    ----------
    settings : pathlib.Path
        Settings file of the daemon.
    """

    def __init__(self, settings):
        self._path = _document_path(settings)

    def cut(self, addresses, how):
        """Cut the links to some addresses.

        Parameters
        ----------
        addresses : list of str
        how : str
            ``hang`` leaves new connections unanswered, ``refuse`` resets
            those that are open and refuses new ones, ``live`` refuses new
            ones only.
        """
        document = {"addresses": addresses, "how": how}
        temporary = self._path.with_suffix(".new")
        temporary.write_text(json.dumps(document))
        os.replace(temporary, self._path)

    def heal(self):
        """Restore all links."""
        self.cut([], "live")


class _Links:
    """The links of this process, as the document says.

    Notes
    -----
    `loop.create_connection` with a host is not covered: the program opens
    its connections by the two functions that `install` replaces.
    """

    def __init__(self, path):
        self._path = path
        self._open = weakref.WeakKeyDictionary()
        self._start_connection = connector.aiohappyeyeballs.start_connection
        self._open_connection = asyncio.open_connection

    def install(self):
        """Make all further connections of this process obey the document."""
        connector.aiohappyeyeballs.start_connection = self.start_connection
        asyncio.open_connection = self.open_connection
        threading.Thread(target=self._reset_open, daemon=True).start()

    async def start_connection(self, *, addr_infos, **options):
        """Connect a socket, or fail as if the link were cut."""
        host, port = addr_infos[0][4][:2]
        await self._pass(host, port)
        connected = await self._start_connection(
            addr_infos=addr_infos, **options
        )
        self._open[connected] = f"{host}:{port}"
        return connected

    async def open_connection(self, host, port, **options):
        """Open a connection, or fail as if the link were cut."""
        await self._pass(host, port)
        return await self._open_connection(host, port, **options)

    def _read(self):
        try:
            return json.loads(self._path.read_text())
        except FileNotFoundError:
            return {"addresses": [], "how": "live"}

    async def _pass(self, host, port):
        document = self._read()
        if f"{host}:{port}" not in document["addresses"]:
            return
        if document["how"] == "hang":
            await asyncio.Event().wait()
        raise ConnectionRefusedError(f"cut off from {host}:{port}")

    def _reset_open(self):
        while True:
            time.sleep(POLL_S)
            document = self._read()
            if document["how"] != "refuse":
                continue
            for each, address in list(self._open.items()):
                if address in document["addresses"] and each.fileno() >= 0:
                    _shut_down(each)


def _shut_down(connected):
    try:
        connected.shutdown(socket.SHUT_RDWR)
    except OSError as err:
        print(f"already closed: {err}", file=sys.stderr)


def _document_path(settings):
    return pathlib.Path(settings).with_suffix(".links")


def main():
    """Run the daemon with links that can be cut."""
    _Links(_document_path(sys.argv[-1])).install()
    program.run()


if __name__ == "__main__":
    main()
