"""Which endpoints may get new work."""

from sycamoreshed.kernel import kernel
from sycamoreshed.membership import members

__all__ = ["Membership"]

EJECT_AFTER = 3
EJECT_S = 2.0
MOST_EJECTED = 0.5


class Membership:
    """Evidence about endpoints, and who may be chosen.

    Parameters
    ----------
    notes : Notes
    gossip : Gossip
    """

    def __init__(self, *, notes, gossip):
        self._notes = notes
        self._gossip = gossip
        self._failures = {}
        self._ejected = {}
        self._leaving = set()

    def candidates(self, config, service, now):
        """Return the endpoints of a service that may get new work.

        Parameters
        ----------
        config : Config
            The version the request was admitted under.
        service : str
        now : float
            Monotonic seconds.

        Returns
        -------
        list of Endpoint
        """
        current = {
            item.name for item in self._notes.config.endpoints.get(service, ())
        }
        present = [
            item
            for item in config.endpoints.get(service, ())
            if item.name in current and item.name not in self._leaving
        ]
        kept = [
            item
            for item in present
            if self._ejected.get(item.name, 0.0) <= now
        ]
        # If most were ejected, the rest would fall over under the load
        # of all; so suspects are used again rather than too few.
        if len(kept) < len(present) * (1 - MOST_EJECTED):
            return present
        return kept

    def live_instances(self, now):
        """Return how many entry instances are alive, and by zone.

        Returns
        -------
        Live
            Total and counts by zone; zones out of reach have none.
            Made anew each time: for once a second, not for each request.
        """
        return members.count(self._gossip.alive(now))

    def report(self, endpoint, *, ok, now):
        """Take in the outcome of one call."""
        if ok:
            self._failures.pop(endpoint.name, None)
            return
        count = self._failures.get(endpoint.name, 0) + 1
        self._failures[endpoint.name] = count
        if count >= EJECT_AFTER:
            self._ejected[endpoint.name] = now + EJECT_S

    def leave(self, name):
        """Note that an endpoint is leaving."""
        self._leaving.add(name)


@kernel.plugin("membership", needs=("gossip", "notes"))
async def membership(core):
    """Provide evidence about endpoints."""
    yield Membership(
        notes=core.part("notes"),
        gossip=core.part("gossip"),
    )
