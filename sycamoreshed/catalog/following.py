"""Keeps the catalog current: from the store, and from peers without it.

Each table has a task that waits for changes at the store, as long as no
other instance of the zone reads it for this one.  While the store does not
answer, the same task asks a peer for anything newer: the store may turn away
this instance and serve the operator and others.
"""

import asyncio
import random

import msgspec

from sycamoreshed.adapters import web
from sycamoreshed.catalog import access as accesses
from sycamoreshed.catalog import catalog as catalogs
from sycamoreshed.catalog import debounce as debounces
from sycamoreshed.catalog import readerselection
from sycamoreshed.catalog import updates
from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel

__all__ = ["Follower", "max_wait"]

# After the time for which the store may hold a call, it counts as lost: a
# connection that went silent is found by that alone.
SLACK_S = 0.5
# For calls that the store is to answer at once, when it had failed before.
ANSWER_S = 1.0
# What is left for reading anew before an instance has to know; see
# `max_wait`.
READ_ANEW_S = 0.5
LEAST_WAIT_S = 1.0
# Peers' rows change when instances start; nothing waits for them.
PEERS_WAIT_S = 10.0
# Pause between changes and the next call, so that one answer brings several
# changes.  Instances that start together would otherwise be reported to each
# other one by one.
PEERS_REST_S = 1.5
REST_S = 0.1
# Pause after the first full read, in which the zone's reader may answer.
FIRST_REST_S = 0.05
# While changes keep coming the pause doubles, up to this share of the time in
# which a new configuration has to be known.
MOST_REST_SHARE = 0.2
# Between attempts at a store that fails; doubles up to the longest.
RETRY_S = 0.1
LONGEST_RETRY_S = 1.0
# Between attempts of an instance whose reader finds out when the store is
# back: the store may refuse the reader alone.
PROBE_S = 3.0
PEER_TIMEOUT_S = 0.7
READ_TIMEOUT_S = 2.0
PATH = "/control/catalog"


class Follower:
    """Follows one table.

    Parameters
    ----------
    table : str
        Name of the copy in the catalog.
    remote : str
        Name of the table in the store.
    wait : callable
        Returns the seconds a call may wait for changes.
    debounce : Debounce
        Tells the pause between changes and the next call.
    rest_s : float
        Pause after all rows were read.
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
        remote,
        wait,
        debounce,
        rest_s=FIRST_REST_S,
        store,
        catalog,
        peers,
        access,
        session,
        journal,
        clock,
    ):
        self._table = table
        self._remote = remote
        self._wait = wait
        self._debounce = debounce
        self._rest_s = rest_s
        self._store = store
        self._catalog = catalog
        self._peers = peers
        self._access = access
        self._session = session
        self._journal = journal
        self._clock = clock
        self._lost = False
        self._asked_at = float("-inf")

    async def run(self):
        """Follow the table until cancelled."""
        pause = RETRY_S
        whole = True
        while True:
            await self._access.wait_enabled()
            if self._leaves_probe():
                await self._do_without(LONGEST_RETRY_S)
                continue
            asked_at = self._asked_at = self._clock()
            result = await self._ask_store(whole)
            took_s = self._clock() - asked_at
            if result is None:
                self._journal.write(
                    "history_gone",
                    table=self._table,
                    after=self._replica.version,
                )
                whole = True
                continue
            if isinstance(result, kinds.Failure):
                self._on_lost(result)
                await self._do_without(pause)
                pause = min(LONGEST_RETRY_S, pause * 2)
                continue
            pause = RETRY_S
            self._on_answer()
            self._take(result)
            if result.rows and not whole:
                await asyncio.sleep(self._debounce.pause(took_s))
            elif whole:
                await asyncio.sleep(self._rest_s)
            whole = False

    def _leaves_probe(self):
        """Return whether something else finds out when the store is back."""
        if not self._lost:
            return False
        if self._access.is_probed(self._table):
            return True
        asked_s = self._clock() - self._asked_at
        return self._access.is_relayed and asked_s < PROBE_S

    async def _do_without(self, seconds):
        """Wait before the next attempt, and ask peers meanwhile."""
        if not self._access.is_relayed:
            await self._ask_peers()
        await self._access.pause(seconds * random.uniform(0.5, 1.0))

    @property
    def _replica(self):
        return self._catalog.replica(self._table)

    async def _ask_store(self, whole):
        if whole:
            return await self._store.read(self._remote, timeout=READ_TIMEOUT_S)
        # After a failure the answer is to come at once, so that the state
        # of the store is known again.
        wait, slack = self._wait(), SLACK_S
        if self._lost:
            wait, slack = 0.0, ANSWER_S
        return await self._store.wait_for_changes(
            self._remote, self._replica.version, wait_s=wait, slack_s=slack
        )

    def _take(self, changes):
        now = self._clock()
        rows = [(row.key, row.value) for row in changes.rows]
        if changes.is_full:
            self._catalog.replace(
                self._table, dict(rows), changes.version, now, source="store"
            )
        else:
            self._catalog.apply(
                self._table,
                rows,
                self._replica.version,
                changes.version,
                now,
                source="store",
            )
        self._catalog.confirm(self._table, now)

    def _on_lost(self, failure):
        self._access.lost(self._table)
        if self._lost:
            return
        self._lost = True
        self._journal.write(
            "store_lost",
            table=self._table,
            why=failure.reason,
            age_s=self._age(),
        )

    def _on_answer(self):
        self._access.answered(self._table)
        if not self._lost:
            return
        self._lost = False
        self._catalog.regained(self._clock())
        self._journal.write("store_back", table=self._table, age_s=self._age())

    def _age(self):
        return round(self._catalog.age(self._table, self._clock()), 3)

    async def _ask_peers(self):
        for peer in self._peers.sample(self._clock()):
            path = f"{PATH}?table={self._table}&after={self._replica.version}"
            reply = await web.fetch(
                self._session, "GET", peer, path, timeout=PEER_TIMEOUT_S
            )
            now = self._clock()
            if isinstance(reply, kinds.Failure) or reply.status != 200:
                self._peers.record_failure(peer, now, str(reply))
                continue
            self._peers.record_success(peer)
            self._apply_update(reply.body, now, peer)
            return

    def _apply_update(self, body, now, peer):
        try:
            found = msgspec.convert(body, updates.TableUpdate)
        except msgspec.ValidationError as err:
            self._journal.write("peer_bad", peer=peer, why=str(err))
            return
        found = found._replace(table=self._table)
        updates.apply_update(self._catalog, found, now, peer)


def max_wait(stable_s):
    """Return the seconds for which the store may hold a call.

    Parameters
    ----------
    stable_s : float
        Seconds after a disturbance from which on an instance counts as
        undisturbed, and has to know what was decided before or during it.

    Notes
    -----
    A store that drops its history may forget who waits, which shows when
    the wait ends, and a connection may go silent, which shows after the
    slack.  Both have to be over, and the rows read anew, when the
    instance has to know.

    The time in which a new configuration has to be known does not come on
    top: it runs from the decision, which may be as old as the
    disturbance.

    Examples
    --------
    >>> max_wait(4.0)
    3.0
    """
    return max(LEAST_WAIT_S, stable_s - SLACK_S - READ_ANEW_S)


@kernel.plugin(
    "following",
    needs=("catalog", "peers", "platform", "reading", "web", "journal"),
)
async def following(core):
    """Keep the catalog current while the daemon runs."""
    codec = core.part("platform")
    selector = core.part("reading")
    settings = core.settings
    access = accesses.StoreAccess()
    most = max(REST_S, MOST_REST_SHARE * settings.apply_ms / 1000)

    def wait():
        return selector.wait_s(core.clock())

    for table, remote in codec.tables.items():
        peers = table == catalogs.PEERS
        follower = Follower(
            table=table,
            remote=remote,
            wait=(lambda: PEERS_WAIT_S) if peers else wait,
            debounce=debounces.Debounce(
                min_s=PEERS_REST_S if peers else REST_S,
                max_s=PEERS_REST_S if peers else most,
            ),
            rest_s=PEERS_REST_S if peers else FIRST_REST_S,
            store=codec.store,
            catalog=core.part("catalog"),
            peers=core.part("peers"),
            access=access,
            session=core.part("web"),
            journal=core.part("journal"),
            clock=core.clock,
        )
        core.spawn(follower.run(), name=f"follow {table}")
    yield access


@kernel.plugin("reading", needs=("peers",))
async def selector(core):
    """Provide the choice of who reads the store."""
    settings = core.settings
    yield readerselection.ReaderSelector(
        own=settings.instance,
        zone=settings.zone,
        peers=core.part("peers"),
        own_wait_s=max_wait(settings.stable_ms / 1000),
        reader_wait_s=readerselection.reader_wait(
            settings.apply_ms / 1000, SLACK_S
        ),
    )
