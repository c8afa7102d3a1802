"""Stand-ins and daemons of one run, and the actions of scenarios on them."""

import asyncio
import contextlib
import os
import pathlib
import tempfile

import aiohttp

from bench import deployments
from testkit import builders
from testkit import processes

__all__ = ["World", "running"]

HOSTS = 3
CHECK_S = 0.3


class World:
    """A running deployment.

    Attributes
    ----------
    daemons : list of Daemon
    ready : list of Daemon
        Daemons to which the platform's balancer would send callers.
    addresses : dict of str to str
        Addresses of stand-ins, by name.
    """

    def __init__(self, *, deployment, session):
        self._session = session
        self._delays = {}
        self._slow = {}
        self._hosts = []
        self.deployment = deployment
        self.daemons = []
        self.ready = []
        self.addresses = {}

    async def start(self, folder, *, instances, changes):
        """Start all processes and apply the configuration."""
        await self._start_hosts()
        for document in self._documents(instances, changes):
            daemon = processes.Daemon(document=document, folder=folder)
            self.daemons.append(daemon)
        await asyncio.gather(*(daemon.start() for daemon in self.daemons))
        await self._configure()
        for daemon in self.daemons:
            await daemon.wait_ready()
        self.ready = list(self.daemons)
        await asyncio.gather(
            *(self.slow(spec["name"], 1.0) for spec in self.deployment.specs)
        )

    async def stop(self):
        """End all processes."""
        for daemon in self.daemons:
            if daemon.process is not None:
                await daemon.kill()
        for host in self._hosts:
            if host.returncode is None:
                host.terminate()
            await host.wait()

    async def balance(self):
        """Update `ready` by health checks, as a platform's balancer does."""
        while True:
            states = await asyncio.gather(
                *(self._is_ready(daemon) for daemon in self.daemons)
            )
            self.ready = [
                daemon
                for daemon, up in zip(self.daemons, states, strict=True)
                if up
            ]
            await asyncio.sleep(CHECK_S)

    async def faults(self, name, **spec):
        """Set the faults of a stand-in, in addition to its network delays."""
        url = f"http://{self.addresses[name]}/faults"
        body = {**self._delays.get(name, {}), **spec}
        async with self._session.post(url, json=body) as answer:
            answer.raise_for_status()

    async def slow(self, name, times):
        """Slow a stand-in down by a factor of `times`."""
        await self.faults(name, slow=times)

    async def store(self, up):
        """Take the table service and the object store down, or up again."""
        for name in ("table", "objects"):
            await self.faults(name, down=not up)

    async def lose_zone(self, zone):
        """Kill the instances and take down the endpoints of a zone."""
        for daemon in self.daemons:
            if daemon.document["zone"] == zone:
                await daemon.kill()
        for spec in self.deployment.specs:
            if spec["zone"] == zone:
                await self.faults(spec["name"], down=True)

    async def restart_all(self):
        """Restart the instances one after another."""
        for daemon in self.daemons:
            await daemon.stop()
            await daemon.start()
            await daemon.wait_ready()

    async def get(self, address, path):
        """Return the text of an answer, or None if the call fails."""
        try:
            async with self._session.get(f"http://{address}{path}") as answer:
                return await answer.text()
        except aiohttp.ClientError:
            return None

    async def _is_ready(self, daemon):
        timeout = aiohttp.ClientTimeout(total=CHECK_S * 3)
        url = f"http://{daemon.public}/readyz"
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with self._session.get(url, timeout=timeout) as answer:
                return answer.status == 200
        return False

    async def _start_hosts(self):
        groups = [list(processes.PLATFORM)] + [[] for _ in range(HOSTS)]
        for index, spec in enumerate(self.deployment.specs):
            groups[1 + index % HOSTS].append(spec)
        started = await asyncio.gather(
            *(processes.start_host(group) for group in groups)
        )
        for host, addresses in started:
            self._hosts.append(host)
            self.addresses |= addresses

    def _documents(self, instances, changes):
        zones = self.deployment.zones
        step = max(1, len(zones) // instances)
        documents = []
        # A loopback network by process id, so that concurrent runs with
        # different ones cannot take each other's free port before a daemon
        # listens on it.
        net = 2 + os.getpid() % 250
        for index in range(instances):
            zone = zones[index * step % len(zones)]
            host = f"127.0.{net}.{index + 1}"
            documents.append(
                builders.settings_document(
                    self.addresses,
                    public=f"{host}:{processes.free_port(host)}",
                    control=f"{host}:{processes.free_port(host)}",
                    instance=f"entry-{index + 1}",
                    zone=zone,
                    region=deployments.region_of(zone),
                    **changes,
                )
            )
        peers = [document["control"] for document in documents]
        for document in documents:
            document["peers"] = peers
        return documents

    async def _configure(self):
        endpoints = {}
        for spec in self.deployment.specs:
            endpoints[spec["name"]] = builders.endpoint_spec(
                self.addresses[spec["name"]],
                spec["service"],
                zone=spec["zone"],
                slots=spec["slots"],
            )
            self._delays[spec["name"]] = {
                "delay_from": self._round_trips(spec)
            }
        added = {**self.deployment.sections, "endpoints": endpoints}
        url = f"http://{self.daemons[0].control}/control/notes"
        note = builders.note(0, added=added)
        async with self._session.post(url, json=note) as answer:
            if answer.status != 200:
                raise RuntimeError(await answer.text())

    def _round_trips(self, spec):
        region = deployments.region_of(spec["zone"])
        delays = {}
        for daemon in self.daemons:
            seconds = deployments.NEAR_ROUND_TRIP_S
            if daemon.document["region"] != region:
                seconds = deployments.FAR_ROUND_TRIP_S
            delays[daemon.source] = seconds
        return delays


@contextlib.asynccontextmanager
async def running(deployment, *, instances, changes):
    """Context manager that runs a deployment.

    Parameters
    ----------
    deployment : Deployment
    instances : int
    changes : dict
        Changes to the settings of each daemon.
    """
    async with aiohttp.ClientSession() as session:
        world = World(deployment=deployment, session=session)
        with tempfile.TemporaryDirectory() as folder:
            try:
                await world.start(
                    pathlib.Path(folder),
                    instances=instances,
                    changes=changes,
                )
                yield world
            finally:
                await world.stop()
