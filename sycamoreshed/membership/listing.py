"""What the platform's lagging list adds: leavers, and addresses."""

import asyncio
import random

from sycamoreshed.errors import kinds
from sycamoreshed.membership import rendezvous
from sycamoreshed.membership import topics

__all__ = ["Listing"]

LISTED = "listed"
READERS = 2
OFTEN_S = 2.0
SELDOM_S = 30.0


@topics.topic(LISTED, urgent=True)
def merge_listed(held, came):
    """Keep the greater generation; of one generation, leaving (1) holds.

    Notes
    -----
    The list lags, and its readers see it at different times.  An old
    list has a lower generation, so that it brings no leaver back.
    """
    return topics.newest(held, came)


class Listing:
    """Reads the list, often on a few instances of each zone.

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
        gossip.on_record(LISTED, self._refresh, own=True)

    async def run(self):
        """Read the list again and again."""
        while True:
            items = await self._source.read()
            if not isinstance(items, kinds.Failure):
                self.take(items)
            seconds = OFTEN_S if self._is_reader() else SELDOM_S
            await asyncio.sleep(seconds * random.uniform(0.8, 1.2))

    def take(self, items):
        """Take in a list of `ListedInstance`."""
        endpoints = {
            item.name
            for group in self._notes.config.endpoints.values()
            for item in group
        }
        for item in items:
            is_leaving = item.state == "leaving"
            held = self._gossip.get(LISTED, item.name)
            # That one is live is told only to undo that it was leaving.
            if is_leaving or held is not None:
                value = [item.generation, int(is_leaving)]
                self._gossip.put(LISTED, item.name, value)
        self._gossip.set_listed(
            item.address for item in items if item.name not in endpoints
        )

    def _is_reader(self):
        zone = self._settings.zone
        names = [
            item.name
            for item in self._gossip.view.alive_in_zone(self._clock())
        ]
        return self._settings.instance in rendezvous.top(
            f"list {zone}", names, READERS
        )

    def _refresh(self, _name, _value, _now):
        entries = self._gossip.entries(LISTED)
        self.leaving = frozenset(
            name for name, value in entries.items() if value[1]
        )
