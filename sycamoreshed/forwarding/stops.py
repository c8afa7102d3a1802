"""Whether requests end before this instance does, once it stops.

A request that would still run at the end of the grace period is cut off,
whereas one that is rejected in time is served by another instance.
"""

import collections
import enum

from sycamoreshed.kernel import kernel

__all__ = ["Phase", "StopDeadline"]

# Latest durations of a route that are remembered, of which the longest counts.
MAX_DURATIONS = 32
# With this many routes and phases the oldest one is forgotten: operators may
# configure thousands of routes.
MAX_SERIES = 4096


class Phase(enum.Enum):
    """What a duration covers, up to the end of the response."""

    REQUEST = "from the arrival of a request"
    ATTEMPTS = "from the first attempt, after the stages"


class StopDeadline:
    """When this instance ends, and how long requests last.

    Examples
    --------
    >>> deadline = StopDeadline()
    >>> deadline.record("r", Phase.REQUEST, 2.0)
    >>> deadline.allows("r", Phase.REQUEST, 10.0)
    True
    >>> deadline.set(13.0)
    >>> deadline.allows("r", Phase.REQUEST, 10.0)
    True
    >>> deadline.allows("r", Phase.REQUEST, 11.5)
    False
    """

    def __init__(self):
        self._ends_at = None
        self._durations = {}

    def set(self, ends_at):
        """Set the monotonic time by which responses have to be complete."""
        self._ends_at = ends_at

    def record(self, route, phase, seconds):
        """Record how long a request of a route took.

        Parameters
        ----------
        route : str
            Name of the route.
        phase : Phase
        seconds : float
        """
        series = self._durations.get((route, phase))
        if series is None:
            while len(self._durations) >= MAX_SERIES:
                del self._durations[next(iter(self._durations))]
            series = collections.deque(maxlen=MAX_DURATIONS)
            self._durations[route, phase] = series
        series.append(seconds)

    def allows(self, route, phase, now):
        """Return whether a request that begins a phase now will likely end.

        True if nothing is known of its route.
        """
        if self._ends_at is None:
            return True
        durations = self._durations.get((route, phase), ())
        return now + max(durations, default=0.0) <= self._ends_at


@kernel.plugin("stop_deadline")
async def stop_deadline(_core):
    """Provide the `StopDeadline`."""
    yield StopDeadline()
