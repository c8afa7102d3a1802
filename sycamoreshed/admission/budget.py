"""A budget for retries and hedges, as a share of the traffic."""

__all__ = ["RetryBudget"]


class RetryBudget:
    """Lets through retries up to a share of first attempts.

    Without it a stage that fails makes every caller send two or three
    times the traffic, which keeps it failing after the cause has gone.

    Parameters
    ----------
    share : float
        Retries for each first attempt.
    reserve : float
        Retries allowed when there is little traffic.

    Examples
    --------
    >>> budget = RetryBudget(share=0.5, reserve=1)
    >>> budget.try_spend(), budget.try_spend()
    (True, False)
    >>> budget.record_first_attempt()
    >>> budget.record_first_attempt()
    >>> budget.try_spend()
    True
    """

    def __init__(self, *, share=0.1, reserve=10.0):
        self._share = share
        self._most = reserve
        self._tokens = reserve

    @property
    def tokens(self):
        """Retries that may be sent now."""
        return self._tokens

    def record_first_attempt(self):
        """Count a first attempt."""
        self._tokens = min(self._most, self._tokens + self._share)

    def try_spend(self):
        """Take one retry; return whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
