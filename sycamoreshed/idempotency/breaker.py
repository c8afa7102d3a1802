"""Circuit breaker for calls of the store."""

__all__ = ["Breaker"]

FAILURE_THRESHOLD = 3


class Breaker:
    """Opens after consecutive failures, and closes with the first success.

    Parameters
    ----------
    failure_threshold : int
        Consecutive failures that open it.

    Notes
    -----
    Without it each request during an outage would wait for a timeout
    before it fails as "not run".  Meanwhile it would hold a slot that
    requests without a record, such as reads and generation, need.

    Examples
    --------
    >>> breaker = Breaker(failure_threshold=2)
    >>> for ok in (False, True, False, False):
    ...     breaker.report(ok=ok)
    >>> breaker.is_open
    True
    >>> breaker.report(ok=True)
    >>> breaker.is_open
    False
    """

    def __init__(self, *, failure_threshold=FAILURE_THRESHOLD):
        self._failure_threshold = failure_threshold
        self._consecutive_failures = 0

    @property
    def failure_threshold(self):
        """Consecutive failures that open it."""
        return self._failure_threshold

    @property
    def is_open(self):
        """Whether calls are to be rejected."""
        return self._consecutive_failures >= self._failure_threshold

    def report(self, *, ok):
        """Count the success or failure of a call."""
        self._consecutive_failures = (
            0 if ok else self._consecutive_failures + 1
        )
