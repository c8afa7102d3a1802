"""Tells all instances which engines do not serve, or soon will not.

An engine that loads, or has nothing loaded, refuses calls.  Load reports
lag and refusals cost each caller a retry, so the holder of the lease tells
before it orders, and an engine gets nothing new once the word has spread.
"""

import time

from sycamoreshed.membership import topics

__all__ = ["UnavailableEngines"]

LOADING = "engine-loading"
# A holder that died cannot take its word back; it repeats it this often,
# and others forget what is not repeated.
REPEAT_S = 5.0
FORGET_S = 60.0


@topics.topic(LOADING, urgent=True)
def merge(held, came):
    """Keep the newest word: wall clock (ms), teller, 1 if away."""
    return topics.newest(held, came)


class UnavailableEngines:
    """Engines that get no new calls because they do not serve.

    Parameters
    ----------
    gossip : Gossip
    instance : str
    wall : callable, optional
        Returns the wall clock in seconds; orders the words.
    """

    def __init__(self, *, gossip, instance, wall=time.time):
        self._gossip = gossip
        self._instance = instance
        self._wall = wall
        self._until = {}
        self._told = {}
        gossip.on_record(LOADING, self._hear, own=True)

    def names(self, now):
        """Return the names of engines that are away, as of `now`."""
        if not self._until:
            return frozenset()
        return {name for name, until in self._until.items() if now < until}

    def report(self, name, away, now):
        """Tell whether an engine is away, if that is news by now."""
        told = self._told.get(name)
        if away and told is not None and now - told < REPEAT_S:
            return
        if not away and told is None and name not in self._until:
            return
        if away:
            self._told[name] = now
        else:
            self._told.pop(name, None)
        value = [int(self._wall() * 1000), self._instance, int(away)]
        self._gossip.put(LOADING, name, value)

    def _hear(self, name, value, now):
        if value[2]:
            self._until[name] = now + FORGET_S
        else:
            self._until.pop(name, None)
