"""Tells who comes back from who comes new."""

__all__ = ["DeadlineHistory"]

# Least share of a route's longest deadline on a first attempt; a shorter one
# is taken for a retry.
NEW_SHARE = 0.85
# Routes that are remembered; operators may configure thousands.
MOST_ROUTES = 2000


class DeadlineHistory:
    """The time callers of each route give at the most.

    Callers of a route give all their requests about the same time.  One
    that was refused and comes back has less left, and its answer is due
    as much earlier.  Taken for a new one, it would be served late in
    place of another that could have been in time.

    Examples
    --------
    >>> history = DeadlineHistory()
    >>> history.observe("r", 6.0), history.observe("r", 5.5)
    (0.0, 0.0)
    >>> round(history.observe("r", 4.5), 3)
    0.6
    """

    def __init__(self):
        self._most = {}

    def observe(self, route, deadline_s):
        """Return how long a caller has waited, at the least, before."""
        most = self._most.get(route, 0.0)
        if deadline_s >= most:
            if len(self._most) >= MOST_ROUTES:
                self._most.clear()
            self._most[route] = deadline_s
            return 0.0
        return max(0.0, NEW_SHARE * most - deadline_s)
