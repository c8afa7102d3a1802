"""Gateway daemons as real processes, for tests."""

import asyncio
import contextlib
import json
import os
import signal
import sys

import aiohttp

from testkit import processes
from testkit import wiredata

__all__ = ["Gateway", "gateways"]

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0
HOST = "127.0.0.1"
PROGRAM = (sys.executable, "-m", "sycamoreshed")


class Gateway:
    """One gateway daemon as a real process.

    Parameters
    ----------
    folder : pathlib.Path
        Directory for the settings file and the log.
    ports : Ports
    document : dict
        Changes to the settings of `wiredata.settings`.
    program : sequence of str, optional
        Command that runs the daemon.
    """

    def __init__(self, *, folder, ports, document, program=PROGRAM):
        addresses = {
            name: f"{HOST}:{ports.reserve(HOST)}"
            for name in ("public", "ready", "control")
        }
        self.document = wiredata.settings(**{**addresses, **document})
        name = self.document["instance"]
        self._settings = folder / f"{name}.json"
        self._log = folder / f"{name}.log"
        self._program = program
        self.process = None

    @property
    def public(self):
        """Address for callers."""
        return self.document["public"]

    @property
    def settings(self):
        """Path of the settings file."""
        return self._settings

    @property
    def control(self):
        """Address for other instances and operators."""
        return self.document["control"]

    def write_settings(self):
        """Write the settings file."""
        self._settings.write_text(json.dumps(self.document))

    async def start(self):
        """Start the process without waiting until it is ready."""
        self.write_settings()
        with open(self._log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self._program,
                "gateway",
                str(self._settings),
                stdout=log,
                stderr=log,
                env=dict(os.environ),
            )

    async def stop(self):
        """Stop gracefully; return the exit code."""
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.send_signal(signal.SIGTERM)
        return await asyncio.wait_for(self.process.wait(), STOP_TIMEOUT_S)

    async def kill(self):
        """Kill the process."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()

    def events(self, name):
        """Return the log lines of one event."""
        matching = []
        for line in self._log.read_text().splitlines():
            with contextlib.suppress(ValueError):
                document = json.loads(line)
                if document.get("event") == name:
                    matching.append(document)
        return matching

    async def is_ready(self):
        """Return whether the daemon reports that it is ready."""
        url = f"http://{self.document['ready']}/ready"
        try:
            async with (
                aiohttp.ClientSession() as session,
                session.get(url) as answer,
            ):
                return answer.status == 200
        except aiohttp.ClientError:
            return False

    async def wait_ready(self):
        """Wait until the daemon reports that it is ready."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self.is_ready():
                if self.process.returncode is not None:
                    raise RuntimeError(self._log.read_text())
                await asyncio.sleep(0.05)

    async def status(self):
        """Return the operator status of the daemon."""
        url = f"http://{self.control}/control/status"
        async with (
            aiohttp.ClientSession() as session,
            session.get(url) as answer,
        ):
            return await answer.json()


@contextlib.asynccontextmanager
async def gateways(folder, documents, *, program=PROGRAM):
    """Start gateway daemons; kill them at the end of the block.

    Does not wait until they are ready.

    Parameters
    ----------
    folder : pathlib.Path
    documents : list of dict
        Changes to the settings of each daemon.
    program : sequence of str, optional
        Command that runs each daemon.
    """
    ports = processes.Ports()
    running = [
        Gateway(folder=folder, ports=ports, document=document, program=program)
        for document in documents
    ]
    try:
        for gateway in running:
            await gateway.start()
        yield running
    finally:
        for gateway in running:
            if gateway.process is not None:
                await gateway.kill()
        ports.close()
