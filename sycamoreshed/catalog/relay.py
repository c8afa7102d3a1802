"""Long polling of the zone's reader instead of the store.

The reader holds a request until a table changes.  When it does not answer, or
does not reach the store itself, this instance reads the store.
"""

import asyncio

import msgspec

from sycamoreshed.adapters import web
from sycamoreshed.catalog import catalog as catalogs
from sycamoreshed.catalog import updates
from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel

__all__ = ["PATH", "WatchClient", "WatchServer", "max_hold"]

PATH = "/control/watch"
# Of the time in which a change has to be known: a silent reader is noticed
# only at the end of the hold time.
HOLD_SHARE = 0.4
# After the hold time, until a request counts as lost.
SLACK_S = 0.4
# After the reader's longest call at the store, until its copy counts as stale.
STALE_SLACK_S = 1.0
# Between checks for a reader.
CHECK_S = 0.5


def max_hold(apply_s):
    """Return the seconds for which a reader may hold a request.

    Examples
    --------
    >>> max_hold(5.0)
    2.0
    """
    return HOLD_SHARE * apply_s


class WatchServer:
    """Answers the requests of instances that this one reads for.

    Parameters
    ----------
    catalog : Catalog
    selector : ReaderSelector
    access : StoreAccess
    clock : callable
    max_hold_s : float
        Longest time to hold a request.
    """

    def __init__(self, *, catalog, selector, access, clock, max_hold_s):
        self._catalog = catalog
        self._selector = selector
        self._access = access
        self._clock = clock
        self._most_s = max_hold_s

    async def answer(self, request):
        """Return the `Update` for a request once a table has changed."""
        self._access.enable(True)
        end = self._clock() + min(request.wait_s, self._most_s)
        while not self._has_changed(request):
            self._selector.asked(self._clock())
            left = end - self._clock()
            if left <= 0:
                break
            await self._changed(left)
        now = self._clock()
        self._selector.asked(now)
        tables = [
            updates.table_update(
                self._catalog, table, request.versions.get(table, -1), now
            )
            for table in self._catalog.tables
        ]
        return updates.Update(tables, self._is_current)

    @property
    def _is_current(self):
        return self._catalog.is_ready and not self._access.is_lost

    def _has_changed(self, request):
        if self._is_current != request.was_current:
            return True
        return any(
            self._is_newer(
                self._catalog.replica(table), request.versions.get(table, -1)
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


class WatchClient:
    """Watches the zone's reader, and falls back on the store without it.

    Parameters
    ----------
    catalog : Catalog
    selector : ReaderSelector
    access : StoreAccess
    ask : callable
        Coroutine function of a control address, a `WatchRequest` and a
        timeout in seconds; returns an `Update` or a `Failure`.
    journal : Journal
    clock : callable
    hold_s : float
        Seconds for which the reader may hold a request.
    stale_s : float
        Age of a table from which on a reader counts as stale.
    """

    def __init__(
        self,
        *,
        catalog,
        selector,
        access,
        ask,
        journal,
        clock,
        hold_s,
        stale_s,
    ):
        self._catalog = catalog
        self._selector = selector
        self._access = access
        self._ask = ask
        self._journal = journal
        self._clock = clock
        self._hold_s = hold_s
        self._stale_s = stale_s
        self._reader = None
        self._was_current = True

    async def run(self):
        """Watch until cancelled."""
        while True:
            reader = self._choose()
            if reader is None:
                self._access.is_relayed = False
                self._access.enable(True)
                # A new peer may be the reader.
                await self._catalog.changed.wait(CHECK_S)
                continue
            await self._poll(reader)

    async def _poll(self, reader):
        """Send one request to the reader."""
        # A reader that has not answered yet is not given time to hold.
        hold_s = self._hold_s if self._access.is_relayed else 0.0
        versions = updates.versions(self._catalog)
        found = await self._ask(
            reader,
            updates.WatchRequest(versions, self._was_current, hold_s),
            hold_s + SLACK_S,
        )
        now = self._clock()
        if isinstance(found, kinds.Failure):
            self._fail(reader, found.reason, now)
            return
        self._take(found, reader, now)
        if not found.tables:
            # Such a reader would answer at once, again and again.
            await asyncio.sleep(CHECK_S)

    def _choose(self):
        if not self._knows_all():
            return None
        now = self._clock()
        reader = self._selector.reader(now)
        if reader != self._reader:
            self._reader = reader
            self._was_current = True
            self._access.is_relayed = False
            # A reader that failed before may still be silent.
            is_open = reader is None or self._selector.has_failed(reader)
            self._access.enable(is_open or self._selector.is_reader(now))
            self._journal.write("reader", reader=reader)
        return reader

    def _knows_all(self):
        return all(
            self._catalog.replica(table).known
            for table in self._catalog.tables
        )

    def _fail(self, reader, why, now):
        self._journal.write("reader_lost", reader=reader, why=why)
        self._selector.record_failure(reader, now)
        # Changes missed meanwhile may not be known to the next reader either.
        self._access.is_relayed = False
        self._access.enable(True)

    def _take(self, found, reader, now):
        self._selector.record_success(reader)
        self._was_current = found.is_current
        self._access.is_relayed = True
        for each in found.tables:
            updates.apply_update(self._catalog, each, now, reader)
            self._catalog.confirm(each.table, now - each.age_s)
        is_fresh = found.is_current and all(
            each.age_s <= self._stale_s
            for each in found.tables
            if each.table != catalogs.PEERS
        )
        reads = not is_fresh or self._selector.is_reader(now)
        self._access.enable(reads)


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
        return msgspec.convert(reply.body, updates.Update)
    except msgspec.ValidationError as err:
        return kinds.Failure(kinds.Kind.REFUSED, str(err))


@kernel.plugin(
    "relay",
    needs=("catalog", "following", "journal", "reading", "web"),
)
async def relay(core):
    """Watch the zone's reader, and serve others if it is this instance."""
    apply_s = core.settings.apply_ms / 1000
    selector = core.part("reading")
    shared = {
        "catalog": core.part("catalog"),
        "selector": selector,
        "access": core.part("following"),
        "clock": core.clock,
    }
    client = WatchClient(
        **shared,
        ask=lambda *question: _ask(core, *question),
        journal=core.part("journal"),
        hold_s=max_hold(apply_s),
        stale_s=selector.max_wait_s + STALE_SLACK_S,
    )
    core.spawn(client.run(), name="watch the reader")
    yield WatchServer(**shared, max_hold_s=max_hold(apply_s))
