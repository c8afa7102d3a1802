"""Adaptive release of stage results that engines fetch as inputs."""

import asyncio
import typing

__all__ = ["FetchDelays", "Release"]

# Initial delay until results are freed, by the distance of the engine's zone:
# it covers a connection, the request and the transfer of the results.
INITIAL_DELAY_S = (0.06, 0.08, 0.16)
MIN_DELAY_S = 0.04
# After this time an engine has begun its answer, which proves that it has
# fetched its inputs.
MAX_DELAY_S = 2.0
# Factors on the delay for each engine that found its inputs, and for each that
# did not.
SHRINK = 0.97
GROW = 1.5
# The delay stays above the last one that was too short by the factor MARGIN;
# that lower bound decays by the factor DECAY with each request.
MARGIN = 1.3
DECAY = 0.998


class _ZoneDelay(typing.NamedTuple):
    delay_s: float
    too_short_s: float = 0.0


class FetchDelays:
    """Delays from sending a request until its inputs are freed, by zone.

    Notes
    -----
    An engine reports missing inputs before it runs a request, but shows that
    it has fetched them only by its first event, after the prefill.  If
    results of 3 MB were stored until then, they would fill the memory of
    their endpoints, whose calls would then be only partly filled.

    Parameters
    ----------
    distance : callable
        Takes a zone, returns 0 for the own one, 1 within the region, else 2.

    Examples
    --------
    >>> delays = FetchDelays(distance=lambda zone: 2)
    >>> for _ in range(200):
    ...     delays.record_fetched("south-a")
    >>> delays.delay("south-a")
    0.04
    >>> delays.record_missing("south-a")
    >>> round(delays.delay("south-a"), 3)
    0.06
    """

    def __init__(self, *, distance):
        self._distance = distance
        self._zones = {}

    def delay(self, zone):
        """Return the seconds that engines of a zone need to fetch inputs."""
        return self._state(zone).delay_s

    def record_fetched(self, zone):
        """Shorten the delay of a zone whose engine found its inputs."""
        state = self._state(zone)
        too_short_s = state.too_short_s * DECAY
        min_delay_s = max(MIN_DELAY_S, MARGIN * too_short_s)
        delay_s = max(min_delay_s, state.delay_s * SHRINK)
        self._zones[zone] = _ZoneDelay(delay_s, too_short_s)

    def record_missing(self, zone):
        """Lengthen the delay of a zone whose inputs were freed too early."""
        too_short_s = self.delay(zone)
        self._zones[zone] = _ZoneDelay(
            min(MAX_DELAY_S, GROW * too_short_s), too_short_s
        )

    def _state(self, zone):
        if zone not in self._zones:
            return _ZoneDelay(INITIAL_DELAY_S[self._distance(zone)])
        return self._zones[zone]


class Release:
    """Frees the inputs of a request once its engine should have them.

    Parameters
    ----------
    free : callable
        Frees the inputs; returns whether there were any.
    delays : FetchDelays

    Attributes
    ----------
    freed : bool
        Whether the stages must run again before the request is sent to
        another engine.
    """

    def __init__(self, *, free, delays):
        self._free = free
        self._delays = delays
        self._timer = None
        self._zone = None
        self.freed = False

    def record_sent(self, endpoint):
        """Start the delay when the request is sent to an engine."""
        self.cancel()
        self._zone = endpoint.zone
        self._timer = asyncio.get_running_loop().call_later(
            self._delays.delay(endpoint.zone), self._free_inputs
        )

    def record_answer_start(self):
        """Free the inputs, as the engine has begun its answer."""
        self.cancel()
        if self._zone is not None:
            self._delays.record_fetched(self._zone)
        self._free_inputs()

    def record_inputs_gone(self):
        """Adjust the delay after an engine did not find its inputs."""
        # Results that expired before they were freed do not indicate that the
        # delay was too short.
        if self.freed:
            self._delays.record_missing(self._zone)

    def cancel(self):
        """Cancel the pending release."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _free_inputs(self):
        self.freed = self._free() or self.freed
