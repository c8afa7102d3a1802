"""Origins of streams in the store, where they outlast all instances.

While a service has several software versions, each instance sends what began
its streams to one instance of its zone, which writes what came from the zone
in one row.  Rows are reused in turn, so that their number is bounded.  An
instance that starts reads them once.
"""

import asyncio
import collections
import itertools
import random
import typing

import msgspec

from sycamoreshed.adapters import decoding
from sycamoreshed.errors import kinds
from sycamoreshed.membership import rendezvous
from sycamoreshed.resumption import origins

__all__ = ["PATH", "Group", "StoredOrigins"]

PATH = "/control/origins/stored"
# A zone writes one row in each slot of time.
SLOT_MS = 250
# Rows of a zone; they are written anew after origins have expired.
SLOTS = 256
# Keeps a row below the size that the store takes.
MAX_ROW_ENTRIES = 1200
# Origins that wait while the store takes no writes; the oldest are dropped.
MAX_WAITING = 20_000
# Between messages of an instance, in which origins gather; longer in a large
# zone, so that its writer gets no more of them.
MIN_SEND_INTERVAL_S = 0.1
SEND_INTERVAL_PER_INSTANCE_S = 0.02
SEND_TIMEOUT_S = 0.5
WRITE_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 2.0
RETRY_S = (0.5, 1.5)
CHECK_S = 0.05


class Group(typing.NamedTuple):
    """Streams of the same origin, as they are sent and stored.

    Parameters
    ----------
    origin : Origin
    streams : list of str
        Ids of the requests that brought their first events.
    """

    origin: origins.Origin
    streams: list[str]


class _Row(typing.NamedTuple):
    written_at_ms: int
    groups: list[Group]


class StoredOrigins:
    """Writes what began streams to the store, and reads it after a start.

    Parameters
    ----------
    own, zone : str
        Name and zone of this instance.
    table : OriginTable
        Where origins that are read are added.
    history : VersionHistory
    peers : PeerDirectory
    send : callable
        As for `Replicator`.
    store : TableStore
    store_table : str
        Name of the table in the store.
    journal : Journal
    clock, unix_ms : callable
        Return the monotonic time in seconds, and the Unix time in ms.
    """

    def __init__(
        self,
        *,
        own,
        zone,
        table,
        history,
        peers,
        send,
        store,
        store_table,
        journal,
        clock,
        unix_ms,
    ):
        self._own = own
        self._zone = zone
        self._table = table
        self._history = history
        self._peers = peers
        self._send = send
        self._store = store
        self._store_table = store_table
        self._journal = journal
        self._clock = clock
        self._unix_ms = unix_ms
        self._unsent = collections.deque(maxlen=MAX_WAITING)
        self._unwritten = collections.deque(maxlen=MAX_WAITING)
        self._has_unsent = asyncio.Event()
        self._has_unwritten = asyncio.Event()

    def add(self, entry):
        """Have the origin of a stream written."""
        self._unsent.append(entry)
        self._has_unsent.set()

    def receive(self, groups):
        """Write origins that an instance of this zone has sent.

        Parameters
        ----------
        groups : list of Group
        """
        for group in groups:
            self._unwritten.extend(
                origins.Entry(stream, group.origin) for stream in group.streams
            )
        self._has_unwritten.set()

    async def run_sending(self):
        """Send origins to the instance that writes, until cancelled."""
        while True:
            await self._has_unsent.wait()
            self._has_unsent.clear()
            entries = list(self._unsent)
            self._unsent.clear()
            members = self._peers.of_zone(self._zone, self._clock())
            if not await self._send_to_writer(entries, members):
                self._unsent.extendleft(reversed(entries))
                self._has_unsent.set()
            await asyncio.sleep(
                max(
                    MIN_SEND_INTERVAL_S,
                    SEND_INTERVAL_PER_INSTANCE_S * len(members),
                )
            )

    async def run_writing(self):
        """Write the origins of the zone, until cancelled."""
        last_slot = None
        while True:
            await self._has_unwritten.wait()
            slot = self._unix_ms() // SLOT_MS % SLOTS
            if slot == last_slot:
                await asyncio.sleep(CHECK_S)
                continue
            last_slot = slot
            count = min(MAX_ROW_ENTRIES, len(self._unwritten))
            entries = [self._unwritten.popleft() for _ in range(count)]
            if not await self._write(slot, entries):
                self._unwritten.extendleft(reversed(entries))
                await asyncio.sleep(random.uniform(*RETRY_S))
            if not self._unwritten:
                self._has_unwritten.clear()

    async def load_after_start(self):
        """Read the origins that were written before this instance started."""
        while not self._history.is_loaded:
            await asyncio.sleep(CHECK_S)
        expires_at = self._clock() + origins.TTL_S
        while self._history.has_several(self._clock()):
            if await self._load() or self._clock() >= expires_at:
                return
            await asyncio.sleep(random.uniform(*RETRY_S))

    async def _send_to_writer(self, entries, members):
        """Return whether the instance that writes for the zone took them."""
        groups = _group(entries)
        if not members:
            self.receive(groups)
            return True
        (name,) = rendezvous.top(f"origins {self._zone}", members, 1)
        if name == self._own:
            self.receive(groups)
            return True
        control = members[name]
        reply = await self._send(control, PATH, groups, SEND_TIMEOUT_S)
        if not isinstance(reply, kinds.Failure):
            return True
        self._peers.record_failure(control, self._clock(), reply.reason)
        self._journal.write(
            "origins_lost", peer=control, count=len(entries), why=reply.reason
        )
        return False

    async def _write(self, slot, entries):
        row = _Row(self._unix_ms(), _group(entries))
        failure = await self._store.put(
            self._store_table,
            f"{self._zone}/{slot:03}",
            msgspec.json.encode(row),
            timeout=WRITE_TIMEOUT_S,
        )
        if failure is not None:
            self._journal.write(
                "origins_unwritten", count=len(entries), why=failure.reason
            )
        return failure is None

    async def _load(self):
        result = await self._store.read(
            self._store_table, timeout=READ_TIMEOUT_S
        )
        if isinstance(result, kinds.Failure):
            self._journal.write("origins_unread", why=result.reason)
            return False
        rows = [self._decode(row) for row in result.rows]
        # The table of origins keeps the latest ones if there are too many.
        rows = sorted(each for each in rows if each is not None)
        count = sum(map(self._take, rows))
        self._journal.write("origins_read", count=count)
        return True

    def _decode(self, row):
        try:
            return decoding.decode(row.value, _Row)
        except msgspec.MsgspecError as err:
            self._journal.write("origins_unread", why=f"{row.key}: {err}")
            return None

    def _take(self, row):
        """Add the origins of a row; return how many there are."""
        if self._unix_ms() - row.written_at_ms >= 1000 * origins.TTL_S:
            return 0
        now = self._clock()
        for group in row.groups:
            for stream in group.streams:
                if self._table.find(stream, now) is None:
                    self._table.add(stream, group.origin, now)
        return sum(len(group.streams) for group in row.groups)


def _group(entries):
    by_origin = collections.defaultdict(list)
    for each in entries:
        by_origin[each.origin].append(each.stream)
    return list(itertools.starmap(Group, by_origin.items()))
