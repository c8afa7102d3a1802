"""Instances that know what began streams, and the network between them."""

import asyncio
import functools
import itertools
import types

from sycamoreshed.adapters import web
from sycamoreshed.catalog import catalog as catalogs
from sycamoreshed.catalog import routes
from sycamoreshed.catalog import signals
from sycamoreshed.catalog import tablereads
from sycamoreshed.catalog import types as records
from sycamoreshed.errors import kinds
from sycamoreshed.findings import board
from sycamoreshed.findings import topics
from sycamoreshed.gateway import metrics
from sycamoreshed.kernel import tasks
from sycamoreshed.resumption import holders
from sycamoreshed.resumption import lookup
from sycamoreshed.resumption import origins
from sycamoreshed.resumption import replication
from sycamoreshed.resumption import resumption
from sycamoreshed.resumption import stored
from sycamoreshed.resumption import versions
from testkit import journals

__all__ = ["SERVICE", "Network", "request"]

SERVICE = "writer"
ZONES = ("north-a", "south-a", "east-a")
ROUTE = records.Route(
    "listed", "h", "/", ((SERVICE, 1.0),), streaming=True, resumable=True
)
# One way between instances.
DELAY_S = 0.02
COMPARE_S = 3.0
# Between attempts to reach the store.
RETRY_S = 0.5


class Catalog:
    """What instances know of endpoints and of each other.

    Parameters
    ----------
    peers : dict of str to Peer
    versions : set of str
        Software versions of the only service.
    """

    def __init__(self, peers, versions):
        self.peers = peers
        self.versions = versions
        self.changed = signals.Signal()
        self.routes = routes.RouteTable(routes=(ROUTE,))
        self.is_ready = self.has_peers = True
        self.services = {SERVICE}

    def software_versions(self, _service, _now):
        """Return the versions of all services."""
        return self.versions

    def endpoints(self, service, _now):
        """Return an endpoint of each version."""
        return [
            records.Endpoint(
                f"e-{version}", service, "", "z", 4, software_version=version
            )
            for version in self.versions
        ]


class View:
    """The catalog of one instance, which is old while it is cut off.

    Parameters
    ----------
    catalog : Catalog
        What the store has.
    """

    def __init__(self, catalog):
        self._catalog = catalog
        self._frozen = None

    def __getattr__(self, name):
        return getattr(self._catalog, name)

    @property
    def versions(self):
        """Software versions of the only service."""
        current = self._catalog.versions
        return current if self._frozen is None else self._frozen

    def freeze(self):
        """Learn nothing more from the store."""
        self._frozen = set(self.versions)

    def thaw(self):
        """Learn what the store has."""
        self._frozen = None

    def software_versions(self, _service, _now):
        """Return the versions of all services."""
        return self.versions

    def endpoints(self, service, now):
        """Return an endpoint of each version."""
        return [
            each
            for each in self._catalog.endpoints(service, now)
            if each.software_version in self.versions
        ]


class _Confirmation:
    """Confirms what the catalog of a network holds, if the store answers."""

    def __init__(self, network, name):
        self._network = network
        self._name = name

    async def confirm(self):
        """Return whether the store answers; takes what it tells."""
        network = self._network
        if not network.is_store_reached or self._name in network.cut:
            return False
        if network.stored_versions is not None:
            network.catalog.versions = network.stored_versions
        return True


class _Peers:
    """Avoids each instance that failed for two seconds."""

    def __init__(self, catalog):
        self._catalog = catalog
        self._retry_at = {}

    def zones(self):
        """Return all zones."""
        return set(ZONES)

    def of_zone(self, zone, now):
        """Return the instances of a zone that are not avoided."""
        return {
            each.name: each.control
            for each in self._catalog.peers.values()
            if each.zone == zone and not self.is_avoided(each.control, now)
        }

    def is_avoided(self, control, now):
        """Return whether an instance failed a moment ago."""
        return now < self._retry_at.get(control, 0.0)

    def record_failure(self, control, now, _why):
        """Avoid an instance for some time."""
        self._retry_at[control] = now + 2.0


class Store:
    """Rows of one table.

    Attributes
    ----------
    rows : dict of str to bytes
    failure : Failure or None
        Instead of each answer.
    """

    def __init__(self):
        self.rows = {}
        self.writes = 0
        self.failure = None

    async def put(self, _table, key, value, *, timeout):
        """Write a row."""
        await asyncio.sleep(min(DELAY_S, timeout))
        if self.failure is None:
            self.writes += 1
            self.rows[key] = value
        return self.failure

    async def read(self, _table, *, timeout):
        """Return all rows."""
        await asyncio.sleep(min(DELAY_S, timeout))
        rows = [
            tablereads.Row(key, value, 1) for key, value in self.rows.items()
        ]
        return self.failure or tablereads.Changes(rows, 1, is_full=True)


class Network:
    """Instances in three zones.

    Parameters
    ----------
    size : int
    serving : collection of str
        Software versions of the endpoints.

    Attributes
    ----------
    calls : list of str
        Path of each call between instances.
    lost : set of str
        Names of instances whose links to others are cut.
    cut : set of str
        Those of them that do not reach the store either.
    views : dict of str to View
    store : Store
        Of what began streams.
    is_store_reached : bool
    stored_versions : set of str or None
        Those that the store names if they are not those of the copies.
    """

    def __init__(self, *, size=9, serving=("v1", "v2")):
        self.calls = []
        self.lost = set()
        self.cut = set()
        self.views = {}
        self.is_store_reached = True
        self.stored_versions = None
        self._running = {}
        self._spawned = []
        self._is_running = False
        self.store = Store()
        self.histories = {}
        self._boards = {}
        self._stored = board.Board()
        self._tasks = tasks.BackgroundTasks(clock=_clock())
        peers = {}
        for number in range(size):
            name, zone = f"i-{number}", ZONES[number % len(ZONES)]
            peers[name] = catalogs.Peer(name, zone, name)
        self.catalog = Catalog(peers, set(serving))
        self.instances = {name: self._make(name) for name in peers}

    async def record(self, name, streams, version="v1"):
        """Record at an instance what began some streams, all at once.

        Returns
        -------
        list of bool
            Whether each stream may begin.
        """
        return await asyncio.gather(
            *(
                self.instances[name].record_first_event(
                    request(stream), origins.Origin(SERVICE, version)
                )
                for stream in streams
            )
        )

    def start(self):
        """Run the tasks of all instances until `stop`."""
        self._is_running = True
        for name in self.instances:
            self._start_tasks(name)
        self.spawn(self._compare_findings())

    def stop(self):
        """Cancel all tasks."""
        for each in self._spawned:
            each.cancel()
        for name in list(self._running):
            self._stop_tasks(name)

    def spawn(self, coroutine):
        """Run a coroutine in the background until `stop`."""
        self._spawned.append(asyncio.create_task(coroutine))

    def _start_tasks(self, name):
        instance = self.instances[name]
        self._running[name] = [
            asyncio.create_task(each)
            for each in (
                instance.replicator.run(),
                instance.stored_origins.run_sending(),
                instance.stored_origins.run_writing(),
                self.histories[name].run(_clock(), _unix_ms),
            )
        ]

    def _stop_tasks(self, name):
        for each in self._running.pop(name, ()):
            each.cancel()

    async def _compare_findings(self):
        """Let each instance learn at intervals what another one knows."""
        while True:
            await asyncio.sleep(COMPARE_S)
            linked = [each for each in self._boards if each not in self.lost]
            now = _clock()()
            for name, other in itertools.pairwise([*linked, *linked[:1]]):
                findings = self._boards[other].findings(now)
                self._boards[name].merge(findings, now)

    def cut_off(self, names):
        """Cut instances off from the store and from all others."""
        for name in names:
            self.views[name].freeze()
        self.cut.update(names)
        self.lost.update(names)

    def heal(self):
        """Restore all links."""
        for view in self.views.values():
            view.thaw()
        self.cut.clear()
        self.lost.clear()
        self.catalog.changed.fire()

    def set_versions(self, versions):
        """Change the software versions that serve."""
        self.catalog.versions = set(versions)
        self.catalog.changed.fire()

    def restart(self, name):
        """Start an instance anew, which remembers nothing."""
        self._stop_tasks(name)
        self.instances[name] = self._make(name)
        if self._is_running:
            self._start_tasks(name)

    def _make(self, name):
        clock = _clock()
        journal = journals.Journal()
        catalog = self.views.setdefault(name, View(self.catalog))
        peers = _Peers(catalog)
        self._boards[name] = board.Board()
        self.histories[name] = versions.VersionHistory(
            own=name,
            board=self._boards[name],
            catalog=catalog,
            peers=peers,
            publish=functools.partial(self._publish, name),
            load=functools.partial(self._load, name),
            journal=journal,
        )
        self.histories[name].update(clock(), _unix_ms())
        shared = {
            "own": name,
            "table": origins.OriginTable(),
            "history": self.histories[name],
            "holders": holders.Holders(own=name, catalog=catalog),
            "send": functools.partial(self._send, name),
            "journal": journal,
            "clock": clock,
        }
        stored_origins = stored.StoredOrigins(
            own=name,
            zone=self.catalog.peers[name].zone,
            table=shared["table"],
            history=shared["history"],
            peers=peers,
            send=shared["send"],
            store=self.store,
            store_table="origins",
            journal=journal,
            clock=clock,
            unix_ms=_unix_ms,
        )
        return resumption.Resumption(
            own=name,
            catalog=catalog,
            history=self.histories[name],
            finder=lookup.Finder(**shared),
            replicator=replication.Replicator(
                **shared,
                catalog=catalog,
                peers=peers,
                stored=stored_origins,
                tasks=self._tasks,
            ),
            stored_origins=stored_origins,
            confirmation=_Confirmation(self, name),
            metrics=metrics.GatewayMetrics(),
            journal=journal,
            clock=clock,
        )

    def _publish(self, name, finding):
        if topics.find(finding.topic).is_durable:
            self.spawn(self._save(name, self._boards[name], finding))
        for other, each in self._boards.items():
            if self._is_linked(name, other):
                asyncio.get_running_loop().call_later(
                    DELAY_S, each.merge, [finding], _clock()()
                )

    async def _save(self, name, findings, finding):
        """Store a finding as soon as its instance reaches the store."""
        while not self.is_store_reached or name in self.cut:
            await asyncio.sleep(RETRY_S)
        await asyncio.sleep(DELAY_S)
        if findings is self._boards[name]:
            now = _clock()()
            self._stored.merge([finding], now)
            self.histories[name].record_stored(
                finding.key, finding.value, now, _unix_ms()
            )

    def _load(self, name):
        now = _clock()()
        self._boards[name].merge(self._stored.findings(now), now)

    def _is_linked(self, name, other):
        return self.lost.isdisjoint({name, other})

    async def _send(self, name, control, path, body, timeout):
        self.calls.append(path)
        if not self._is_linked(name, control):
            await asyncio.sleep(timeout)
            return kinds.Failure(kinds.Kind.LATE, "no answer in time")
        await asyncio.sleep(DELAY_S)
        instance = self.instances[control]
        if path == lookup.PATH:
            return web.Reply(200, instance.finder.answer(body), 0)
        if path == stored.PATH:
            instance.stored_origins.receive(body)
            return web.Reply(200, None, 0)
        instance.replicator.receive(body)
        return web.Reply(200, None, 0)


def _clock():
    return asyncio.get_running_loop().time


def _unix_ms():
    return int(1000 * _clock()())


def request(stream, *, resumes=None, services=((SERVICE, 1.0),)):
    """Return a request for a stream, or one that goes on with a stream."""
    return _Request(
        id=stream,
        route=records.Route(
            "r", "h", "/", services, streaming=True, resumable=True
        ),
        service=services[0][0],
        head=types.SimpleNamespace(
            resumes=resumes, last_event_id="0" if resumes else None
        ),
    )


class _Request(types.SimpleNamespace):
    origin = None

    def _replace(self, **changes):
        return _Request(**{**vars(self), **changes})
