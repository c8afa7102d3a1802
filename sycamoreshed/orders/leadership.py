"""The duty of giving a zone's orders: who has it, and handing it over."""

import asyncio
import contextlib

import prometheus_client

from sycamoreshed.orders import pacing

__all__ = ["Leadership"]

# Three renewals may fail in a row before the lease is not used any more.
RENEWALS = 4


class Leadership:
    """Keeps the zone's lease from the start of the process to its end.

    Parameters
    ----------
    lease : Lease
    zone, instance : str
    notes : Notes
    peers : callable
        Takes the present time, returns names of live instances here.
    clock : callable
    registry : CollectorRegistry
    """

    def __init__(
        self, *, lease, zone, instance, notes, peers, clock, registry
    ):
        self._lease = lease
        self._zone = zone
        self._instance = instance
        self._notes = notes
        self._peers = peers
        self._clock = clock
        self._stopping = asyncio.Event()
        self._wake = asyncio.Event()
        notes.on_change(self._wake.set)
        self._fence = prometheus_client.Gauge(
            "sycamoreshed_orders_fence",
            "Fencing number of the zone's lease; zero without it.",
            registry=registry,
        )

    @property
    def stopping(self):
        """Event that is set once no order may be begun any more."""
        return self._stopping

    def can_order(self, now):
        """Return whether orders for the version in force may leave.

        Notes
        -----
        A new holder may know less than the one before.  Were it to give
        orders for its older version, engines would go back to what
        operators had already replaced; the row names the version that
        orders were given for.
        """
        version = self._notes.config.version
        return self._lease.is_valid(now) and version == self._lease.config

    async def run(self):
        """Take the lease and renew it, until told to stop.

        A change of the configuration renews it at once, so that the row
        names the new version before any order of it leaves.
        """
        while not self._stopping.is_set():
            self._wake.clear()
            held = await self._lease.renew(config=self._notes.config.version)
            self._fence.set(self._lease.fence if held else 0)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._wake.wait(), self._wait_s(held))

    def begin_stop(self):
        """Renew no more, and let no order begin."""
        self._stopping.set()
        self._wake.set()

    async def release(self):
        """Give the lease up, if it is held and all orders have ended."""
        if self._lease.is_valid(self._clock()):
            await self._lease.release()

    def _wait_s(self, held):
        seconds = self._lease.terms.duration_s
        if held:
            return seconds / RENEWALS
        names = self._peers(self._clock())
        return pacing.standby_s(
            first=pacing.stands_by(self._zone, self._instance, names),
            quick=seconds / (RENEWALS - 1),
            left=self._lease.remaining_wait_s(),
        )
