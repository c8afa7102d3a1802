"""How many requests this instance sends to each endpoint."""

__all__ = ["SendCounts"]

# Rates are averages over one to two windows.
WINDOW_S = 1.0


class SendCounts:
    """Counts of requests in the current window and the one before.

    Examples
    --------
    >>> counts = SendCounts()
    >>> for _ in range(6):
    ...     counts.record("e1", 0.5)
    >>> counts.rate("e1", 1.5), counts.rate("e2", 1.5), counts.rate("e1", 9.0)
    (4.0, 0.0, 0.0)
    """

    def __init__(self):
        self._begun_at = 0.0
        self._current = {}
        self._previous = {}

    def record(self, endpoint_id, now):
        """Count a request that is sent to an endpoint."""
        self._advance(now)
        self._current[endpoint_id] = self._current.get(endpoint_id, 0) + 1

    def rate(self, endpoint_id, now):
        """Return the requests per second that an endpoint got lately."""
        self._advance(now)
        count = self._current.get(endpoint_id, 0)
        count += self._previous.get(endpoint_id, 0)
        return count / (WINDOW_S + now - self._begun_at)

    def _advance(self, now):
        elapsed_s = now - self._begun_at
        if elapsed_s < WINDOW_S:
            return
        is_next = elapsed_s < 2 * WINDOW_S
        self._previous = self._current if is_next else {}
        self._current = {}
        self._begun_at += elapsed_s // WINDOW_S * WINDOW_S
