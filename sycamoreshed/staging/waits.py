"""How much longer jobs wait than the work ahead of them tells."""

__all__ = ["WaitFactor"]

FIRST_FACTOR = 1.0
# So many of the jobs should wait no longer than expected.  With nine in ten, a
# load beyond what a zone can do had more refused and no more in time.
QUANTILE = 0.6
# How far a job moves the factor: some ten jobs, a second or two of a zone
# under load, tell.
STEP = 0.1
# The bounds keep a zone that was slow for a while from refusing everybody
# afterwards, and a quiet one from taking on what it cannot do.
LEAST_FACTOR = 0.7
MOST_FACTOR = 4.0
# Shorter waits tell nothing of the work ahead.
LEAST_EXPECTED_S = 0.1


class WaitFactor:
    """A factor on the work ahead that follows the waits that are seen.

    Notes
    -----
    Calls go out part full, room frees in pieces that a request's results do
    not fit into, and later jobs overtake.  Taken on as if none of that were,
    one in seven of a zone's jobs ended late under load, in which time others
    could have been in time; with it one in fourteen (played by a test).

    Attributes
    ----------
    factor : float

    Examples
    --------
    >>> waits = WaitFactor()
    >>> for _ in range(40):
    ...     waits.observe(expected_s=0.4, took_s=0.8)
    >>> 1.9 < waits.factor < 2.1
    True
    """

    def __init__(self):
        self.factor = FIRST_FACTOR

    def observe(self, expected_s, took_s):
        """Take in how long a job waited.

        Parameters
        ----------
        expected_s : float
            Seconds of work that were ahead of it.
        took_s : float
            Seconds that it waited.
        """
        if expected_s < LEAST_EXPECTED_S:
            return
        if took_s > self.factor * expected_s:
            self.factor += STEP * QUANTILE
        else:
            self.factor -= STEP * (1 - QUANTILE)
        self.factor = min(MOST_FACTOR, max(LEAST_FACTOR, self.factor))
