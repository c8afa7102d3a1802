"""Findings of this instance and of others, each with a limited lifetime.

Each finding has a topic, a key and a stamp.  Of two with the same topic and
key the one with the higher stamp holds, on all instances and in whichever
order they arrive, so that instances need no other coordination.
"""

import typing

import xxhash

from sycamoreshed.findings import topics

__all__ = ["Board", "Entry", "Finding"]


class Finding(typing.NamedTuple):
    """A finding, as instances send it to each other.

    Parameters
    ----------
    topic, key : str
    value : object
        JSON value; its form depends on the topic.
    stamp : int
        Unix time in ms when it was made, or more; see `Board.add`.
    age_s : float
        Seconds since it was made, as clocks of instances differ.
    """

    topic: str
    key: str
    value: typing.Any
    stamp: int
    age_s: float


class Entry(typing.NamedTuple):
    """A finding on the board, with the monotonic time when it was made."""

    value: typing.Any
    stamp: int
    at: float


class Board:
    """All current findings, by topic and key.

    Examples
    --------
    >>> from sycamoreshed.findings import topics
    >>> _ = topics.register(topics.Topic("example", 60.0, 10, value_type=int))
    >>> board, other = Board(), Board()
    >>> finding = board.add("example", "k", 1, now=5.0, unix_ms=1000)
    >>> [each.value for each in other.merge([finding], now=70.0)]
    [1]
    >>> other.merge([finding], now=71.0)
    []
    >>> other.entries("example", now=140.0)
    {}
    """

    def __init__(self):
        self._entries = {}
        self._listeners = {}

    def listen(self, topic, listener):
        """Call `listener` without arguments after each change of a topic."""
        self._listeners.setdefault(topic, []).append(listener)

    def entries(self, topic, now):
        """Return the current `Entry` of each key of a topic."""
        entries = self._entries.get(topic)
        if not entries:
            return {}
        self._expire(topics.find(topic), entries, now)
        return entries

    def find(self, topic, key, now):
        """Return the current `Entry` of a key, or None."""
        entry = self._entries.get(topic, {}).get(key)
        if entry is None or now - entry.at >= topics.find(topic).ttl_s:
            return None
        return entry

    def add(self, topic, key, value, *, now, unix_ms, age_s=0.0):
        """Add a finding of this instance, and return it.

        Parameters
        ----------
        topic, key : str
        value : object
        now : float
            Monotonic time in seconds.
        unix_ms : int
            Becomes its stamp, unless what is known of this key has a higher
            one: clocks differ, and what is found later has to hold.
        age_s : float
            Seconds since what it tells happened.
        """
        known = self._entries.get(topic, {}).get(key)
        stamp = unix_ms if known is None else max(unix_ms, known.stamp + 1)
        finding = Finding(topic, key, value, stamp, round(age_s, 3))
        self.merge([finding], now)
        return finding

    def merge(self, findings, now):
        """Add findings of other instances; return those that were new."""
        new = [each for each in findings if self._take(each, now)]
        for topic in {each.topic for each in new}:
            for listener in self._listeners.get(topic, ()):
                listener()
        return new

    def findings(self, now):
        """Return all current findings."""
        return [
            Finding(
                topic.name,
                key,
                entry.value,
                entry.stamp,
                round(now - entry.at, 3),
            )
            for topic in topics.all_topics()
            for key, entry in self.entries(topic.name, now).items()
        ]

    def digest(self, now):
        """Return a hash that is equal on instances with equal findings."""
        combined = 0
        for topic in topics.all_topics():
            for key, entry in self.entries(topic.name, now).items():
                named = f"{topic.name}/{key}/{entry.stamp}".encode()
                combined ^= xxhash.xxh3_64_intdigest(named)
        return combined

    def _take(self, finding, now):
        topic = topics.find(finding.topic)
        # Another version of the program may know further topics.
        if topic is None or finding.age_s >= topic.ttl_s:
            return False
        entries = self._entries.setdefault(topic.name, {})
        known = entries.get(finding.key)
        if known is not None and known.stamp >= finding.stamp:
            return False
        # Keeps the order of the dict that of the time of arrival.
        entries.pop(finding.key, None)
        entries[finding.key] = Entry(
            finding.value, finding.stamp, now - finding.age_s
        )
        while len(entries) > topic.max_entries:
            del entries[next(iter(entries))]
        return True

    @staticmethod
    def _expire(topic, entries, now):
        expired = [
            key
            for key, entry in entries.items()
            if now - entry.at >= topic.ttl_s
        ]
        for key in expired:
            del entries[key]
