"""Concurrency limits of an instance for the requests to one service.

Each instance sees only its share of the traffic.  `Fixed` is the
baseline.  `Adaptive` starts at `HEADROOM` times the instance's share of
the endpoints' slots, and grows while requests finish well within their
deadline, so that an instance with more than its share of the traffic is
not restricted to that share.
"""

from sycamoreshed.kernel import registry

__all__ = ["LIMITERS", "Adaptive", "Fixed"]

LIMITERS = registry.Registry(kind="limiter")
MIN_LIMIT_FACTOR = 0.25
HEADROOM = 2.0
DECREASE_FACTOR = 0.9
# A request that runs longer than this fraction of its pipeline's time limit
# is taken to have queued at the endpoints, which are not fair between teams.
MAX_RUN_FRACTION = 0.4


@LIMITERS.register("fixed")
class Fixed:
    """A constant limit."""

    def __init__(self, *, max_limit):
        self.limit = max_limit

    def resize(self, slots, instances):
        """Do nothing: the limit is constant."""

    def record_run(self, seconds, deadline_s, running, now):
        """Do nothing: the limit is constant."""


@LIMITERS.register("adaptive")
class Adaptive:
    """Additive increase, multiplicative decrease, by run time.

    Parameters
    ----------
    max_limit : int
        Upper bound of the limit.
    """

    def __init__(self, *, max_limit):
        self._max_limit = max_limit
        self._initial_limit = None
        self._slots = 1
        self._decreased_at = float("-inf")
        self.limit = max_limit

    def resize(self, slots, instances):
        """Reset the limit if the instance's share of the slots has changed."""
        initial_limit = max(1.0, slots * HEADROOM / instances)
        if initial_limit != self._initial_limit:
            self._initial_limit = initial_limit
            self._slots = slots
            self.limit = min(self._max_limit, initial_limit)

    def record_run(self, seconds, deadline_s, running, now):
        """Adjust the limit by the duration of a request.

        Parameters
        ----------
        seconds : float
        deadline_s : float
            Time limit of the pipeline.
        running : int
            Requests that were running when it ended, including itself.
        now : float
            Monotonic seconds.
        """
        if seconds > deadline_s * MAX_RUN_FRACTION:
            # Requests that started before the last decrease cause no
            # further one: otherwise those that ran at the same time would
            # together bring the limit down to its minimum at once.
            if now - self._decreased_at >= seconds:
                self._decreased_at = now
                min_limit = max(1.0, self._initial_limit * MIN_LIMIT_FACTOR)
                self.limit = max(min_limit, self.limit * DECREASE_FACTOR)
        elif running >= int(self.limit):
            ceiling = min(self._max_limit, self._slots * HEADROOM)
            self.limit = min(max(1.0, ceiling), self.limit + 1 / self.limit)
