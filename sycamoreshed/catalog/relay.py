"""Long polling of the zone's reader instead of the store.

The reader holds a request until a table changes.  If it does not answer, or
cannot reach the store itself, this instance reads the store.
"""

import asyncio

import msgspec

from sycamoreshed.adapters import positions
from sycamoreshed.adapters import web
from sycamoreshed.catalog import catalog as catalogs
from sycamoreshed.catalog import updates
from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel

__all__ = ["PATH", "WatchClient", "WatchServer", "max_hold"]

PATH = "/control/watch"
# Share of the time within which a change has to be known: an unresponsive
# reader is detected only at the end of the hold time.
HOLD_SHARE = 0.4
# Time after the hold time until a request counts as failed.
SLACK_S = 0.4
# Time after the reader's longest call at the store until its copy counts as
# stale.
STALE_SLACK_S = 1.0
# Maximum delay before the next selection of a reader while there is none; also
# the delay after an update without tables.
CHECK_INTERVAL_S = 0.5


def max_hold(apply_s):
    """Return the seconds for which a reader may hold a request.

    Examples
    --------
    >>> max_hold(5.0)
    2.0
    """
    return HOLD_SHARE * apply_s


class WatchServer:
    """Answers the watch requests of instances that this one reads for.

    Parameters
    ----------
    catalog : Catalog
    selector : ReaderSelector
    access : StoreAccess
    clock : callable
    max_hold_s : float
        Maximum time to hold a request.
    """

    def __init__(self, *, catalog, selector, access, clock, max_hold_s):
        self._catalog = catalog
        self._selector = selector
        self._access = access
        self._clock = clock
        self._max_hold_s = max_hold_s

    async def answer(self, request):
        """Return the `Update`, after a change or the hold time."""
        self._access.enable(True)
        end = self._clock() + min(request.wait_s, self._max_hold_s)
        while not self._has_changed(request):
            self._selector.record_request(self._clock())
            remaining_s = end - self._clock()
            if remaining_s <= 0:
                break
            await self._wait_changed(remaining_s)
        now = self._clock()
        self._selector.record_request(now)
        tables = [
            updates.table_update(
                self._catalog, table, _held(request, table), now
            )
            for table in self._catalog.tables
        ]
        return updates.Update(tables, self._is_current)

    @property
    def _is_current(self):
        return self._catalog.is_ready and not self._access.is_unavailable

    def _has_changed(self, request):
        if self._is_current != request.was_current:
            return True
        return any(
            self._is_newer(self._catalog.replica(table), _held(request, table))
            for table in self._catalog.tables
        )

    @staticmethod
    def _is_newer(replica, position):
        if replica.position <= position:
            return False
        changed = replica.changes(position)
        return changed is None or bool(changed)

    async def _wait_changed(self, timeout):
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
    """Watches the zone's reader, and falls back to the store without it.

    Parameters
    ----------
    catalog : Catalog
    selector : ReaderSelector
    access : StoreAccess
    send : callable
        Coroutine function of a control address, a `WatchRequest` and a
        timeout in seconds; returns an `Update` or a `Failure`.
    journal : Journal
    clock : callable
    hold_s : float
        Seconds for which the reader may hold a request.
    stale_s : float
        Age of a table above which the reader counts as stale.
    """

    def __init__(
        self,
        *,
        catalog,
        selector,
        access,
        send,
        journal,
        clock,
        hold_s,
        stale_s,
    ):
        self._catalog = catalog
        self._selector = selector
        self._access = access
        self._send = send
        self._journal = journal
        self._clock = clock
        self._hold_s = hold_s
        self._stale_s = stale_s
        self._reader = None
        self._was_current = True

    async def run(self):
        """Watch until cancelled."""
        # Started again after an error, it must not leave reading disabled.
        self._access.is_relayed = False
        self._access.enable(True)
        while True:
            reader = self._select_reader()
            if reader is None:
                self._access.is_relayed = False
                self._access.enable(True)
                # A peer that has just registered may become the reader.
                await self._catalog.changed.wait(CHECK_INTERVAL_S)
                continue
            await self._poll(reader)

    async def _poll(self, reader):
        """Send one request to the reader."""
        # A reader that has not answered yet must not hold the request.
        hold_s = self._hold_s if self._access.is_relayed else 0.0
        held = updates.held_positions(self._catalog)
        update = await self._send(
            reader,
            updates.WatchRequest(held, self._was_current, hold_s),
            hold_s + SLACK_S,
        )
        now = self._clock()
        if isinstance(update, kinds.Failure):
            self._on_failure(reader, update.reason, now)
            return
        self._apply(update, reader, now)
        if not update.tables:
            # `WatchServer` always returns tables; a reader that returns none
            # would answer every request at once.
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _select_reader(self):
        if not self._has_all_tables():
            return None
        now = self._clock()
        reader = self._selector.reader(now)
        if reader != self._reader:
            self._reader = reader
            self._was_current = True
            self._access.is_relayed = False
            # A reader that failed before may still be unresponsive.
            reads_store = reader is None or self._selector.has_failed(reader)
            self._access.enable(reads_store or self._selector.is_watched(now))
            self._journal.write("reader", reader=reader)
        return reader

    def _has_all_tables(self):
        return all(
            self._catalog.replica(table).has_copy
            for table in self._catalog.tables
        )

    def _on_failure(self, reader, why, now):
        self._journal.write("reader_lost", reader=reader, why=why)
        self._selector.record_failure(reader, now)
        # Read the store until a reader is up to date: the next one may lack
        # the missed changes as well.
        self._access.is_relayed = False
        self._access.enable(True)

    def _apply(self, update, reader, now):
        self._selector.record_success(reader)
        self._was_current = update.is_current
        self._access.is_relayed = True
        for each in update.tables:
            updates.apply_update(self._catalog, each, now, reader)
            self._catalog.mark_current(
                each.table, each.position, now - each.age_s
            )
        is_fresh = update.is_current and all(
            each.age_s <= self._stale_s
            for each in update.tables
            if each.table != catalogs.PEERS
        )
        reads_store = not is_fresh or self._selector.is_watched(now)
        self._access.enable(reads_store)


def _held(request, table):
    return request.held.get(table, positions.UNKNOWN)


async def _send(core, control, request, timeout):
    reply = await web.fetch(
        core.part("web"), "POST", control, PATH, timeout=timeout, body=request
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
    apply_s = core.settings.update_s
    selector = core.part("reading")
    shared = {
        "catalog": core.part("catalog"),
        "selector": selector,
        "access": core.part("following"),
        "clock": core.clock,
    }
    client = WatchClient(
        **shared,
        send=lambda *args: _send(core, *args),
        journal=core.part("journal"),
        hold_s=max_hold(apply_s),
        stale_s=selector.max_wait_s + STALE_SLACK_S,
    )
    core.keep_running(client.run, name="watch the reader")
    yield WatchServer(**shared, max_hold_s=max_hold(apply_s))
