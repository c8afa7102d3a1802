"""Daemons and stand-ins as real processes, for tests."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import typing

import aiohttp

from testkit import builders
from testkit import proxy as proxies

__all__ = ["Cluster", "Daemon", "cluster", "free_port"]

START_TIMEOUT_S = 20.0
MAX_CONCURRENT_STARTS = 4
STOP_TIMEOUT_S = 40.0
HOST = "127.0.0.1"
PROGRAM = (sys.executable, "-m", "sycamoreshed")


def free_port(host=HOST):
    """Return a port that is currently unused."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Ports:
    """Ports reserved for daemons until the end of a test.

    Notes
    -----
    A port that is only looked up can be assigned to an outgoing
    connection before the daemon listens on it.  A bound socket that does
    not listen prevents this, and does not block the listener, because
    both set ``SO_REUSEADDR``.
    """

    def __init__(self):
        self._sockets = []

    def reserve(self, host):
        """Reserve a port and return it."""
        reserved = socket.socket()
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.bind((host, 0))
        self._sockets.append(reserved)
        return reserved.getsockname()[1]

    def close(self):
        """Release all ports."""
        for reserved in self._sockets:
            reserved.close()


class Daemon:
    """One daemon as a real process.

    Parameters
    ----------
    document : dict
        Settings document.
    folder : pathlib.Path
        Directory for the settings file and the log.
    program : sequence of str
        Command that runs the daemon.
    env : dict, optional
        Additional environment variables.
    """

    def __init__(self, *, document, folder, program=PROGRAM, env=None):
        self._folder = folder
        self._log = folder / f"{document['instance']}.log"
        self._program = program
        self._env = env or {}
        self.document = document
        self.process = None

    @property
    def public(self):
        """Address for callers."""
        return self.document["public"]

    @property
    def control(self):
        """Address for peers and operators."""
        return self.document["control"]

    @property
    def source(self):
        """Source address of its connections."""
        return self.document["control"].rpartition(":")[0]

    @property
    def log(self):
        """Path of the log."""
        return self._log

    @property
    def lines(self):
        """Decoded log lines so far."""
        result = []
        for line in self._log.read_text().splitlines():
            with contextlib.suppress(ValueError):
                result.append(json.loads(line))
        return result

    async def start(self):
        """Start the process and wait until it is healthy."""
        path = self._folder / f"{self.document['instance']}.json"
        path.write_text(json.dumps(self.document))
        with open(self._log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self._program,
                "serve",
                "--settings",
                str(path),
                stderr=log,
                stdout=log,
                env={**os.environ, "PYTHONUNBUFFERED": "1", **self._env},
            )
        await self._wait_for("/healthz")

    async def wait_ready(self):
        """Wait until the daemon is ready for traffic."""
        await self._wait_for("/readyz")

    def send_signal(self, number):
        """Send the process a signal."""
        self.process.send_signal(number)

    async def stop(self):
        """Stop gracefully; return the exit code."""
        if self.process.returncode is None:
            self.send_signal(signal.SIGCONT)
            self.send_signal(signal.SIGTERM)
        return await asyncio.wait_for(self.process.wait(), STOP_TIMEOUT_S)

    async def kill(self):
        """Kill the process."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()

    async def _wait_for(self, path):
        url = f"http://{self.public}{path}"
        async with (
            asyncio.timeout(START_TIMEOUT_S),
            aiohttp.ClientSession() as session,
        ):
            while True:
                if self.process.returncode is not None:
                    raise RuntimeError(self._log.read_text())
                with contextlib.suppress(aiohttp.ClientError):
                    async with session.get(url) as answer:
                        if answer.status == 200:
                            return
                await asyncio.sleep(0.05)


class Cluster(typing.NamedTuple):
    """Running stand-ins and daemons.

    Parameters
    ----------
    addresses : dict of str to str
        Addresses of the stand-ins by name.
    daemons : list of Daemon
    session : aiohttp.ClientSession
    host : asyncio.subprocess.Process
        Process that hosts the stand-ins.
    proxies : dict of str to Proxy
        Proxies by name of their stand-in or daemon; empty unless the
        cluster runs with `proxied`.
    """

    addresses: dict
    daemons: list
    session: aiohttp.ClientSession
    host: asyncio.subprocess.Process
    proxies: dict

    def cut(self, instances, names):
        """Partition daemons from the targets of some proxies.

        Parameters
        ----------
        instances : list of int
            Indexes of the daemons; an empty list ends the partition.
        names : iterable of str
            Names of stand-ins or daemons.
        """
        sources = {self.daemons[index].source for index in instances}
        for name in names:
            self.proxies[name].blocked = set(sources)

    async def call(self, index, pipeline, body, **headers):
        """Call a pipeline through a daemon; return status, headers, JSON.

        Parameters
        ----------
        index : int
            Index of the daemon.
        **headers
            Request headers, with underscores for dashes.
        """
        address = self.daemons[index].public
        fields = {name.replace("_", "-"): headers[name] for name in headers}
        fields.setdefault("Team", "gaucho")
        async with self.session.post(
            f"http://{address}/v1/pipelines/{pipeline}",
            json=body,
            headers=fields,
        ) as answer:
            return answer.status, answer.headers, await answer.json()

    async def faults(self, name, **spec):
        """Set the faults of a stand-in."""
        url = f"http://{self.addresses[name]}/faults"
        async with self.session.post(url, json=spec) as answer:
            answer.raise_for_status()

    async def get(self, name, path):
        """Get JSON from a stand-in."""
        url = f"http://{self.addresses[name]}{path}"
        async with self.session.get(url) as answer:
            return await answer.json()

    async def post(self, name, path):
        """Post an empty body to a stand-in."""
        url = f"http://{self.addresses[name]}{path}"
        async with self.session.post(url):
            pass

    async def apply(self, index, note):
        """Apply a release note through a daemon."""
        url = f"http://{self.daemons[index].control}/control/notes"
        async with self.session.post(url, json=note) as answer:
            return answer.status, await answer.json()


PLATFORM = (
    {"kind": "table", "name": "table"},
    {"kind": "objects", "name": "objects"},
    {"kind": "instances", "name": "instances"},
    {"kind": "weights", "name": "weights"},
)


def endpoint_specs(per_service=2):
    """Return specifications of stand-ins for `builders.SERVICES`."""
    specs = []
    for service, spec in builders.SERVICES.items():
        for number in range(1, per_service + 1):
            name = f"{service}-{number}"
            specs.append({"kind": spec["kind"], "name": name})
    return specs


async def start_host(specs):
    """Start a host of stand-ins; return its process and the addresses."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "standins.host",
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    process.stdin.write(json.dumps(specs).encode() + b"\n")
    await process.stdin.drain()
    line = await asyncio.wait_for(process.stdout.readline(), START_TIMEOUT_S)
    return process, json.loads(line)


@contextlib.asynccontextmanager
async def cluster(
    *,
    daemons=1,
    specs=None,
    zones=None,
    proxied=False,
    program=PROGRAM,
    env=None,
    table_era=None,
    **changes,
):
    """Run stand-ins and daemons with the configuration of `builders`.

    Parameters
    ----------
    daemons : int
        Number of daemons; ignored if `zones` is given.
    specs : list of dict, optional
        Stand-ins in addition to those of the platform; `endpoint_specs()`
        by default.
    zones : list of str, optional
        Zone of each daemon; the region is the part before the dash.
    proxied : bool
        Put a proxy in front of each stand-in and of each daemon's
        control address.
    program : sequence of str
        Command that runs a daemon.
    env : dict, optional
        Additional environment variables of each daemon.
    table_era : int, optional
        First era that the table service tells.
    **changes
        Changes to the settings of each daemon.
    """
    specs = endpoint_specs() if specs is None else specs
    zones = zones or ["north-a"] * daemons
    platform = [
        {**spec, "era": table_era} if spec["kind"] == "table" else spec
        for spec in PLATFORM
    ]
    host, addresses = await start_host([*platform, *specs])
    result = None
    async with contextlib.AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        session = await stack.enter_async_context(aiohttp.ClientSession())
        result = Cluster(addresses, [], session, host, {})
        stack.push_async_callback(_stop, result)
        dial_addresses = dict(addresses)
        if proxied:
            for name, address in addresses.items():
                dial_addresses[name] = await _start_proxy(
                    result, name, address
                )
        ports = stack.enter_context(contextlib.closing(Ports()))
        documents = await _settings_documents(
            result, dial_addresses, zones, ports, changes
        )
        for document in documents:
            daemon = Daemon(
                document=document,
                folder=pathlib.Path(folder),
                program=program,
                env=env,
            )
            result.daemons.append(daemon)
        for batch_start in range(0, len(documents), MAX_CONCURRENT_STARTS):
            batch = result.daemons[
                batch_start : batch_start + MAX_CONCURRENT_STARTS
            ]
            await asyncio.gather(*[daemon.start() for daemon in batch])
        await _configure(result, specs, dial_addresses)
        yield result


async def _settings_documents(running, dial_addresses, zones, ports, changes):
    documents = []
    # Each cluster uses a random loopback network.  Daemons connect from
    # their own addresses, so a connection of another cluster could
    # otherwise occupy a port that a daemon was assigned and has not bound
    # yet.
    network = f"127.{random.randrange(1, 255)}.{random.randrange(1, 255)}"
    for index, zone in enumerate(zones):
        # Separate addresses let proxies distinguish the daemons.
        own_ip = f"{network}.{index + 1}"
        name = f"entry-{index + 1}"
        control = f"{own_ip}:{ports.reserve(own_ip)}"
        advertise = control
        if "table" in running.proxies:
            advertise = await _start_proxy(running, name, control)
        document = builders.settings_document(
            dial_addresses,
            public=f"{own_ip}:{ports.reserve(own_ip)}",
            control=control,
            advertise=advertise,
            instance=name,
            zone=zone,
            region=zone.split("-")[0],
            **changes,
        )
        documents.append(document)
    peers = [document["advertise"] for document in documents]
    for document in documents:
        document.setdefault("peers", peers)
    return documents


async def _start_proxy(running, name, address):
    proxy = proxies.Proxy(target=address)
    await proxy.start()
    running.proxies[name] = proxy
    return proxy.address


async def _stop(running):
    for daemon in running.daemons:
        if daemon.process is not None:
            await daemon.kill()
    for proxy in running.proxies.values():
        await proxy.stop()
    if running.host.returncode is None:
        running.host.terminate()
    await running.host.wait()


async def _configure(running, specs, dial_addresses):
    endpoints = {}
    for spec in specs:
        endpoints[spec["name"]] = builders.endpoint_spec(
            dial_addresses[spec["name"]],
            spec.get("service", spec["name"].rpartition("-")[0]),
            zone=spec.get("zone", "north-a"),
            slots=spec.get("slots", 8),
        )
    status, body = await running.apply(0, builders.first_note(endpoints))
    if status != 200:
        raise RuntimeError(body)
    for daemon in running.daemons:
        await daemon.wait_ready()
