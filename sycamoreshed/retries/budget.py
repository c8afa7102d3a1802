"""The repeats that one instance may send."""

import typing

from sycamoreshed.retries import windows

__all__ = ["NOTHING", "Counts", "RetryBudget"]


class Counts(typing.NamedTuple):
    """Requests and retries to a service."""

    requests: int
    retries: int


NOTHING = Counts(0, 0)


class RetryBudget:
    """Share of one instance in a retry budget common to all instances.

    Each instance may use the ratio of its own requests plus its share of the
    fixed part, so that all together stay within the budget even while network
    partitions separate them.

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
    # arrive later than they were counted, and those of an earlier process
    # that are not recorded; see `spending.UNRECORDED_SHARE`.
    USABLE_SHARE = 0.75

    def __init__(self, *, ratio, slack, window_s):
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests = {}
        self._retries = {}

    @property
    def window_s(self):
        """Length of the window in seconds."""
        return self._window_s

    def set_limits(self, ratio, slack):
        """Change the limits; retries that were counted stay counted."""
        self._ratio = ratio
        self._slack = slack

    def record_requests(self, service, now, count=1):
        """Count requests to a service, without their retries."""
        self._window(self._requests, service).add(now, count)

    def allowed(self, service, now, slack_share, *, earlier=NOTHING):
        """Return how many retries a window allows, spent ones included.

        Parameters
        ----------
        service : str
        now : float
        slack_share : float
            Share of this instance in the fixed part.
        earlier : Counts
            Of processes of this instance before this one, in the window.
        """
        requests = self._window(self._requests, service).count(now)
        return (
            self._ratio * (requests + earlier.requests)
            + self._slack * slack_share
        )

    def remaining(self, service, now, slack_share, *, earlier=NOTHING):
        """Return how many retries may be sent to a service.

        Parameters
        ----------
        service : str
        now : float
        slack_share : float
            Share of this instance in the fixed part.
        earlier : Counts
            Of processes of this instance before this one, in the window.
        """
        allowed = self.allowed(service, now, slack_share, earlier=earlier)
        spent = self.spent(service, now) + earlier.retries
        return self.USABLE_SHARE * allowed - spent

    def spent(self, service, now):
        """Return how many retries were sent to a service in the window."""
        return self._window(self._retries, service).count(now)

    def spend(self, service, now, count=1):
        """Count retries to a service."""
        self._window(self._retries, service).add(now, count)

    def refund(self, service, count=1):
        """Discount retries that were counted last, and not sent."""
        self._window(self._retries, service).take_back(count)

    def retries(self, now):
        """Return the times and counts of retries in the window, by service."""
        return _events(self._retries, now)

    def requests(self, now):
        """Return the same of requests."""
        return _events(self._requests, now)

    def _window(self, all_windows, service):
        if service not in all_windows:
            all_windows[service] = windows.SlidingWindow(span_s=self._window_s)
        return all_windows[service]


def _events(by_service, now):
    return {
        service: events
        for service, window in by_service.items()
        if (events := window.events(now))
    }
