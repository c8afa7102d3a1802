"""Budget for the retries that this instance may send."""

import collections
import math

from sycamoreshed.kernel import kernel

__all__ = ["RetryBudget", "SlidingWindow"]


class SlidingWindow:
    """Counts events in a sliding time window that is divided into slots.

    Parameters
    ----------
    span_s : float

    Examples
    --------
    >>> window = SlidingWindow(span_s=10)
    >>> window.add(0.0)
    >>> window.count(9.0), window.count(12.0)
    (1, 0)
    """

    SLOTS = 20

    def __init__(self, *, span_s):
        self._slot_s = span_s / self.SLOTS
        self._counts = collections.deque()
        self._total = 0

    def add(self, now, count=1):
        """Count events at `now`."""
        slot = math.floor(now / self._slot_s)
        if self._counts and self._counts[-1][0] == slot:
            self._counts[-1][1] += count
        else:
            self._counts.append([slot, count])
        self._total += count

    def count(self, now):
        """Return the events of the last `span_s` seconds, or a slot more."""
        oldest = math.floor(now / self._slot_s) - self.SLOTS
        while self._counts and self._counts[0][0] < oldest:
            self._total -= self._counts.popleft()[1]
        return self._total


class RetryBudget:
    """Share of one instance in a retry budget common to all instances.

    Instances do not coordinate.  Each may use the ratio of its own requests
    plus its share of the fixed part, so that all together stay within the
    budget even while network partitions separate them.

    Parameters
    ----------
    ratio : float
        Retries per request to a service in a window.
    slack : float
        Fixed part: additional retries per window, of all instances
        together.
    window_s : float
    """

    # The remainder covers what this instance does not observe: retries that
    # arrive later than they were counted, and instances that started within
    # the window and are not registered yet.
    USABLE_SHARE = 0.75

    def __init__(self, *, ratio, slack, window_s):
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests = {}
        self._retries = {}

    def set_limits(self, ratio, slack):
        """Change the limits; retries that were counted stay counted."""
        self._ratio = ratio
        self._slack = slack

    def record_requests(self, service, now, count=1):
        """Count requests to a service, without their retries."""
        self._window(self._requests, service).add(now, count)

    def remaining(self, service, now, instances):
        """Return how many retries may be sent to a service.

        Parameters
        ----------
        service : str
        now : float
        instances : int
            Number of instances that share the fixed part.
        """
        requests = self._window(self._requests, service).count(now)
        retries = self._window(self._retries, service).count(now)
        allowed = self._ratio * requests + self._slack / max(1, instances)
        return self.USABLE_SHARE * allowed - retries

    def try_spend(self, service, now, instances, count=1):
        """Count retries to a service; return False if too few remain."""
        if self.remaining(service, now, instances) < count:
            return False
        self._window(self._retries, service).add(now, count)
        return True

    def _window(self, windows, service):
        if service not in windows:
            windows[service] = SlidingWindow(span_s=self._window_s)
        return windows[service]


@kernel.plugin("budget")
async def budget(core):
    """Provide this instance's `RetryBudget`."""
    settings = core.settings
    yield RetryBudget(
        ratio=settings.retry_ratio,
        slack=settings.retry_slack,
        window_s=settings.retry_window_s,
    )
