"""Topics of the records that entry instances gossip.

A record has a topic, a key and a JSON value.  The topic's merge function
decides which of two values of a key wins, so that the order in which
messages arrive does not matter.
"""

import typing

from sycamoreshed.kernel import registry

__all__ = ["TOPICS", "Topic", "newest", "topic"]

TOPICS = registry.Registry(kind="topic")


class Topic(typing.NamedTuple):
    """Merge rule and distribution of one topic's records.

    Parameters
    ----------
    merge : callable
        Takes the stored value (or None) and a received one; returns the
        one that wins.  Must be commutative, associative and idempotent,
        and return the stored object itself when nothing changed.
    zone_only : bool
        Whether records are kept from instances known to be in other zones.
    urgent : bool
        Whether a change starts an exchange immediately instead of waiting
        for the next periodic one.
    """

    merge: typing.Callable
    zone_only: bool
    urgent: bool


def topic(name, *, zone_only=False, urgent=False):
    """Return a decorator that registers a merge function as a topic.

    Examples
    --------
    >>> @topic("doctest-largest")
    ... def largest(stored, received):
    ...     return received if stored is None or received > stored else stored
    >>> TOPICS.get("doctest-largest").merge(3, 5)
    5
    """

    def decorate(func):
        TOPICS.register(name)(Topic(func, zone_only, urgent))
        return func

    return decorate


def newest(stored, received):
    """Keep the greater of two lists that start with an increasing number."""
    if stored is None or received > stored:
        return received
    return stored
