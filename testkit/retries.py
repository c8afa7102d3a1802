"""A retry budget that is not recorded, for tests."""

from sycamoreshed.retries import budget

__all__ = ["Spending"]


class Spending:
    """Stands in for `RetrySpending` of an only instance.

    Parameters
    ----------
    ratio, slack : float
    clock : callable, optional
        Without one no time passes.

    Attributes
    ----------
    spent : list of str
        Services in the order of the retries.
    """

    def __init__(self, *, ratio=0.0, slack, clock=None):
        self._budget = budget.RetryBudget(
            ratio=ratio, slack=slack, window_s=10.0
        )
        self._clock = clock or (lambda: 0.0)
        self.spent = []

    def record_requests(self, service):
        """Count a request to a service."""
        self._budget.record_requests(service, self._clock())

    def remaining(self, service):
        """Return the retries that are left for a service."""
        return self._budget.remaining(service, self._clock(), 1.0)

    async def try_spend(self, service):
        """Spend a retry; return why it must not be sent, or None."""
        if self.remaining(service) < 1:
            return "budget spent"
        self._budget.spend(service, self._clock())
        self.spent.append(service)
        return None

    def refund(self, service):
        """Give back a retry that was not sent."""
        self._budget.refund(service)
        self.spent.remove(service)
