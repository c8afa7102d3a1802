"""Instances of one zone that follow a simulated store, in virtual time."""

import asyncio
import typing

import msgspec

from sycamoreshed.catalog import access as accesses
from sycamoreshed.catalog import catalog as catalogs
from sycamoreshed.catalog import debounce
from sycamoreshed.catalog import following
from sycamoreshed.catalog import peers
from sycamoreshed.catalog import readerselection
from sycamoreshed.catalog import relay
from sycamoreshed.catalog import tablereads
from sycamoreshed.errors import kinds
from testkit import journals

__all__ = ["Store", "Zone"]

ZONE = "north-a"
CALL_S = 0.004
TABLES = (catalogs.SETTINGS, catalogs.ENDPOINTS, catalogs.PEERS)


class Store:
    """Three tables; rejects or never answers calls of some instances.

    ``refuses`` and ``ignores`` hold the names of these instances.  Comes
    back from a `backup` by `restore`, in the next era.
    """

    def __init__(self):
        self._rows = {table: {} for table in TABLES}
        self.version = 0
        self.era = 0
        self.calls = 0
        self.refuses = set()
        self.ignores = set()

    def put(self, table, key, value):
        """Write a row."""
        self.version += 1
        self._rows[table][key] = tablereads.Row(key, value, self.version)

    def backup(self):
        """Return a copy of all rows, and its version."""
        rows = {table: dict(each) for table, each in self._rows.items()}
        return rows, self.version

    def restore(self, backup):
        """Come back from a copy."""
        rows, self.version = backup
        self._rows = {table: dict(each) for table, each in rows.items()}
        self.era += 1

    def client(self, caller):
        """Return a client of the store for one instance."""
        return _StoreClient(self, caller)

    def rows_after(self, table, after):
        """Return the rows of a table that changed after a version."""
        return [
            row for row in self._rows[table].values() if row.version > after
        ]


class _StoreClient(typing.NamedTuple):
    store: Store
    caller: str

    async def read(self, table, *, timeout):
        """Return all rows."""
        failure = await self._failure(timeout)
        if failure is not None:
            return failure
        rows = self.store.rows_after(table, -1)
        return tablereads.Changes(
            rows, self.store.version, is_full=True, era=self.store.era
        )

    async def wait_for_changes(self, table, after, *, wait_s, slack_s):
        """Wait for rows that changed."""
        clock = asyncio.get_running_loop().time
        deadline = clock() + wait_s
        failure = await self._failure(wait_s + slack_s)
        if failure is not None:
            return failure
        era = self.store.era
        while not self.store.rows_after(table, after) and clock() < deadline:
            await asyncio.sleep(0.01)
            if self.store.era != era:
                return kinds.Failure(kinds.Kind.REFUSED, "connection reset")
        if after > self.store.version:
            return tablereads.HistoryGone(self.store.era)
        if self.caller in self.store.ignores:
            await asyncio.sleep(max(0.0, deadline + slack_s - clock()))
            return kinds.Failure(kinds.Kind.LATE, "no answer in time")
        rows = self.store.rows_after(table, after)
        return tablereads.Changes(
            rows, self.store.version, is_full=False, era=self.store.era
        )

    async def _failure(self, timeout):
        self.store.calls += 1
        await asyncio.sleep(CALL_S)
        if self.caller in self.store.refuses:
            return kinds.Failure(kinds.Kind.REFUSED, "store answered 429")
        if self.caller in self.store.ignores:
            await asyncio.sleep(timeout)
            return kinds.Failure(kinds.Kind.LATE, "no answer in time")
        return None


class _Instance:
    def __init__(self, *, zone, name, cores, clock):
        self.name = name
        self.journal = journals.Journal()
        self.catalog = catalogs.Catalog(
            decode_configuration=_Configuration,
            decode_endpoint=lambda _key, _raw: None,
            configuration_key="config",
            evacuated_zone=lambda _key: None,
            journal=self.journal,
        )
        self.peers = peers.PeerDirectory(
            catalog=self.catalog,
            own=name,
            zone=ZONE,
            seeds=(),
            control=name,
            journal=self.journal,
            cores=cores,
        )
        self.selector = readerselection.ReaderSelector(
            own=name,
            zone=ZONE,
            peers=self.peers,
            own_wait_s=following.max_wait(zone.stable_s),
            reader_wait_s=readerselection.reader_wait(
                zone.apply_s, following.SLACK_S
            ),
        )
        access = accesses.StoreAccess()
        shared = {
            "catalog": self.catalog,
            "selector": self.selector,
            "access": access,
            "clock": clock,
        }
        hold_s = relay.max_hold(zone.apply_s)
        self.watch_server = relay.WatchServer(**shared, max_hold_s=hold_s)
        client = relay.WatchClient(
            **shared,
            send=lambda *args: zone.send(name, *args),
            journal=self.journal,
            hold_s=hold_s,
            stale_s=self.selector.max_wait_s + relay.STALE_SLACK_S,
        )
        coroutines = [client.run()]
        for table in TABLES:
            follower = following.Follower(
                table=table,
                store_table=table,
                wait=lambda: self.selector.wait_s(clock()),
                debounce=debounce.Debounce(min_s=0.1, max_s=0.5),
                store=zone.store.client(name),
                catalog=self.catalog,
                peers=_NoPeers(),
                access=access,
                session=None,
                journal=self.journal,
                clock=clock,
            )
            coroutines.append(follower.run())
        self.tasks = [
            asyncio.create_task(coroutine) for coroutine in coroutines
        ]

    @property
    def version(self):
        """Version of the configuration in force."""
        return self.catalog.configuration.version


class _Configuration(typing.NamedTuple):
    raw: bytes
    routes: tuple = ()
    teams: tuple = ()

    @property
    def version(self):
        """Version number, the content of the row."""
        return int(self.raw)


class _NoPeers:
    """A peer directory without peers."""

    def sample(self, _now):
        """Return no peers."""
        return []


class Zone:
    """Instances of one zone, registered in the store.

    Parameters
    ----------
    size : int
    stable_s, apply_s : float
        Time limits of the deployment, in seconds.
    cores : callable, optional
        Maps the number of an instance to its processor time in cores.

    Notes
    -----
    Needs a running loop.  ``unresponsive`` names instances that neither send
    messages to other instances nor receive any.  ``startup_calls`` is the
    number of calls at the store during the start, set by the test.
    """

    def __init__(
        self, *, size, stable_s=5.0, apply_s=5.0, cores=lambda _number: 1.0
    ):
        self.stable_s = stable_s
        self.apply_s = apply_s
        self.clock = asyncio.get_running_loop().time
        self.store = Store()
        self.unresponsive = set()
        self.startup_calls = 0
        self.store.put(catalogs.SETTINGS, "config", b"1")
        names = [f"i-{number}" for number in range(size)]
        for number, name in enumerate(names):
            row = catalogs.Peer(name, ZONE, name, 1, cores(number))
            self.store.put(catalogs.PEERS, name, msgspec.json.encode(row))
        self.instances = {}
        for number, name in enumerate(names):
            self.add(name, cores(number))

    def add(self, name, cores=1.0):
        """Start an instance and return it."""
        instance = _Instance(
            zone=self, name=name, cores=cores, clock=self.clock
        )
        self.instances[name] = instance
        return instance

    @property
    def readers(self):
        """Names of the instances that others watch."""
        readers = {
            each.selector.reader(self.clock())
            for each in self.instances.values()
        }
        return readers - {None}

    async def send(self, sender, control, request, timeout):
        """Send a watch request to an instance and return its answer."""
        try:
            async with asyncio.timeout(timeout):
                if self.unresponsive & {sender, control}:
                    await asyncio.Event().wait()
                watch_server = self.instances[control].watch_server
                answer = await watch_server.answer(request)
                if self.unresponsive & {sender, control}:
                    await asyncio.Event().wait()
                return answer
        except TimeoutError:
            return kinds.Failure(kinds.Kind.LATE, "no answer in time")

    async def change(self, version):
        """Write a configuration; return when each instance receives it.

        Returns the delays in seconds by instance, without instances that are
        unresponsive, ignored by the store, or later than ``3 * apply_s``.
        """
        started_at = self.clock()
        raw = str(version).encode()
        self.store.put(catalogs.SETTINGS, "config", raw)
        excluded = self.unresponsive | self.store.ignores
        delays = {}
        while self.clock() < started_at + 3 * self.apply_s:
            await asyncio.sleep(0.01)
            for name, each in self.instances.items():
                if name not in excluded and each.version == version:
                    delays.setdefault(name, self.clock() - started_at)
        return delays

    async def stop(self):
        """Cancel all tasks."""
        tasks = [t for each in self.instances.values() for t in each.tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
