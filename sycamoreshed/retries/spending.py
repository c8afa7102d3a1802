"""Decides whether this instance may send a retry, and records it.

The budget is common to all instances and has no exception for restarts, so
what was spent must outlast the process.  A retry is therefore recorded in the
store before it is sent, a few at a time, unless only few of the window are
unrecorded.  So a process that starts knows what those before it have spent,
up to `UNRECORDED_SHARE` of the budget, which `RetryBudget` leaves unused.
"""

import asyncio
import collections
import math

from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel
from sycamoreshed.retries import budget as budgets
from sycamoreshed.retries import records as retry_records
from sycamoreshed.retries import windows

__all__ = ["RetrySpending"]

# Share of the budget that may be spent unrecorded in a window.
UNRECORDED_SHARE = 1 - budgets.RetryBudget.USABLE_SHARE
# Part of its share in the fixed slack that an instance has while it is new:
# the others have shared all of the usable budget without it.
NEW_SHARE = UNRECORDED_SHARE / budgets.RetryBudget.USABLE_SHARE
# Share of what remains that is recorded in advance, so that the next retries
# need not wait.
RESERVED_SHARE = 0.25
# For how long retries that were recorded in advance may be sent.  In a large
# deployment longer, so that all instances together write less often.
MIN_RESERVATION_S = 1.0
RESERVATION_PER_INSTANCE_S = 0.025
# What a retry waits for its record at most.
MAX_WAIT_S = 0.5
# Pause before the store is asked once more.  Until then retries that would
# have to be recorded are rejected at once.
RETRY_S = 0.5


class _Cover:
    """Which retries to a service the store knows of.

    Parameters
    ----------
    window_s : float
    """

    def __init__(self, *, window_s):
        self._window_s = window_s
        self._reserved = 0
        self._reserved_until = float("-inf")
        self._unrecorded = windows.SlidingWindow(span_s=window_s)
        # Unrecorded retries that the record under way does not include.
        self._later = None
        self.waiting = 0

    def take(self, now):
        """Use a retry that was recorded in advance; return whether one was."""
        if self._reserved < 1 or now >= self._reserved_until:
            return False
        self._reserved -= 1
        return True

    def unrecorded(self, now):
        """Return how many retries of the window the store does not know."""
        return self._unrecorded.count(now)

    def record_unrecorded(self, now):
        """Count a retry that the store does not know of."""
        self._unrecorded.add(now)
        if self._later is not None:
            self._later.add(now)

    def begin_recording(self):
        """Begin to record all retries so far.

        Those reserved before are not used any more: the new record would not
        include them.
        """
        self._reserved = 0
        self._later = windows.SlidingWindow(span_s=self._window_s)

    def end_recording(self, reserved, until, *, is_stored):
        """End it, with the retries that were recorded in advance."""
        if is_stored:
            self._unrecorded = self._later
            self._reserved, self._reserved_until = reserved, until
        self._later = None

    def forget(self, spent, now):
        """Count all retries as unrecorded: the store may have lost them."""
        self._reserved = 0
        self._unrecorded = windows.SlidingWindow(span_s=self._window_s)
        if spent:
            self._unrecorded.add(now, spent)


class RetrySpending:
    """Decides on retries, of all senders of this instance.

    Parameters
    ----------
    budget : RetryBudget
    records : RetryRecords
    catalog : Catalog
    own : str
        Name of this instance.
    count_instances : callable
        Returns how many instances share the budget.
    started_at : float
        Monotonic time at which the process started.
    spawn : callable
    on_decided : callable
        Takes why a repeat must not be sent, or None.
    clock : callable
    """

    def __init__(
        self,
        *,
        budget,
        records,
        catalog,
        own,
        count_instances,
        started_at,
        spawn,
        on_decided,
        clock,
    ):
        self._budget = budget
        self._records = records
        self._catalog = catalog
        self._own = own
        self._count_instances = count_instances
        self._settled_at = started_at + budget.window_s
        self._spawn = spawn
        self._on_decided = on_decided
        self._clock = clock
        self._instances = windows.SlidingMaximum(span_s=budget.window_s)
        self._inherited = retry_records.Record({}, {})
        self._is_registered = False
        self._was_member = False
        self._covers = {}
        self._recording = None
        self._record_at = float("-inf")
        self._era = None

    def set_limits(self, ratio, slack):
        """Change the limits; see `RetryBudget.set_limits`."""
        self._budget.set_limits(ratio, slack)

    def record_requests(self, service):
        """Count a request to a service, without its retries."""
        self._budget.record_requests(service, self._clock())

    def remaining(self, service):
        """Return how many retries this instance may send to a service."""
        now = self._clock()
        return self._budget.remaining(
            service,
            now,
            self._slack_share(now),
            earlier=self._earlier(service, now),
        )

    def refund(self, service):
        """Give back a retry that was not sent."""
        self._budget.refund(service)

    async def try_spend(self, service):
        """Spend a retry to a service.

        Returns
        -------
        str or None
            Why it must not be sent; None if it may.
        """
        why = await self._try_spend(service)
        self._on_decided(why)
        return why

    async def _try_spend(self, service):
        deadline = self._clock() + MAX_WAIT_S
        while True:
            now = self._clock()
            if self.remaining(service) < 1:
                return "budget spent"
            cover = self._cover(service)
            if cover.take(now):
                break
            if self._may_go_unrecorded(service, cover, now):
                cover.record_unrecorded(now)
                break
            if not self._records.is_loaded:
                return "budget unknown"
            if now >= deadline or not await self._wait_recorded(
                cover, deadline - now
            ):
                return "budget not recorded"
        self._budget.spend(service, now)
        self._record_ahead(service, cover, now)
        return None

    async def run(self):
        """Learn what earlier processes spent, and follow the instances."""
        self._spawn(self._load(), name="read retries")
        while not self._catalog.has_peers:
            await self._catalog.changed.wait(None)
        # By an earlier process: this one registers itself later.
        self._is_registered = self._own in self._catalog.peers
        while True:
            self._follow_instances()
            self._follow_era()
            await self._catalog.changed.wait(self._budget.window_s)

    async def _load(self):
        while True:
            record = await self._records.load()
            if not isinstance(record, kinds.Failure):
                break
            await asyncio.sleep(RETRY_S)
        self._inherited = record
        self._was_member = (
            self._records.age_s(self._clock()) >= self._budget.window_s
        )
        # Later processes shall know since when this instance is one.
        await self._start_recording()
        while not self._catalog.has_peers:
            await self._catalog.changed.wait(None)
        await self._records.remove_old({self._own, *self._catalog.peers})

    def _follow_instances(self):
        self._instances.set(self._count_instances(), self._clock())

    def _follow_era(self):
        """Record all again if the store came back from an older copy."""
        era = self._catalog.store_era
        if self._era is not None and era > self._era:
            now = self._clock()
            for service, cover in self._covers.items():
                cover.forget(self._budget.spent(service, now), now)
            if self._covers and self._records.is_loaded:
                self._start_recording()
        self._era = era

    def _is_settled(self, now):
        """Return whether a window has passed since the process started."""
        return now >= self._settled_at

    def _slack_share(self, now):
        """Return the share of this instance in the fixed part."""
        if not self._catalog.has_peers:
            # Who else shares it is not known.
            return 0.0
        self._follow_instances()
        share = 1 / self._instances.get(now)
        is_returning = self._is_registered and self._was_member
        if is_returning or self._is_settled(now):
            return share
        return NEW_SHARE * share

    def _earlier(self, service, now):
        """Return the `Counts` of earlier processes within the window."""
        if self._is_settled(now):
            return budgets.NOTHING
        since = now - self._budget.window_s
        requests, retries = (
            sum(count for at, count in events.get(service, ()) if at > since)
            for events in self._inherited
        )
        return budgets.Counts(requests, retries)

    def _allowed(self, service, now):
        """Return how many retries a window allows, spent ones included."""
        return self._budget.allowed(
            service,
            now,
            self._slack_share(now),
            earlier=self._earlier(service, now),
        )

    def _may_go_unrecorded(self, service, cover, now):
        if not self._is_settled(now):
            return False
        limit = UNRECORDED_SHARE * self._allowed(service, now)
        return cover.unrecorded(now) + 1 <= limit

    def _record_ahead(self, service, cover, now):
        """Record retries before the next ones would have to wait for it."""
        # A lone retry costs no write.
        limit = max(1.0, UNRECORDED_SHARE * self._allowed(service, now) / 2)
        if (
            self._records.is_loaded
            and now >= self._record_at
            and cover.unrecorded(now) > limit
        ):
            self._start_recording()

    async def _wait_recorded(self, cover, timeout_s):
        """Record retries in advance; return whether the store has them."""
        if self._clock() < self._record_at:
            return False
        cover.waiting += 1
        try:
            # A record that is under way does not include this retry.
            if self._recording is not None:
                await asyncio.wait([self._recording], timeout=timeout_s)
                return True
            recording = self._start_recording()
            await asyncio.wait([recording], timeout=timeout_s)
            return recording.done() and recording.result()
        finally:
            cover.waiting -= 1

    def _start_recording(self):
        if self._recording is None:
            self._recording = self._spawn(
                self._record(), name="record retries"
            )
        return self._recording

    async def _record(self):
        """Record all retries, with some in advance; return whether stored."""
        # Those that wait at the same moment share one record.
        await asyncio.sleep(0)
        now = self._clock()
        until = now + max(
            MIN_RESERVATION_S,
            RESERVATION_PER_INSTANCE_S * self._count_instances(),
        )
        reserved = {
            service: self._reservation(service, cover)
            for service, cover in self._covers.items()
        }
        in_advance = {
            service: [(until, count)]
            for service, count in reserved.items()
            if count
        }
        earlier = self._inherited
        if self._is_settled(now):
            earlier = retry_records.Record({}, {})
        retries = _joined(
            earlier.retries, self._budget.retries(now), in_advance
        )
        requests = _joined(earlier.requests, self._budget.requests(now))
        record = retry_records.Record(
            {name: requests[name] for name in retries}, retries
        )
        is_stored = False
        for service in reserved:
            self._covers[service].begin_recording()
        try:
            is_stored = await self._records.save(record)
        finally:
            for service, count in reserved.items():
                self._covers[service].end_recording(
                    count, until, is_stored=is_stored
                )
            self._recording = None
            if not is_stored:
                self._record_at = self._clock() + RETRY_S
        return is_stored

    def _reservation(self, service, cover):
        remaining = max(0, math.floor(self.remaining(service)))
        wanted = max(cover.waiting, math.ceil(RESERVED_SHARE * remaining))
        return min(remaining, wanted)

    def _cover(self, service):
        if service not in self._covers:
            self._covers[service] = _Cover(window_s=self._budget.window_s)
        return self._covers[service]


def _joined(*parts):
    """Return the events of all parts, by service."""
    joined = collections.defaultdict(list)
    for part in parts:
        for service, events in part.items():
            joined[service] += events
    return joined


@kernel.plugin(
    "budget",
    needs=(
        "catalog",
        "following",
        "gateway_metrics",
        "journal",
        "peers",
        "platform",
    ),
)
async def budget(core):
    """Provide the `RetrySpending` of this instance."""
    settings = core.settings
    codec = core.part("platform")
    spending = RetrySpending(
        budget=budgets.RetryBudget(
            ratio=settings.retry_ratio,
            slack=settings.retry_slack,
            window_s=settings.retry_window_s,
        ),
        records=retry_records.RetryRecords(
            own=settings.instance,
            store=codec.store,
            store_table=codec.retries_table,
            journal=core.part("journal"),
            clock=core.clock,
            unix_ms=core.unix_ms,
        ),
        catalog=core.part("catalog"),
        own=settings.instance,
        count_instances=core.part("peers").count,
        started_at=core.clock(),
        spawn=core.spawn,
        on_decided=core.part("gateway_metrics").record_repeat,
        clock=core.clock,
    )
    core.keep_running(spending.run, name="follow the retry budget")
    yield spending
