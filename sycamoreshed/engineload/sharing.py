"""Keeps the view of engines' load young on all instances.

In each zone one instance collects.  The others tell it what they have at
engines and learn what all others have; the collectors tell each other the
totals of their zones.  So the messages grow with the instances, and not with
their square.  See docs/design/shared-engine-load.md.
"""

import asyncio
import math

import msgspec

from sycamoreshed.engineload import collecting
from sycamoreshed.engineload import messages
from sycamoreshed.engineload import selection
from sycamoreshed.engineload import telling
from sycamoreshed.engineload import totals
from sycamoreshed.errors import kinds
from sycamoreshed.findings import avoidance

__all__ = ["LoadSharing"]

# Source of the view for what the collector of the zone told.
ZONE_SOURCE = "zone"
# A request is not placed by a view that is older, if that can be helped.
FRESH_S = 0.05
# For the collector to answer; a request waits no longer either.
TIMEOUT_S = 0.1
# Instances that are tried in turn.
MAX_ATTEMPTS = 2
# After which they are tried again; until then the own counts have to do.
BACKOFF_S = 1.0
# Until a new request is told, so that several are told together.
GATHER_S = 0.01
# The same for the end of a request and for a prompt that was read: others
# then believe an engine to have more load than it has, which does less harm.
RELIEF_GATHER_S = 0.1
# Between reports that stay the same and are not zero.
HEARTBEAT_S = 0.8
# Between reports of learnt speeds.
SPEEDS_INTERVAL_S = 0.4


class LoadSharing:
    """Tells other instances what this one has at engines, and learns theirs.

    Parameters
    ----------
    own, zone : str
        Name and zone of this instance.
    regions : dict of str to str
        Region of each zone.
    view : LoadView
    speeds : Speeds
    peers : PeerDirectory
    teller : Teller
    spawn, clock : callable
    """

    def __init__(
        self, *, own, zone, regions, view, speeds, peers, teller, spawn, clock
    ):
        self._own = own
        self._zone = zone
        self._view = view
        self._ledger = view.ledger
        self._speeds = speeds
        self._peers = peers
        self._teller = teller
        self._spawn = spawn
        self._clock = clock
        self._collector = collecting.Collector(
            own=own, view=view, speeds=speeds
        )
        self._totals = totals.TotalSender(
            own=own,
            zone=zone,
            regions=regions,
            collector=self._collector,
            is_first_hand=self._is_first_hand,
            peers=peers,
            teller=teller,
            spawn=spawn,
            clock=clock,
        )
        self._avoidance = avoidance.Avoidance()
        self._wake = asyncio.Event()
        self._task = None
        self._started_at = -math.inf
        self._synced_at = -math.inf
        self._speeds_at = -math.inf
        # The next time at which the collector takes a report.
        self._next_at = -math.inf
        self._changed_at = math.inf
        self._told = {}
        self._holders = telling.Holders(ttl_s=collecting.MEMBER_TTL_S)
        self._reply = None
        self._ledger.listen(self._on_change)

    def age_s(self, now):
        """Return the seconds since this instance knew what others have.

        Returns
        -------
        float
            Infinity if it never did.
        """
        other_zones_s = self._collector.age_s(now)
        if self._reply is not None:
            other_zones_s = self._reply.age_s
        return now - self._synced_at + other_zones_s

    def collector(self, now):
        """Return the name of the instance that this one reports to."""
        return self._select(now).name

    async def refresh(self, now):
        """Learn what others have, before an engine is selected.

        Returns at once if it is known already, and waits for `TIMEOUT_S` at
        most.
        """
        if now - self._synced_at < FRESH_S:
            return
        if self._task is None and now >= self._next_at:
            self._start_sync(now)
        if self._task is not None:
            wait_s = self._started_at + TIMEOUT_S - now
            await asyncio.wait({self._task}, timeout=max(0.0, wait_s))

    def receive(self, raw):
        """Accept a message of another instance.

        Parameters
        ----------
        raw : bytes

        Returns
        -------
        Reply or None
            None if the message is ignored.
        """
        now = self._clock()
        try:
            counts = messages.decode_counts(raw)
        except msgspec.DecodeError as err:
            self._teller.log_ignored(str(err))
            return None
        if not self._collector.receive(counts, now):
            self._teller.log_ignored(f"not a new message of {counts.sender}")
            return None
        self._totals.notify()
        if counts.is_total:
            return messages.Reply({}, True, 0.0, 0.0)
        is_first_hand = self._is_first_hand(now)
        # Only what a collector told first hand is passed on, once: otherwise
        # counts could come back to the instance that told them.
        may_pass_on = self._reply is not None and self._reply.is_first_hand
        return self._collector.reply(
            counts.sender,
            now,
            is_first_hand=is_first_hand,
            told=() if may_pass_on and not is_first_hand else (ZONE_SOURCE,),
            has_speeds=counts.speeds is not None,
        )

    async def run(self):
        """Report to the collector until cancelled."""
        while True:
            self._wake.clear()
            now = self._clock()
            due_at = self._due_at(now)
            if due_at <= now:
                if self._task is None:
                    self._start_sync(now)
                if self._task is not None:
                    await asyncio.wait({self._task})
                continue
            try:
                async with asyncio.timeout(
                    None if math.isinf(due_at) else due_at - now
                ):
                    await self._wake.wait()
            except TimeoutError:
                # The report is due.
                continue

    async def run_totals(self):
        """Tell other zones the total of this one until cancelled."""
        await self._totals.run()

    def _on_change(self):
        if math.isinf(self._changed_at):
            self._changed_at = self._clock()
        self._wake.set()

    def _due_at(self, now):
        """Return when the next report is due."""
        loads = self._ledger.loads()
        if loads == self._told:
            if not loads:
                return math.inf
            due_at = self._synced_at + HEARTBEAT_S
        else:
            gather_s = RELIEF_GATHER_S
            if any(
                boot not in self._told
                or load.requests > self._told[boot].requests
                for boot, load in loads.items()
            ):
                gather_s = GATHER_S
            due_at = min(self._changed_at, now) + gather_s
        return max(due_at, self._next_at)

    def _select(self, now):
        eligible = self._peers.eligible(self._zone, now)
        found = selection.collector_for(
            self._own,
            self._zone,
            eligible,
            self._avoidance.available(eligible, now),
            has_member=lambda name: self._collector.has_member(name, now),
        )
        return found or selection.Found(self._own, "")

    def _is_first_hand(self, now):
        return self._select(now).name == self._own

    def _start_sync(self, now):
        """Report to the collector, or to itself if this instance is it."""
        found = self._select(now)
        if found.name == self._own:
            self._record_own(now)
            return
        self._started_at = now
        # Unless it succeeds, whatever ends it.
        self._next_at = now + BACKOFF_S
        self._task = self._spawn(self._sync(found), name="share engine load")

    async def _sync(self, found):
        try:
            for _ in range(MAX_ATTEMPTS):
                if await self._report(found):
                    return
                now = self._clock()
                found = self._select(now)
                if found.name == self._own:
                    self._record_own(now)
                    return
            self._next_at = self._clock() + BACKOFF_S
        finally:
            self._task = None
            self._wake.set()

    def _record_own(self, now):
        """Take note that this instance collects: it knows what it is told."""
        self._leave_others("", now)
        self._view.forget(ZONE_SOURCE)
        self._reply = None
        self._told = self._ledger.loads()
        self._synced_at, self._changed_at = now, math.inf
        self._next_at = now
        self._totals.notify()

    async def _report(self, found):
        """Report to an instance; return whether it answered."""
        sent_at = self._clock()
        loads = self._ledger.loads()
        self._changed_at = math.inf
        self._holders.add(found.control, sent_at)
        speeds = None
        if sent_at - self._speeds_at >= SPEEDS_INTERVAL_S:
            speeds = self._speeds.report(sent_at)
        reply = await self._teller.tell(
            found.control, loads, timeout_s=TIMEOUT_S, speeds=speeds
        )
        now = self._clock()
        if isinstance(reply, kinds.Failure):
            self._avoidance.add(found.control, now)
            self._changed_at = min(self._changed_at, sent_at)
            return False
        self._leave_others(found.control, now)
        self._reply = reply
        self._told = loads
        self._synced_at = sent_at
        self._next_at = now + reply.pause_s
        self._view.record_report(ZONE_SOURCE, reply.loads, sent_at)
        if reply.speeds is not None:
            self._speeds_at = sent_at
            self._speeds.record_report(ZONE_SOURCE, reply.speeds, sent_at)
        return True

    def _leave_others(self, control, now):
        """Take back what other instances than one were told."""
        for former in self._holders.remove_others(control, now):
            self._spawn(
                self._teller.take_back(former, timeout_s=TIMEOUT_S),
                name="share engine load",
            )
