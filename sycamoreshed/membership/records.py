"""Storage of gossiped records in the order of their changes."""

import typing

from sycamoreshed.membership import topics

__all__ = ["Delta", "Records"]

MAX_DELTA_RECORDS = 500


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
    A dictionary keeps the insertion order, so a changed record is removed
    and inserted again; the changes since a position are then found from
    the end without scanning the rest.
    """

    def __init__(self):
        self._changes = {}
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
        """Return a topic's values by key; callers must not modify it."""
        return self._by_topic.get(topic, {})

    def merge(self, topic, key, value, *, via=None):
        """Merge a value; return whether anything changed.

        Parameters
        ----------
        via : object, optional
            Identifies the process that sent it; the change is not sent
            back to it.

        Raises
        ------
        RegistryError
            If there is no such topic.
        """
        topic_spec = topics.TOPICS.get(topic)
        stored = self.get(topic, key)
        merged = topic_spec.merge(stored, value)
        if merged is stored or merged == stored:
            return False
        self._changes.pop((topic, key), None)
        self._last += 1
        self._changes[topic, key] = (self._last, via)
        self._by_topic.setdefault(topic, {})[key] = merged
        return True

    def drop(self, topic, key):
        """Remove a record locally; this is not gossiped."""
        self._changes.pop((topic, key), None)
        self._by_topic.get(topic, {}).pop(key, None)

    def since(self, base, *, same_zone, to=None):
        """Return a `Delta` of at most `MAX_DELTA_RECORDS`, oldest first.

        Parameters
        ----------
        base : int
            Position up to which the receiver has all records.
        same_zone : bool
            Whether to include records of zone-only topics.
        to : object, optional
            Identifies the receiving process.
        """
        changed = []
        for (topic, key), (position, via) in reversed(self._changes.items()):
            if position <= base:
                break
            if via is None or via != to:
                changed.append((position, topic, key))
        changed.reverse()
        batch = changed[:MAX_DELTA_RECORDS]
        last = batch[-1][0] if len(batch) < len(changed) else self._last
        items = [
            [topic, key, self.get(topic, key)]
            for _, topic, key in batch
            if same_zone or not topics.TOPICS.get(topic).zone_only
        ]
        return Delta(base, last, items)
