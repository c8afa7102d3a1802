"""Reports to all instances the engines that are unavailable while loading.

An engine that loads, or has nothing loaded, refuses calls.  Load reports
lag, and each refusal costs a caller a retry.  The holder of the lease
therefore reports an engine as unavailable before an order interrupts it,
and whenever a read shows that it does not serve.  The engine receives no
new calls once the report has spread.
"""

import time

from sycamoreshed.membership import topics

__all__ = ["UnavailableEngines"]

TOPIC = "engine-loading"
# A holder that has crashed cannot withdraw its reports.  They therefore
# expire unless they are repeated, on reads of the engine and at most once
# per this interval.
REPEAT_INTERVAL_S = 5.0
EXPIRY_S = 60.0


@topics.topic(TOPIC, urgent=True)
def merge(stored, received):
    """Keep the newest report: wall clock (ms), sender, 1 if unavailable."""
    return topics.newest(stored, received)


class UnavailableEngines:
    """Engines that receive no new calls because they do not serve.

    Parameters
    ----------
    gossip : Gossip
    instance : str
    wall_clock : callable, optional
        Returns the wall clock in seconds; decides which report is newest.
    """

    def __init__(self, *, gossip, instance, wall_clock=time.time):
        self._gossip = gossip
        self._instance = instance
        self._wall_clock = wall_clock
        self._expires_at = {}
        self._reported_at = {}
        gossip.on_record(TOPIC, self._receive, own=True)

    def names(self, now):
        """Return the names of the engines unavailable at `now`."""
        if not self._expires_at:
            return frozenset()
        return {
            name
            for name, expires_at in self._expires_at.items()
            if now < expires_at
        }

    def report(self, name, unavailable, now):
        """Report whether an engine is unavailable, if a report is due."""
        reported_at = self._reported_at.get(name)
        if (
            unavailable
            and reported_at is not None
            and now - reported_at < REPEAT_INTERVAL_S
        ):
            return
        if (
            not unavailable
            and reported_at is None
            and name not in self._expires_at
        ):
            return
        if unavailable:
            self._reported_at[name] = now
        else:
            self._reported_at.pop(name, None)
        value = [
            int(self._wall_clock() * 1000),
            self._instance,
            int(unavailable),
        ]
        self._gossip.put(TOPIC, name, value)

    def _receive(self, name, value, now):
        if value[2]:
            self._expires_at[name] = now + EXPIRY_S
        else:
            self._expires_at.pop(name, None)
