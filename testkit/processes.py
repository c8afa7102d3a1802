"""Real processes for tests: daemons and hosts of stand-ins."""

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

START_S = 20.0
START_AT_ONCE = 4
STOP_S = 40.0
HOST = "127.0.0.1"
PROGRAM = (sys.executable, "-m", "sycamoreshed")


def free_port(host=HOST):
    """Ask the system for a port nobody uses."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Ports:
    """Ports kept for daemons until the end of a test.

    Notes
    -----
    A port that is merely looked up can be taken by an outgoing
    connection before the daemon listens on it.  A socket that is bound
    and does not listen keeps it from that, and does not hinder a
    listener, since both allow the reuse of the address.
    """

    def __init__(self):
        self._sockets = []

    def take(self, host):
        """Return a port that stays reserved."""
        holder = socket.socket()
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind((host, 0))
        self._sockets.append(holder)
        return holder.getsockname()[1]

    def close(self):
        """Give all ports back."""
        for holder in self._sockets:
            holder.close()


class Daemon:
    """One entry instance as a real process.

    Parameters
    ----------
    document : dict
        Its settings.
    folder : pathlib.Path
        Where settings and log go.
    program : sequence of str
        How to run it.
    env : dict, optional
        Added to the environment.
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
        """Address its connections come from."""
        return self.document["control"].rpartition(":")[0]

    @property
    def lines(self):
        """Log lines so far, decoded."""
        result = []
        for line in self._log.read_text().splitlines():
            with contextlib.suppress(ValueError):
                result.append(json.loads(line))
        return result

    async def start(self):
        """Start the process and wait until it answers."""
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
        """Wait until callers would be sent here."""
        await self._wait_for("/readyz")

    def send_signal(self, number):
        """Send the process a signal."""
        self.process.send_signal(number)

    async def stop(self):
        """Stop gracefully; return the exit code."""
        if self.process.returncode is None:
            self.send_signal(signal.SIGCONT)
            self.send_signal(signal.SIGTERM)
        return await asyncio.wait_for(self.process.wait(), STOP_S)

    async def kill(self):
        """End the process at once."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()

    async def _wait_for(self, path):
        url = f"http://{self.public}{path}"
        async with (
            asyncio.timeout(START_S),
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
        Of the stand-ins, by name.
    daemons : list of Daemon
    session : aiohttp.ClientSession
    host : asyncio.subprocess.Process
        The process of the stand-ins.
    proxies : dict of str to Proxy
        By name of the stand-in or daemon behind; empty unless asked for.
    """

    addresses: dict
    daemons: list
    session: aiohttp.ClientSession
    host: asyncio.subprocess.Process
    proxies: dict

    def cut(self, instances, names):
        """Cut daemons off from what stands behind some proxies.

        Parameters
        ----------
        instances : list of int
            Which daemons; an empty list heals.
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
            Which daemon.
        **headers
            With underscores for dashes.
        """
        address = self.daemons[index].public
        named = {name.replace("_", "-"): headers[name] for name in headers}
        named.setdefault("Team", "gaucho")
        async with self.session.post(
            f"http://{address}/v1/pipelines/{pipeline}",
            json=body,
            headers=named,
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
    """Return stand-in specifications for the services of the builders."""
    specs = []
    for service, spec in builders.SERVICES.items():
        for number in range(1, per_service + 1):
            name = f"{service}-{number}"
            specs.append({"kind": spec["kind"], "name": name})
    return specs


async def start_host(specs):
    """Start a process of stand-ins; return it and the addresses."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "standins.host",
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    process.stdin.write(json.dumps(specs).encode() + b"\n")
    await process.stdin.drain()
    line = await asyncio.wait_for(process.stdout.readline(), START_S)
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
    **changes,
):
    """Run stand-ins and daemons with the builders' configuration.

    Parameters
    ----------
    daemons : int
    specs : list of dict, optional
        Stand-ins beside the platform.
    zones : list of str, optional
        Zone of each daemon; the region is the part before the dash.
    proxied : bool
        Put a proxy before each stand-in and each daemon's control
        address.
    program : sequence of str
        How to run a daemon.
    env : dict, optional
        Added to the environment of each daemon.
    **changes
        To the settings of each daemon.
    """
    specs = endpoint_specs() if specs is None else specs
    zones = zones or ["north-a"] * daemons
    host, addresses = await start_host([*PLATFORM, *specs])
    result = None
    async with contextlib.AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        session = await stack.enter_async_context(aiohttp.ClientSession())
        result = Cluster(addresses, [], session, host, {})
        stack.push_async_callback(_stop, result)
        reached = dict(addresses)
        if proxied:
            for name, address in addresses.items():
                reached[name] = await _put_proxy(result, name, address)
        ports = stack.enter_context(contextlib.closing(Ports()))
        documents = await _documents(result, reached, zones, ports, changes)
        for document in documents:
            daemon = Daemon(
                document=document,
                folder=pathlib.Path(folder),
                program=program,
                env=env,
            )
            result.daemons.append(daemon)
        for first in range(0, len(documents), START_AT_ONCE):
            batch = result.daemons[first : first + START_AT_ONCE]
            await asyncio.gather(*[daemon.start() for daemon in batch])
        await _configure(result, specs, reached)
        yield result


async def _documents(running, reached, zones, ports, changes):
    documents = []
    # A network of its own for each cluster: daemons connect from their
    # own addresses, and a connection of another cluster could otherwise
    # hold the port that a daemon was given and has not bound yet.
    network = f"127.{random.randrange(1, 255)}.{random.randrange(1, 255)}"
    for index, zone in enumerate(zones):
        # An address of its own, so that proxies can tell daemons apart.
        own = f"{network}.{index + 1}"
        name = f"entry-{index + 1}"
        control = f"{own}:{ports.take(own)}"
        advertise = control
        if "table" in running.proxies:
            advertise = await _put_proxy(running, name, control)
        document = builders.settings_document(
            reached,
            public=f"{own}:{ports.take(own)}",
            control=control,
            advertise=advertise,
            instance=name,
            zone=zone,
            region=zone.split("-")[0],
            **changes,
        )
        documents.append(document)
    first = [document["advertise"] for document in documents]
    for document in documents:
        document.setdefault("peers", first)
    return documents


async def _put_proxy(running, name, address):
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


async def _configure(running, specs, reached):
    endpoints = {}
    for spec in specs:
        endpoints[spec["name"]] = builders.endpoint_spec(
            reached[spec["name"]],
            spec.get("service", spec["name"].rpartition("-")[0]),
            zone=spec.get("zone", "north-a"),
            slots=spec.get("slots", 8),
        )
    status, body = await running.apply(0, builders.first_note(endpoints))
    if status != 200:
        raise RuntimeError(body)
    for daemon in running.daemons:
        await daemon.wait_ready()
