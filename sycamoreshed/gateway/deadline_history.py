"""Tells retries of callers from first attempts by their deadlines."""

__all__ = ["DeadlineHistory"]

# Minimum share of a route's longest deadline on a first attempt; a request
# with a shorter one is taken for a retry.
FIRST_ATTEMPT_SHARE = 0.85
# With this many the history is cleared before the next deadline is stored:
# operators may configure thousands of routes.
MAX_ROUTES = 2000


class DeadlineHistory:
    """Longest deadline, in seconds, that callers of each route have sent.

    Callers of a route give all their requests about the same deadline.
    A retry of a rejected request has less time remaining, and its
    response is due that much earlier.  Treated as a first attempt, it
    would be served late in place of another request that could have been
    in time.

    Examples
    --------
    >>> history = DeadlineHistory()
    >>> history.observe("r", 6.0), history.observe("r", 5.5)
    (0.0, 0.0)
    >>> round(history.observe("r", 4.5), 3)
    0.6
    """

    def __init__(self):
        self._longest_s = {}

    def observe(self, route, deadline_s):
        """Return the minimum time the caller waited before this request.

        Parameters
        ----------
        route : str
            Name of the route.
        deadline_s : float
            Time within which the caller expects the response.
        """
        longest_s = self._longest_s.get(route, 0.0)
        if deadline_s >= longest_s:
            if len(self._longest_s) >= MAX_ROUTES:
                self._longest_s.clear()
            self._longest_s[route] = deadline_s
            return 0.0
        return max(0.0, FIRST_ATTEMPT_SHARE * longest_s - deadline_s)
