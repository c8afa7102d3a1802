"""A limiter of endpoints that have no limit unless a test sets one."""

import math

__all__ = ["Limiter"]


class Limiter:
    """Grants a number of permits for each endpoint.

    Parameters
    ----------
    permits : dict of str to int, optional
        By endpoint id; endpoints that are not named have no limit.

    Attributes
    ----------
    answers : list of (str, float or None)
        Endpoints that answered, and the limits that they named.
    rejections : list of (str, float)
        Endpoints without room, and the rejections that they survive.
    free_after_s : float
        Seconds until an endpoint without permits takes a request.
    """

    def __init__(self, *, permits=None):
        self._permits = permits or {}
        self.answers = []
        self.rejections = []
        self.free_after_s = 60.0

    def record_answer(self, endpoint, rate, *, sent_at):
        """Record what an answer names."""
        self.answers.append((endpoint.id, rate))

    def record_rejection(self, endpoint, tolerated):
        """Record what a rejection names."""
        self.rejections.append((endpoint.id, tolerated))

    def record_run(self, endpoint, seconds, survived):
        """Record nothing: how long a fragile endpoint took."""

    def is_limited(self, endpoint, _now):
        """Return whether the test limits an endpoint."""
        return endpoint.id in self._permits

    def exhausted(self, _now):
        """Return no endpoint, so that each is asked for."""
        return set()

    def wait_s(self, endpoints, _now):
        """Return the seconds until an endpoint takes a request."""
        return min(
            (
                0.0 if self._permits.get(each.id, 1) else self.free_after_s
                for each in endpoints
            ),
            default=math.inf,
        )

    async def acquire(self, endpoint, *, max_wait_s=0.0):
        """Return whether an endpoint takes a request in time."""
        left = self._permits.get(endpoint.id)
        if left is None:
            return True
        if left == 0:
            return self.free_after_s <= max_wait_s
        self._permits[endpoint.id] = left - 1
        return True
