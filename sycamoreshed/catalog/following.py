"""Keeps the catalog up to date from the store, or from peers without it.

Each table has a task that long-polls the store, unless another instance of
the zone reads the store for this one.  While the store does not answer, the
task retries it and, without a reader, polls peers for a newer copy between the
attempts: the store may reject this instance and still serve operators and
other instances.
"""

import asyncio
import random

import msgspec

from sycamoreshed.adapters import positions
from sycamoreshed.adapters import web
from sycamoreshed.catalog import access as accesses
from sycamoreshed.catalog import catalog as catalogs
from sycamoreshed.catalog import debounce as debounces
from sycamoreshed.catalog import readerselection
from sycamoreshed.catalog import tablereads
from sycamoreshed.catalog import updates
from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel

__all__ = ["Follower", "max_wait"]

# Time after the wait of a long poll until the call counts as failed; the only
# way to detect a connection that became unresponsive.
SLACK_S = 0.5
# The same for calls without a wait, which follow a failure.
PROBE_SLACK_S = 1.0
# Reserved for reading the table again before the changes have to be known;
# see `max_wait`.
REREAD_RESERVE_S = 0.5
# Lower bound of the wait, even if the time limit is then exceeded.
MIN_WAIT_S = 1.0
# Peers' rows change when instances start; their changes are not urgent.
PEERS_WAIT_S = 10.0
# Pause between an answer with changes and the next call, so that one answer
# carries several changes.  Instances that start together would otherwise be
# reported to each other one by one.
PEERS_PAUSE_S = 1.5
MIN_PAUSE_S = 0.1
# Pause after a full read, during which the zone's reader may answer.
FULL_READ_PAUSE_S = 0.05
# While changes keep arriving the pause doubles, up to this share of the time
# within which a new configuration has to be known.
MAX_PAUSE_SHARE = 0.2
# Maximum delay between attempts while the store fails, before jitter; doubles
# up to MAX_RETRY_S.
RETRY_S = 0.1
MAX_RETRY_S = 1.0
# Between attempts of an instance whose reader probes the store as well; made
# because the store may reject only the reader.
PROBE_INTERVAL_S = 3.0
PEER_TIMEOUT_S = 0.7
READ_TIMEOUT_S = 2.0
PATH = "/control/catalog"


class Follower:
    """Keeps the catalog's copy of one table up to date.

    Parameters
    ----------
    table : str
        Name of the copy in the catalog.
    store_table : str
        Name of the table in the store.
    wait : callable
        Returns the seconds for which the store may hold a call.
    debounce : Debounce
        Returns the pause between an answer with changes and the next call.
    full_read_pause_s : float
        Pause after a full read.
    store : TableStore
    catalog : Catalog
    peers : PeerDirectory
    access : StoreAccess
    session : aiohttp.ClientSession
    journal : Journal
    clock : callable
    """

    def __init__(
        self,
        *,
        table,
        store_table,
        wait,
        debounce,
        full_read_pause_s=FULL_READ_PAUSE_S,
        store,
        catalog,
        peers,
        access,
        session,
        journal,
        clock,
    ):
        self._table = table
        self._store_table = store_table
        self._wait = wait
        self._debounce = debounce
        self._full_read_pause_s = full_read_pause_s
        self._store = store
        self._catalog = catalog
        self._peers = peers
        self._access = access
        self._session = session
        self._journal = journal
        self._clock = clock
        self._is_failing = False
        self._called_at = float("-inf")
        self._era = None

    async def run(self):
        """Follow the table until cancelled."""
        pause = RETRY_S
        is_full_read = True
        while True:
            await self._access.wait_enabled()
            if self._skips_probe():
                await self._wait_for_retry(MAX_RETRY_S)
                continue
            called_at = self._called_at = self._clock()
            asked = self._replica.position
            result = await self._read_store(is_full_read)
            took_s = self._clock() - called_at
            if isinstance(result, kinds.Failure):
                self._on_failure(result)
                await self._wait_for_retry(pause)
                pause = min(MAX_RETRY_S, pause * 2)
                continue
            self._on_success(result.era)
            if self._needs_full_read(result, asked):
                is_full_read = True
                continue
            if not self._apply_changes(result, asked):
                # Reading on at once would be a loop without an end for as
                # long as the store is behind the copy.
                is_full_read = True
                await self._wait_for_retry(pause)
                pause = min(MAX_RETRY_S, pause * 2)
                continue
            pause = RETRY_S
            if result.rows and not is_full_read:
                await asyncio.sleep(self._debounce.pause(took_s))
            elif is_full_read:
                await asyncio.sleep(self._full_read_pause_s)
            is_full_read = False

    async def run_asking(self):
        """Ask a peer for what it has, once in each era, until cancelled.

        The store may have lost the configuration in force, and an instance
        that has just started knows only the one of the store's copy.
        """
        asked_era = 0
        while True:
            era = self._replica.position.era
            if era > asked_era and await self._poll_peers():
                asked_era = era
            is_asked = era <= asked_era
            await self._catalog.changed.wait(None if is_asked else MAX_RETRY_S)

    def _skips_probe(self):
        """Return whether to leave the next probe to another task or reader."""
        if not self._is_failing:
            return False
        if self._access.is_probed_elsewhere(self._table):
            return True
        elapsed_s = self._clock() - self._called_at
        return self._access.is_relayed and elapsed_s < PROBE_INTERVAL_S

    async def _wait_for_retry(self, seconds):
        """Poll peers unless a reader is used, then wait to retry."""
        if not self._access.is_relayed:
            await self._poll_peers()
        await self._access.pause(seconds * random.uniform(0.5, 1.0))

    @property
    def _replica(self):
        return self._catalog.replica(self._table)

    async def _read_store(self, is_full_read):
        if is_full_read:
            return await self._store.read(
                self._store_table, timeout=READ_TIMEOUT_S
            )
        # After a failure the call does not wait for changes, so that it
        # shows at once whether the store answers.
        wait, slack = self._wait(), SLACK_S
        if self._is_failing:
            wait, slack = 0.0, PROBE_SLACK_S
        return await self._store.wait_for_changes(
            self._store_table,
            self._replica.position.version,
            wait_s=wait,
            slack_s=slack,
        )

    def _needs_full_read(self, result, asked):
        """Return whether changes after a position cannot be had.

        A store that came back from an older copy has another history, also
        where it has the version asked for.
        """
        if isinstance(result, tablereads.HistoryGone):
            self._journal.write(
                "history_gone",
                table=self._table,
                after=asked.version,
                era=result.era,
            )
            return True
        if result.is_full:
            return False
        return _position(result, asked).era != asked.era

    def _apply_changes(self, changes, asked):
        """Apply what was read; return whether the copy is as new as that.

        Parameters
        ----------
        changes : Changes
        asked : Position
            Of the copy when the store was asked.
        """
        now = self._clock()
        rows = [(row.key, row.value) for row in changes.rows]
        position = _position(changes, asked)
        if changes.is_full:
            self._catalog.replace(
                self._table, dict(rows), position, now, source="store"
            )
        else:
            self._catalog.apply(
                self._table, rows, asked, position, now, source="store"
            )
        self._catalog.mark_current(self._table, position, now)
        held = self._replica.position
        if held == position:
            return True
        self._journal.write(
            "copy_refused",
            table=self._table,
            era=position.era,
            version=position.version,
            held_era=held.era,
            held_version=held.version,
        )
        # A peer's copy that came meanwhile may be newer than the answer.
        return held.era == position.era and held > asked

    def _on_failure(self, failure):
        self._access.mark_unavailable(self._table)
        if self._is_failing:
            return
        self._is_failing = True
        self._journal.write(
            "store_lost",
            table=self._table,
            why=failure.reason,
            age_s=self._age(),
        )

    def _on_success(self, era):
        if era != self._era:
            self._journal.write(
                "store_era", table=self._table, era=era, previous=self._era
            )
            self._era = era
        self._access.mark_available(self._table)
        if not self._is_failing:
            return
        self._is_failing = False
        self._catalog.on_store_recovered(self._clock())
        self._journal.write("store_back", table=self._table, age_s=self._age())

    def _age(self):
        return round(self._catalog.age(self._table, self._clock()), 3)

    async def _poll_peers(self):
        """Apply what a peer has that is newer; return whether one answered."""
        for peer in self._peers.sample(self._clock()):
            after = positions.format_position(self._replica.position)
            path = f"{PATH}?table={self._table}&after={after}"
            reply = await web.fetch(
                self._session, "GET", peer, path, timeout=PEER_TIMEOUT_S
            )
            now = self._clock()
            if isinstance(reply, kinds.Failure) or reply.status != 200:
                self._peers.record_failure(peer, now, str(reply))
                continue
            self._peers.record_success(peer)
            self._apply_update(reply.body, now, peer)
            return True
        return False

    def _apply_update(self, body, now, peer):
        try:
            update = msgspec.convert(body, updates.TableUpdate)
        except msgspec.ValidationError as err:
            self._journal.write("peer_bad", peer=peer, why=str(err))
            return
        update = update._replace(table=self._table)
        updates.apply_update(self._catalog, update, now, peer)


def _position(result, asked):
    return positions.told(result.era, result.version, asked)


def max_wait(stable_s):
    """Return the seconds for which the store may hold a call.

    Parameters
    ----------
    stable_s : float
        Seconds after a disturbance at which an instance has to be stable
        and to know all changes made before or during the disturbance.

    Notes
    -----
    A store that drops its history may lose its pending long polls, which
    is detected when the wait ends, and a connection may become
    unresponsive, which is detected after the slack.  Within `stable_s`
    the wait and the slack have to pass and the rows have to be read
    again.

    The time within which a new configuration has to be known does not
    extend this bound: it counts from the change, which may be as old as the
    disturbance.

    Examples
    --------
    >>> max_wait(4.0)
    3.0
    """
    return max(MIN_WAIT_S, stable_s - SLACK_S - REREAD_RESERVE_S)


@kernel.plugin(
    "following",
    needs=("catalog", "peers", "platform", "reading", "web", "journal"),
)
async def following(core):
    """Keep the catalog up to date while the daemon runs."""
    codec = core.part("platform")
    selector = core.part("reading")
    settings = core.settings
    access = accesses.StoreAccess()
    max_pause_s = max(MIN_PAUSE_S, MAX_PAUSE_SHARE * settings.update_s)

    def wait():
        return selector.wait_s(core.clock())

    for table, store_table in codec.tables.items():
        is_peers_table = table == catalogs.PEERS
        follower = Follower(
            table=table,
            store_table=store_table,
            wait=(lambda: PEERS_WAIT_S) if is_peers_table else wait,
            debounce=debounces.Debounce(
                min_s=PEERS_PAUSE_S if is_peers_table else MIN_PAUSE_S,
                max_s=PEERS_PAUSE_S if is_peers_table else max_pause_s,
            ),
            full_read_pause_s=PEERS_PAUSE_S
            if is_peers_table
            else FULL_READ_PAUSE_S,
            store=codec.store,
            catalog=core.part("catalog"),
            peers=core.part("peers"),
            access=access,
            session=core.part("web"),
            journal=core.part("journal"),
            clock=core.clock,
        )
        core.keep_running(follower.run, name=f"follow {table}")
        if table == catalogs.SETTINGS:
            core.keep_running(follower.run_asking, name="ask for settings")
    yield access


@kernel.plugin("reading", needs=("peers",))
async def selector(core):
    """Provide the selection of the zone's reader."""
    settings = core.settings
    yield readerselection.ReaderSelector(
        own=settings.instance,
        zone=settings.zone,
        peers=core.part("peers"),
        own_wait_s=max_wait(settings.stable_ms / 1000),
        reader_wait_s=readerselection.reader_wait(settings.update_s, SLACK_S),
    )
