"""Findings in the platform's store, where they outlast all instances."""

import asyncio
import random
import typing

import msgspec

from sycamoreshed.adapters import decoding
from sycamoreshed.catalog import catalog as catalogs
from sycamoreshed.findings import board
from sycamoreshed.findings import topics
from sycamoreshed.kernel import kernel
from sycamoreshed.membership import rendezvous

__all__ = ["StoredFindings"]

WRITE_TIMEOUT_S = 2.0
# Delay after a failed write; random, so that instances do not write together
# when the store answers again.
RETRY_S = (0.5, 1.5)
# Range of the interval between checks for rows that are missing or expired.
CHECK_INTERVAL_S = (10.0, 20.0)
# For rows of topics that only another version of the program knows.
MAX_TTL_S = 3600.0
# Rows removed in one check, so that a check costs the store little.
MAX_REMOVALS = 20


class _Row(typing.NamedTuple):
    value: typing.Any
    stamp: int
    made_at_ms: int


class StoredFindings:
    """Writes findings to the store, and reads those of other instances.

    Parameters
    ----------
    board : Board
    catalog : Catalog
    peers : PeerDirectory
    store : TableStore
    table : str
        Name of the table in the store.
    own, zone : str
        Name and zone of this instance.
    journal : Journal
    clock, unix_ms : callable
        Return the monotonic time in seconds, and the Unix time in ms.
    """

    def __init__(
        self,
        *,
        board,
        catalog,
        peers,
        store,
        table,
        own,
        zone,
        journal,
        clock,
        unix_ms,
    ):
        self._board = board
        self._catalog = catalog
        self._peers = peers
        self._store = store
        self._table = table
        self._own = own
        self._zone = zone
        self._journal = journal
        self._clock = clock
        self._unix_ms = unix_ms
        self._unsaved = {}
        self._on_saved = {}
        self._wake = asyncio.Event()
        self._loaded = None

    def save(self, findings):
        """Write findings as soon as the store takes them."""
        for each in findings:
            self._unsaved[_row_key(each.topic, each.key)] = each
        self._wake.set()

    def on_saved(self, topic, func):
        """Call `func` with key and value once a finding of a topic is stored.

        Parameters
        ----------
        topic : str
        func : callable
        """
        self._on_saved[topic] = func

    def load(self):
        """Accept the findings of the catalog's copy of the table."""
        rows = self._catalog.findings
        if rows is self._loaded:
            return
        self._loaded = rows
        unix_ms = self._unix_ms()
        read = []
        for key, raw in rows.items():
            topic, _, name = key.partition("/")
            row = self._decode(key, raw)
            if row is not None and self._is_sound(key, topic, row):
                age_s = max(0.0, (unix_ms - row.made_at_ms) / 1000)
                read.append(
                    board.Finding(topic, name, row.value, row.stamp, age_s)
                )
        self._board.merge(read, self._clock())

    def _is_sound(self, key, topic, row):
        """Return whether a row holds what findings of its topic do."""
        try:
            topics.check(topic, row.value, row.stamp)
        except msgspec.ValidationError as err:
            self._journal.write("finding_bad", topic=key, why=str(err))
            return False
        return True

    async def run_loading(self):
        """Accept what the store holds until cancelled."""
        while True:
            self.load()
            await self._catalog.changed.wait(None)

    async def run_saving(self):
        """Write findings until cancelled."""
        if self._unsaved:
            self._wake.set()
        while True:
            await self._wake.wait()
            self._wake.clear()
            for key, finding in list(self._unsaved.items()):
                # It may have been replaced by a later one meanwhile.
                entry = self._board.find(
                    finding.topic, finding.key, self._clock()
                )
                if entry is None:
                    self._unsaved.pop(key, None)
                elif await self._write(key, entry):
                    self._unsaved.pop(key, None)
                    self._tell_saved(finding, entry)
            if self._unsaved:
                await asyncio.sleep(random.uniform(*RETRY_S))
                self._wake.set()

    def _tell_saved(self, finding, entry):
        func = self._on_saved.get(finding.topic)
        if func is not None:
            func(finding.key, entry.value)

    async def run_checking(self):
        """Check the rows of the table until cancelled."""
        while True:
            await asyncio.sleep(random.uniform(*CHECK_INTERVAL_S))
            if self._is_responsible():
                self._save_missing()
                await self._remove_expired()

    def _is_responsible(self):
        """Return whether this instance checks the rows for its zone."""
        members = self._peers.of_zone(self._zone, self._clock())
        if not members or not self._catalog.is_ready:
            return False
        return rendezvous.top("check findings", members, 1) == [self._own]

    def _save_missing(self):
        """Save what the store lacks, or has an older finding of.

        The instance that found it may have been unable to save it, or the
        store may have come back from an older copy.
        """
        rows = self._catalog.findings
        now = self._clock()
        self.save(
            [
                each
                for each in self._board.findings(now)
                if topics.find(each.topic).is_durable
                and self._is_newer(each, rows)
            ]
        )

    def _is_newer(self, finding, rows):
        raw = rows.get(_row_key(finding.topic, finding.key))
        row = None if raw is None else self._decode(None, raw)
        return row is None or row.stamp < finding.stamp

    async def _remove_expired(self):
        rows = self._catalog.findings
        expired = [
            key for key, raw in rows.items() if self._has_expired(key, raw)
        ]
        for key in expired[:MAX_REMOVALS]:
            failure = await self._store.remove(
                self._table,
                catalogs.FINDING_PREFIX + key,
                timeout=WRITE_TIMEOUT_S,
            )
            if failure is not None:
                self._log_failure(failure)
                return

    def _has_expired(self, key, raw):
        row = self._decode(None, raw)
        if row is None:
            return True
        topic = topics.find(key.partition("/")[0])
        ttl_s = MAX_TTL_S if topic is None else topic.ttl_s
        return self._unix_ms() - row.made_at_ms > ttl_s * 1000

    async def _write(self, key, entry):
        """Write one row; return whether the store took it."""
        age_ms = int((self._clock() - entry.at) * 1000)
        row = _Row(entry.value, entry.stamp, self._unix_ms() - age_ms)
        failure = await self._store.put(
            self._table,
            catalogs.FINDING_PREFIX + key,
            msgspec.json.encode(row),
            timeout=WRITE_TIMEOUT_S,
        )
        if failure is not None:
            self._log_failure(failure)
        return failure is None

    def _log_failure(self, failure):
        self._journal.write(
            "store_lost",
            table=catalogs.PEERS,
            why=failure.reason,
            age_s=None,
        )

    def _decode(self, key, raw):
        try:
            row = decoding.decode(raw, _Row)
            decoding.check_integer(row.made_at_ms)
            return row
        except msgspec.MsgspecError as err:
            if key is not None:
                self._journal.write("finding_bad", topic=key, why=str(err))
            return None


def _row_key(topic, key):
    return f"{topic}/{key}"


@kernel.plugin(
    "stored_findings",
    needs=("board", "catalog", "following", "journal", "peers", "platform"),
)
async def stored_findings(core):
    """Keep findings in the store while the daemon runs."""
    codec = core.part("platform")
    stored = StoredFindings(
        board=core.part("board"),
        catalog=core.part("catalog"),
        peers=core.part("peers"),
        store=codec.store,
        table=codec.tables[catalogs.PEERS],
        own=core.settings.instance,
        zone=core.settings.zone,
        journal=core.part("journal"),
        clock=core.clock,
        unix_ms=core.unix_ms,
    )
    core.keep_running(stored.run_loading, name="load findings")
    core.keep_running(stored.run_saving, name="save findings")
    core.keep_running(stored.run_checking, name="check stored findings")
    yield stored
