"""Hears from the reader of the zone what changed in the store's tables.

The reader holds a call until there is something to tell.  When it does not
answer, or does not reach the store itself, this instance reads the store.
"""

import asyncio

import msgspec

from sycamoreshed.adapters import web
from sycamoreshed.catalog import catalog as catalogs
from sycamoreshed.catalog import news
from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel

__all__ = ["PATH", "Listener", "Teller", "longest_hold"]

PATH = "/control/news"
# Of the time in which a change has to be known: a reader that falls silent
# shows only when the call has been held for so long.
HOLD_SHARE = 0.4
# After the time for which a reader may hold a call, it counts as lost.
SLACK_S = 0.4
# A reader confirms a table at least this long after its call at the store
# ended, or it is behind.
LATE_S = 1.0
# Between looks whether there is a reader to ask.
LOOK_S = 0.5


def longest_hold(apply_s):
    """Return the seconds for which a reader may hold a call.

    Examples
    --------
    >>> longest_hold(5.0)
    2.0
    """
    return HOLD_SHARE * apply_s


class Teller:
    """Tells others what this instance reads.

    Parameters
    ----------
    catalog : Catalog
    role : ReadingRole
    access : StoreAccess
    clock : callable
    most_s : float
        Longest time to hold a call.
    """

    def __init__(self, *, catalog, role, access, clock, most_s):
        self._catalog = catalog
        self._role = role
        self._access = access
        self._clock = clock
        self._most_s = most_s

    async def answer(self, ask):
        """Return the `News` for an `Ask`, once there is something to tell."""
        self._access.use(True)
        end = self._clock() + min(ask.wait_s, self._most_s)
        while not self._has_news(ask):
            self._role.asked(self._clock())
            left = end - self._clock()
            if left <= 0:
                break
            await self._changed(left)
        now = self._clock()
        self._role.asked(now)
        tables = [
            news.tell(self._catalog, table, ask.versions.get(table, -1), now)
            for table in self._catalog.tables
        ]
        return news.News(tables, self._is_current)

    @property
    def _is_current(self):
        return self._catalog.ready and not self._access.is_lost

    def _has_news(self, ask):
        if self._is_current != ask.was_current:
            return True
        return any(
            self._is_newer(
                self._catalog.replica(table), ask.versions.get(table, -1)
            )
            for table in self._catalog.tables
        )

    @staticmethod
    def _is_newer(replica, version):
        if replica.version <= version:
            return False
        changed = replica.changes(version)
        return changed is None or bool(changed)

    async def _changed(self, timeout):
        waits = [
            asyncio.ensure_future(signal.wait(timeout))
            for signal in (self._catalog.changed, self._access.changed)
        ]
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for each in waits:
                each.cancel()


class Listener:
    """Asks the reader of the zone, and decides when to do without.

    Parameters
    ----------
    catalog : Catalog
    role : ReadingRole
    access : StoreAccess
    ask : callable
        Coroutine function of a control address, an `Ask` and a timeout in
        seconds; returns `News` or a `Failure`.
    journal : Journal
    clock : callable
    hold_s : float
        Seconds for which the reader may hold a call.
    stale_s : float
        Age of a table from which on a reader does not keep up.
    """

    def __init__(
        self, *, catalog, role, access, ask, journal, clock, hold_s, stale_s
    ):
        self._catalog = catalog
        self._role = role
        self._access = access
        self._ask = ask
        self._journal = journal
        self._clock = clock
        self._hold_s = hold_s
        self._stale_s = stale_s
        self._reader = None
        self._was_current = True

    async def run(self):
        """Ask until cancelled."""
        while True:
            reader = self._choose()
            if reader is None:
                self._access.is_relayed = False
                self._access.use(True)
                # Peers become known, or one more of them.
                await self._catalog.changed.wait(LOOK_S)
                continue
            await self._hear(reader)

    async def _hear(self, reader):
        """Ask the reader once."""
        # What it does not tell at once is asked for only after it answered.
        hold_s = self._hold_s if self._access.is_relayed else 0.0
        versions = news.versions(self._catalog)
        found = await self._ask(
            reader,
            news.Ask(versions, self._was_current, hold_s),
            hold_s + SLACK_S,
        )
        now = self._clock()
        if isinstance(found, kinds.Failure):
            self._fail(reader, found.reason, now)
            return
        self._take(found, reader, now)
        if not found.tables:
            # A reader without tables would answer at once, for ever.
            await asyncio.sleep(LOOK_S)

    def _choose(self):
        if not self._knows_all():
            return None
        now = self._clock()
        reader = self._role.reader(now)
        if reader != self._reader:
            self._reader = reader
            self._was_current = True
            self._access.is_relayed = False
            # A reader that failed before may be silent still; what this
            # instance has just read is good until any other one answers.
            is_open = reader is None or self._role.has_failed(reader)
            self._access.use(is_open or self._role.is_reader(now))
            self._journal.write("reader", reader=reader)
        return reader

    def _knows_all(self):
        return all(
            self._catalog.replica(table).known
            for table in self._catalog.tables
        )

    def _fail(self, reader, why, now):
        self._journal.write("reader_lost", reader=reader, why=why)
        self._role.failed(reader, now)
        # What was missed has to be known in time, whatever the next reader
        # knows.
        self._access.is_relayed = False
        self._access.use(True)

    def _take(self, found, reader, now):
        self._role.answered(reader)
        self._was_current = found.is_current
        self._access.is_relayed = True
        for each in found.tables:
            news.take(self._catalog, each, now, reader)
            self._catalog.confirm(each.table, now - each.age_s)
        keeps_up = found.is_current and all(
            each.age_s <= self._stale_s
            for each in found.tables
            if each.table != catalogs.PEERS
        )
        reads = not keeps_up or self._role.is_reader(now)
        self._access.use(reads)


async def _ask(core, control, question, timeout):
    reply = await web.fetch(
        core.part("web"), "POST", control, PATH, timeout=timeout, body=question
    )
    if isinstance(reply, kinds.Failure):
        return reply
    if reply.status != 200:
        return kinds.Failure(
            kinds.Kind.REFUSED, f"reader answered {reply.status}"
        )
    try:
        return msgspec.convert(reply.body, news.News)
    except msgspec.ValidationError as err:
        return kinds.Failure(kinds.Kind.REFUSED, str(err))


@kernel.plugin(
    "relay",
    needs=("catalog", "following", "journal", "reading", "web"),
)
async def relay(core):
    """Hear from the zone's reader, and tell others if it is this one."""
    apply_s = core.settings.apply_ms / 1000
    role = core.part("reading")
    shared = {
        "catalog": core.part("catalog"),
        "role": role,
        "access": core.part("following"),
        "clock": core.clock,
    }
    listener = Listener(
        **shared,
        ask=lambda *question: _ask(core, *question),
        journal=core.part("journal"),
        hold_s=longest_hold(apply_s),
        stale_s=role.longest_wait_s + LATE_S,
    )
    core.spawn(listener.run(), name="hear from the reader")
    yield Teller(**shared, most_s=longest_hold(apply_s))
