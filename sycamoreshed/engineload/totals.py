"""Tells the collectors of all zones what the instances of this one have."""

import asyncio
import math

from sycamoreshed.engineload import selection
from sycamoreshed.engineload import telling
from sycamoreshed.engineload import view
from sycamoreshed.errors import kinds
from sycamoreshed.findings import avoidance

__all__ = ["TotalSender"]

# For an instance of another region to answer, on a new connection.
TIMEOUT_S = 0.3
# Between totals to a zone while they change.
INTERVAL_S = 0.1
# The same to another region, where bytes are dear.
REMOTE_INTERVAL_S = 0.25
# Changes that come within this time are told together.
GATHER_S = 0.03
# Between totals that stay the same and are not zero.
HEARTBEAT_S = 0.8
# Between reports of learnt speeds.
SPEEDS_INTERVAL_S = 0.4


class _Zone:
    """What a zone has been told.

    Attributes
    ----------
    told : dict or None
        Loads that its collector took; None if it may not have them.
    """

    def __init__(self):
        self.told = {}
        self.holders = telling.Holders(ttl_s=view.TTL_S)
        self.sent_at = -math.inf
        self.speeds_at = -math.inf
        self.is_sending = False


class TotalSender:
    """Tells the collector of each zone a total when it has changed.

    Parameters
    ----------
    own, zone : str
    regions : dict of str to str
        Region of each zone.
    collector : Collector
    is_first_hand : callable
        Returns whether this instance collects for its zone.
    peers : PeerDirectory
    teller : Teller
    spawn, clock : callable
    """

    def __init__(
        self,
        *,
        own,
        zone,
        regions,
        collector,
        is_first_hand,
        peers,
        teller,
        spawn,
        clock,
    ):
        self._own = own
        self._zone = zone
        self._regions = regions
        self._collector = collector
        self._is_first_hand = is_first_hand
        self._peers = peers
        self._teller = teller
        self._spawn = spawn
        self._clock = clock
        self._avoidance = avoidance.Avoidance()
        self._zones = {}
        self._wake = asyncio.Event()

    def notify(self):
        """Take note that the total may have changed."""
        self._wake.set()

    async def run(self):
        """Tell totals until cancelled."""
        while True:
            wait_s = self._tell_due(self._clock())
            try:
                async with asyncio.timeout(
                    None if math.isinf(wait_s) else wait_s
                ):
                    await self._wake.wait()
            except TimeoutError:
                # The next one is due.
                pass
            await asyncio.sleep(GATHER_S)
            self._wake.clear()

    def _tell_due(self, now):
        """Tell the zones that are due; return the seconds to the next one."""
        total = self._collector.total(now, with_own=self._is_first_hand(now))
        next_at = math.inf
        for zone in sorted(self._peers.zones()):
            told = self._zones.setdefault(zone, _Zone())
            if told.is_sending:
                continue
            due_at = self._due_at(zone, told, total)
            if due_at > now:
                next_at = min(next_at, due_at)
                continue
            told.is_sending = True
            told.sent_at = now
            self._spawn(
                self._tell(zone, told, total), name="tell load of engines"
            )
        return max(0.0, next_at - now)

    def _due_at(self, zone, told, total):
        if told.told == total:
            return told.sent_at + HEARTBEAT_S if total else math.inf
        is_near = self._regions.get(zone) == self._regions.get(self._zone)
        return told.sent_at + (INTERVAL_S if is_near else REMOTE_INTERVAL_S)

    async def _tell(self, zone, told, total):
        try:
            told.told = await self._send(zone, told, total)
        finally:
            told.is_sending = False
            # It may have changed meanwhile.
            self._wake.set()

    async def _send(self, zone, told, total):
        """Tell a zone's collector; return what it knows now, or None."""
        now = self._clock()
        found = selection.collector_of(
            zone,
            self._avoidance.available(self._peers.eligible(zone, now), now),
        )
        if found is None or found.name == self._own:
            return total
        speeds = None
        if now - told.speeds_at >= SPEEDS_INTERVAL_S:
            speeds = self._collector.total_speeds(now)
        told.holders.add(found.control, now)
        reply = await self._teller.tell(
            found.control,
            total,
            timeout_s=TIMEOUT_S,
            speeds=speeds,
            is_total=True,
        )
        if isinstance(reply, kinds.Failure):
            self._avoidance.add(found.control, self._clock())
            return None
        if speeds is not None:
            told.speeds_at = now
        # It would count there for a while beside what is told now.
        for former in told.holders.remove_others(found.control, now):
            self._spawn(
                self._teller.take_back(
                    former, timeout_s=TIMEOUT_S, is_total=True
                ),
                name="tell load of engines",
            )
        return total
