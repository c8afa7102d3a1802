"""The records an instance holds, in the order in which they changed."""

import typing

from sycamoreshed.membership import topics

__all__ = ["Delta", "Records"]

MOST_RECORDS = 500


class Delta(typing.NamedTuple):
    """Records that changed after `base`, up to `last`.

    Parameters
    ----------
    base, last : int
        Positions in the sender's order of changes.
    records : list
        Items of topic, key and value.
    """

    base: int
    last: int
    records: list


class Records:
    """Values by topic and key, each with the position of its change.

    Notes
    -----
    A dictionary keeps the order of insertion, so a changed record is
    taken out and put in again; what changed since a position is then
    found from the end without looking at the rest.
    """

    def __init__(self):
        self._held = {}
        self._by_topic = {}
        self._last = 0

    @property
    def last(self):
        """Position of the last change."""
        return self._last

    def get(self, topic, key):
        """Return a value or None."""
        return self._by_topic.get(topic, {}).get(key)

    def entries(self, topic):
        """Return the values of a topic by key; not to be changed."""
        return self._by_topic.get(topic, {})

    def merge(self, topic, key, value, *, via=None):
        """Merge a value; return whether anything changed.

        Parameters
        ----------
        via : object, optional
            Names the process that told it, which need not be told.

        Raises
        ------
        RegistryError
            If there is no such topic.
        """
        rule = topics.TOPICS.get(topic)
        held = self.get(topic, key)
        result = rule.merge(held, value)
        if result is held or result == held:
            return False
        self._held.pop((topic, key), None)
        self._last += 1
        self._held[topic, key] = (self._last, via)
        self._by_topic.setdefault(topic, {})[key] = result
        return True

    def drop(self, topic, key):
        """Forget a record here; nothing is told to others."""
        self._held.pop((topic, key), None)
        self._by_topic.get(topic, {}).pop(key, None)

    def since(self, base, *, same_zone, to=None):
        """Return a `Delta` of at most `MOST_RECORDS`, oldest first.

        Parameters
        ----------
        base : int
            Position up to which the receiver has everything.
        same_zone : bool
            Whether records that stay in the zone may go to it.
        to : object, optional
            Names the receiving process.
        """
        changed = []
        for (topic, key), (position, via) in reversed(self._held.items()):
            if position <= base:
                break
            if via is None or via != to:
                changed.append((position, topic, key))
        changed.reverse()
        part = changed[:MOST_RECORDS]
        last = part[-1][0] if len(part) < len(changed) else self._last
        sent = [
            [topic, key, self.get(topic, key)]
            for _, topic, key in part
            if same_zone or not topics.TOPICS.get(topic).zone_only
        ]
        return Delta(base, last, sent)
