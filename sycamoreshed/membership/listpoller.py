"""Polling of the platform's instance list, which may be outdated.

The list names the leaving instances and endpoints, and gives the control
addresses of entry instances.
"""

import asyncio
import random

from sycamoreshed.errors import kinds
from sycamoreshed.membership import rendezvous
from sycamoreshed.membership import topics

__all__ = ["InstanceListPoller"]

LISTED = "listed"
POLLERS_PER_ZONE = 2
FREQUENT_POLL_S = 2.0
INFREQUENT_POLL_S = 30.0


@topics.topic(LISTED, urgent=True)
def merge_listed(stored, received):
    """Keep the greater generation; within it, leaving (1) wins.

    Notes
    -----
    The list lags, and instances read it at different times.  In an outdated
    list the generation of an item, which is not that of a `Member`, is
    lower or equal, so it revives no leaving instance or endpoint.
    """
    return topics.newest(stored, received)


class InstanceListPoller:
    """Polls the list, frequently on a few instances of each zone.

    Parameters
    ----------
    settings : Settings
    source : InstanceList
    notes : Notes
    gossip : Gossip
    clock : callable
    """

    def __init__(self, *, settings, source, notes, gossip, clock):
        self._settings = settings
        self._source = source
        self._notes = notes
        self._gossip = gossip
        self._clock = clock
        self.leaving = frozenset()
        gossip.on_record(LISTED, self._update_leaving, own=True)

    async def run(self):
        """Poll the list periodically."""
        while True:
            items = await self._source.read()
            if not isinstance(items, kinds.Failure):
                self.update(items)
            seconds = (
                FREQUENT_POLL_S if self._is_poller() else INFREQUENT_POLL_S
            )
            await asyncio.sleep(seconds * random.uniform(0.8, 1.2))

    def update(self, items):
        """Publish which names are leaving; store the instance addresses.

        Parameters
        ----------
        items : list of ListedInstance
        """
        endpoints = {
            item.name
            for group in self._notes.config.endpoints.values()
            for item in group
        }
        for item in items:
            is_leaving = item.state == "leaving"
            stored = self._gossip.get(LISTED, item.name)
            # The live state is published only to replace an earlier record
            # of leaving.
            if is_leaving or stored is not None:
                value = [item.generation, int(is_leaving)]
                self._gossip.put(LISTED, item.name, value)
        self._gossip.set_listed(
            item.address for item in items if item.name not in endpoints
        )

    def _is_poller(self):
        zone = self._settings.zone
        names = [
            item.name
            for item in self._gossip.view.alive_in_zone(self._clock())
        ]
        return self._settings.instance in rendezvous.top(
            f"list {zone}", names, POLLERS_PER_ZONE
        )

    def _update_leaving(self, _name, _value, _now):
        entries = self._gossip.entries(LISTED)
        self.leaving = frozenset(
            name for name, value in entries.items() if value[1]
        )
