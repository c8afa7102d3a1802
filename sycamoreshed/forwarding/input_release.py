"""Adaptive release of stage results that engines fetch as inputs."""

import asyncio
import typing

__all__ = ["ReleaseDelays", "Release"]

# Initial delay until results are freed, by the distance of the engine's zone:
# it covers a connection, the request and the transfer of the results.
INITIAL_DELAY_S = (0.06, 0.08, 0.16)
MIN_DELAY_S = 0.04
# Upper bound of the delay; an engine has normally begun its answer by then,
# which proves that it has fetched its inputs.
MAX_DELAY_S = 2.0
# Factors on the delay for each stream that begins, whose engine has found its
# inputs, and for each request whose inputs were freed too early.
SHRINK = 0.97
GROW = 1.5
# Lower bound of the delay: MARGIN times the last delay that was too short,
# which decays by the factor DECAY with each stream that begins.
MARGIN = 1.3
DECAY = 0.998


class _ZoneDelay(typing.NamedTuple):
    delay_s: float
    too_short_s: float = 0.0


class ReleaseDelays:
    """Delays from sending a request until its inputs are freed, by zone.

    Notes
    -----
    An engine reports missing inputs before it runs a request, but shows that
    it has fetched them only by its first event, after the prefill.  Results
    of 3 MB each, stored until then, would fill the memory of the stage
    endpoints, which could then process only partly filled batches.

    Parameters
    ----------
    distance : callable
        Takes a zone, returns 0 for the own one, 1 within the region, else 2.

    Examples
    --------
    >>> delays = ReleaseDelays(distance=lambda zone: 2)
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
        """Return the seconds from a request to a zone to its release."""
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
    delays : ReleaseDelays

    Attributes
    ----------
    freed : bool
        Whether inputs have been freed, so that the stages must run again
        before a retry.
    """

    def __init__(self, *, free, delays):
        self._free = free
        self._delays = delays
        self._timer = None
        self._zone = None
        self.freed = False

    def schedule(self, endpoint):
        """Schedule the release for a request that is sent to an engine."""
        self.cancel()
        self._zone = endpoint.zone
        self._timer = asyncio.get_running_loop().call_later(
            self._delays.delay(endpoint.zone), self._free_inputs
        )

    def free_now(self):
        """Free the inputs now, as the engine has begun its answer."""
        self.cancel()
        if self._zone is not None:
            self._delays.record_fetched(self._zone)
        self._free_inputs()

    def record_inputs_missing(self):
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
