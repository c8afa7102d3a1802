"""Leadership of a zone: which instance may send orders to its engines."""

import asyncio
import contextlib

import prometheus_client

from sycamoreshed.orders import pacing

__all__ = ["Leadership"]

# The lease is no longer used after three failed renewals in a row.
RENEWALS_PER_LEASE = 4


class Leadership:
    """Acquires and renews the zone's lease while the process runs.

    Parameters
    ----------
    lease : Lease
    zone, instance : str
    notes : Notes
    peers : callable
        Takes the current time, returns names of the zone's live instances.
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
        """Event that is set once no new order may start."""
        return self._stopping

    def can_order(self, now):
        """Return whether orders for the active configuration may be sent.

        Notes
        -----
        A new holder may have an older configuration than its predecessor.
        Orders for that version would return engines to what operators had
        already replaced.  The row therefore holds the highest version that
        orders may have been sent for.
        """
        version = self._notes.config.version
        return self._lease.is_valid(now) and version == self._lease.config

    async def run(self):
        """Acquire the lease and renew it until `begin_stop`.

        A change of the configuration renews it at once, so that the row
        holds the new version before any order for it is sent.
        """
        while not self._stopping.is_set():
            self._wake.clear()
            is_holder = await self._lease.renew(
                config=self._notes.config.version
            )
            self._fence.set(self._lease.fence if is_holder else 0)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self._wake.wait(), self._delay_s(is_holder)
                )

    def begin_stop(self):
        """Stop renewing, and let no new order start."""
        self._stopping.set()
        self._wake.set()

    async def release(self):
        """Release the lease if it is valid; all orders must have ended."""
        if self._lease.is_valid(self._clock()):
            await self._lease.release()

    def _delay_s(self, is_holder):
        duration_s = self._lease.terms.duration_s
        if is_holder:
            return duration_s / RENEWALS_PER_LEASE
        names = self._peers(self._clock())
        return pacing.standby_delay_s(
            hot=pacing.is_hot_standby(self._zone, self._instance, names),
            interval_s=duration_s / (RENEWALS_PER_LEASE - 1),
            remaining_s=self._lease.remaining_wait_s(),
        )
