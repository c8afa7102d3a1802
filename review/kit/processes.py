"""The project's processes, started with the command of the deploy file."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import socket

import aiohttp

__all__ = ["Addresses", "Process", "wait_ready"]

ROOT = pathlib.Path(__file__).resolve().parents[2]
# As in deploy/system.toml, with the path of a settings file.
COMMAND = ("python3", "-m", "sycamoreshed", "gateway")
READY_S = 20.0


class Addresses:
    """Loopback addresses that are kept for processes.

    A bound socket that does not listen keeps a port from being taken by a
    connection, and does not stand in the way of the process.
    """

    def __init__(self):
        self._sockets = []

    def take(self):
        """Return an address that nothing else uses."""
        kept = socket.socket()
        kept.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        kept.bind(("127.0.0.1", 0))
        self._sockets.append(kept)
        host, port = kept.getsockname()
        return f"{host}:{port}"

    def close(self):
        """Give all addresses back."""
        for kept in self._sockets:
            kept.close()


class Process:
    """One process of the gateway role.

    Parameters
    ----------
    folder : pathlib.Path
        Where its settings and its log are written.
    document : dict
        Its settings.
    """

    def __init__(self, *, folder, document):
        self._folder = folder
        self.document = document
        self.process = None

    @property
    def name(self):
        """Name of the instance."""
        return self.document["instance"]

    @property
    def public(self):
        """Address for requesters."""
        return self.document["public"]

    @property
    def log(self):
        """Path of the log."""
        return self._folder / f"{self.name}.log"

    async def start(self):
        """Start the process."""
        path = self._folder / f"{self.name}.json"
        path.write_text(json.dumps(self.document))
        python_path = os.pathsep.join(
            [str(ROOT / "target" / "deps"), str(ROOT)]
        )
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *COMMAND,
                str(path),
                cwd=ROOT,
                env={**os.environ, "PYTHONPATH": python_path},
                stdout=log,
                stderr=log,
            )

    def pause(self):
        """Stop the process, which keeps its connections."""
        self.process.send_signal(signal.SIGSTOP)

    async def end(self):
        """Kill the process if it runs."""
        if self.process is None:
            return
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGKILL)
        await self.process.wait()

    async def is_ready(self, session):
        """Return whether it takes requesters, as the platform asks."""
        url = f"http://{self.document['ready']}/v1/readyz"
        try:
            async with session.get(url) as answer:
                return answer.status == 200
        except (aiohttp.ClientError, OSError):
            return False


async def wait_ready(running, session):
    """Wait until all processes are ready.

    Raises
    ------
    RuntimeError or TimeoutError
        If one has ended, or is not ready in time.
    """
    async with asyncio.timeout(READY_S):
        for each in running:
            while not await each.is_ready(session):
                if each.process.returncode is not None:
                    raise RuntimeError(each.log.read_text())
                await asyncio.sleep(0.1)
