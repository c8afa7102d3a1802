"""How many requests an instance runs at a time before one service.

Each instance sees only its share of the traffic.  `Fixed` is the
baseline.  `Adaptive` starts at the instance's share of the endpoints'
slots and grows while requests still run well within their deadline, so
that an instance that gets more of the traffic is not held to its share.
"""

from sycamoreshed.kernel import registry

__all__ = ["LIMITERS", "Adaptive", "Fixed"]

LIMITERS = registry.Registry(kind="limiter")
LEAST_OF_SHARE = 0.25
HEADROOM = 2.0
CUT = 0.9
# A request that runs longer than this part of its pipeline's deadline
# has queued at the endpoints, where no order between teams holds.
RUN_PART = 0.4


@LIMITERS.register("fixed")
class Fixed:
    """A constant limit."""

    def __init__(self, *, most):
        self.limit = most

    def resize(self, slots, instances):
        """Take in the endpoints' slots and the number of instances."""

    def finished(self, seconds, deadline, running, now):
        """Take in how long a request ran."""


@LIMITERS.register("adaptive")
class Adaptive:
    """Additive increase, multiplicative decrease, on the time run.

    Parameters
    ----------
    most : int
        Upper bound.
    """

    def __init__(self, *, most):
        self._most = most
        self._share = None
        self._slots = 1
        self._cut_at = float("-inf")
        self.limit = most

    def resize(self, slots, instances):
        """Take in the endpoints' slots and the number of instances."""
        share = max(1.0, slots * HEADROOM / instances)
        if share != self._share:
            self._share = share
            self._slots = slots
            self.limit = min(self._most, share)

    def finished(self, seconds, deadline, running, now):
        """Take in how long a request ran.

        Parameters
        ----------
        seconds : float
        deadline : float
            Seconds the pipeline gives in all.
        running : int
            Requests that ran when it ended, itself included.
        now : float
            Monotonic seconds.
        """
        if seconds > deadline * RUN_PART:
            # One cut for all that ran at the same time: without this
            # each of them would cut, down to the least at once.
            if now - self._cut_at >= seconds:
                self._cut_at = now
                least = max(1.0, self._share * LEAST_OF_SHARE)
                self.limit = max(least, self.limit * CUT)
        elif running >= int(self.limit):
            top = min(self._most, self._slots * HEADROOM)
            self.limit = min(max(1.0, top), self.limit + 1 / self.limit)
