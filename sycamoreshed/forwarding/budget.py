"""How often this instance may send requests once more."""

import collections
import math

from sycamoreshed.kernel import kernel

__all__ = ["RetryBudget", "Window"]


class Window:
    """Counts events in the last few seconds, in slots.

    Parameters
    ----------
    span_s : float

    Examples
    --------
    >>> window = Window(span_s=10)
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
        """Return the events of the last span."""
        oldest = math.floor(now / self._slot_s) - self.SLOTS
        while self._counts and self._counts[0][0] < oldest:
            self._total -= self._counts.popleft()[1]
        return self._total


class RetryBudget:
    """Share of this instance in a budget that all instances share.

    Instances do not ask each other: each takes the ratio of its own
    requests, and its share of the fixed part.  Together they then stay
    within the whole, however they are cut off from each other.

    Parameters
    ----------
    ratio : float
        Repeats for each request to a service, in a window.
    slack : float
        Repeats a window allows beyond that, to all instances together.
    window_s : float
    """

    # Some of it is left for what this instance does not see: repeats that
    # arrive later than they were counted, and instances that started
    # within the window and are not registered yet.
    KEPT_SHARE = 0.75

    def __init__(self, *, ratio, slack, window_s):
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._firsts = {}
        self._repeats = {}

    def set_limits(self, ratio, slack):
        """Take over other limits; what was spent stays counted."""
        self._ratio = ratio
        self._slack = slack

    def record_requests(self, service, now, count=1):
        """Count requests to a service."""
        self._window(self._firsts, service).add(now, count)

    def left(self, service, now, instances):
        """Return the repeats that may be sent to a service now.

        Parameters
        ----------
        service : str
        now : float
        instances : int
            How many share the fixed part.
        """
        firsts = self._window(self._firsts, service).count(now)
        repeats = self._window(self._repeats, service).count(now)
        allowed = self._ratio * firsts + self._slack / max(1, instances)
        return self.KEPT_SHARE * allowed - repeats

    def try_spend(self, service, now, instances, count=1):
        """Take repeats to a service; return whether there were enough."""
        if self.left(service, now, instances) < count:
            return False
        self._window(self._repeats, service).add(now, count)
        return True

    def _window(self, windows, service):
        if service not in windows:
            windows[service] = Window(span_s=self._window_s)
        return windows[service]


@kernel.plugin("budget")
async def budget(core):
    """Provide this instance's share of the budget of repeats."""
    settings = core.settings
    yield RetryBudget(
        ratio=settings.retry_ratio,
        slack=settings.retry_slack,
        window_s=settings.retry_window_s,
    )
