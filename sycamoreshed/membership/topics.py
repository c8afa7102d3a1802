"""What entry instances tell each other: topics of records.

A record has a topic, a key and a JSON value.  The topic's merge function
decides which of two values of a key holds, so that the order in which
messages arrive does not matter.
"""

import typing

from sycamoreshed.kernel import registry

__all__ = ["TOPICS", "Topic", "newest", "topic"]

TOPICS = registry.Registry(kind="topic")


class Topic(typing.NamedTuple):
    """How the records of one topic spread.

    Parameters
    ----------
    merge : callable
        Takes the value held (or None) and one that came; returns the one
        that holds.  Must be commutative, associative and idempotent, and
        return the very object held when nothing is new.
    zone_only : bool
        Whether records stay within the zone.
    urgent : bool
        Whether a change is sent at once instead of in the next round.
    """

    merge: typing.Callable
    zone_only: bool
    urgent: bool


def topic(name, *, zone_only=False, urgent=False):
    """Return a decorator that registers a merge function as a topic.

    Examples
    --------
    >>> @topic("doctest-largest")
    ... def largest(held, came):
    ...     return came if held is None or came > held else held
    >>> TOPICS.get("doctest-largest").merge(3, 5)
    5
    """

    def decorate(func):
        TOPICS.register(name)(Topic(func, zone_only, urgent))
        return func

    return decorate


def newest(held, came):
    """Merge lists whose first items are numbers that only grow."""
    if held is None or came > held:
        return came
    return held
