"""How long engines take to fetch their inputs, learnt from those that miss."""

import asyncio
import typing

__all__ = ["FetchTimes", "Release"]

# Initial delay until results are freed, by the distance of the engine's zone:
# a connection, the request and the transfer of the results.
FIRST_S = (0.06, 0.08, 0.16)
LEAST_S = 0.04
# By then an engine has begun its answer, which tells for certain.
MOST_S = 2.0
# Shorter by so much with each engine that found its inputs, longer by so much
# with each that did not.
SHRINK = 0.97
GROW = 1.5
# The delay stays above one that was too short by this factor, which decays
# with each request.
MARGIN = 1.3
FORGET = 0.998


class _Learnt(typing.NamedTuple):
    delay_s: float
    too_short_s: float = 0.0


class FetchTimes:
    """When results may be given up after a request was sent, by zone.

    Notes
    -----
    An engine says when inputs are gone, before it runs the request; that
    it has them it tells only with the first event, after it has read the
    prompt.  Held until then, results of 3 MB fill their endpoints, and its
    calls go out part full.

    Parameters
    ----------
    distance : callable
        Takes a zone, returns 0 for the own one, 1 within the region, else 2.

    Examples
    --------
    >>> times = FetchTimes(distance=lambda zone: 2)
    >>> for _ in range(200):
    ...     times.fetched("south-a")
    >>> times.delay("south-a")
    0.04
    >>> times.gone("south-a")
    >>> round(times.delay("south-a"), 3)
    0.06
    """

    def __init__(self, *, distance):
        self._distance = distance
        self._zones = {}

    def delay(self, zone):
        """Return the seconds after which an engine of a zone has fetched."""
        return self._learnt(zone).delay_s

    def fetched(self, zone):
        """Note an engine that had its inputs."""
        learnt = self._learnt(zone)
        too_short = learnt.too_short_s * FORGET
        least = max(LEAST_S, MARGIN * too_short)
        delay = max(least, learnt.delay_s * SHRINK)
        self._zones[zone] = _Learnt(delay, too_short)

    def gone(self, zone):
        """Note an engine whose inputs had been given up too early."""
        short = self.delay(zone)
        self._zones[zone] = _Learnt(min(MOST_S, GROW * short), short)

    def _learnt(self, zone):
        if zone not in self._zones:
            return _Learnt(FIRST_S[self._distance(zone)])
        return self._zones[zone]


class Release:
    """Frees the inputs of a request once its engine should have them.

    Parameters
    ----------
    free : callable
        Frees the inputs; returns whether there were any.
    times : FetchTimes

    Attributes
    ----------
    freed : bool
        Whether another engine has to have them made again.
    """

    def __init__(self, *, free, times):
        self._free = free
        self._times = times
        self._timer = None
        self._zone = None
        self.freed = False

    def sent(self, endpoint):
        """Note that the request is being sent to an engine."""
        self.cancel()
        self._zone = endpoint.zone
        self._timer = asyncio.get_running_loop().call_later(
            self._times.delay(endpoint.zone), self._now
        )

    def begun(self):
        """Note that the engine has begun its answer, and has its inputs."""
        self.cancel()
        if self._zone is not None:
            self._times.fetched(self._zone)
        self._now()

    def gone(self):
        """Note that the engine did not find its inputs."""
        # Results that expired before they were freed say nothing of that.
        if self.freed:
            self._times.gone(self._zone)

    def cancel(self):
        """Free nothing by time any more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _now(self):
        self.freed = self._free() or self.freed
