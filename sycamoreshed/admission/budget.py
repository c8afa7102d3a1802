"""Budget for retries and hedges, as a share of the traffic."""

__all__ = ["RetryBudget"]


class RetryBudget:
    """Token bucket that limits retries to a share of first attempts.

    Without it the retries for a failing stage multiply its traffic by two
    or three, which keeps it failing after the cause is gone.

    Parameters
    ----------
    share : float
        Retries allowed per first attempt.
    reserve : float
        Size of the bucket, which is full at the start: retries that are
        allowed when there is little traffic.

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
        self._max_tokens = reserve
        self._tokens = reserve

    @property
    def tokens(self):
        """Number of retries allowed now."""
        return self._tokens

    def record_first_attempt(self):
        """Add the share that a first attempt allows."""
        self._tokens = min(self._max_tokens, self._tokens + self._share)

    def try_spend(self):
        """Take a token for one retry; return whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
