"""The processing time of bodies that consist mostly of framing."""

import math

__all__ = ["Pacer"]

# Cost units that bodies of all connections may use in a second, about the
# bytes of their framing.
UNITS_PER_S = 256 * 1024
# Seconds for which units are saved while nothing costs any.
BURST_S = 8.0


class Pacer:
    """Spreads costly input over time, for all connections together.

    Parameters
    ----------
    units_per_s : int

    Examples
    --------
    >>> pacer = Pacer(units_per_s=100)
    >>> pacer.spend(800, now=10.0), pacer.spend(50, now=10.0)
    (0.0, 0.5)
    >>> pacer.spend(200, now=100.0)
    0.0
    """

    def __init__(self, *, units_per_s=UNITS_PER_S):
        self._units_per_s = units_per_s
        self._free_at = -math.inf

    def spend(self, units, now):
        """Return the seconds for which a connection that cost this waits."""
        begin = max(self._free_at, now - BURST_S)
        self._free_at = begin + units / self._units_per_s
        return max(0.0, self._free_at - now)
