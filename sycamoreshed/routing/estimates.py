"""Estimates of how long something takes, from what was measured."""

__all__ = ["Estimate"]

UP = 0.1
DOWN = 0.3
SPREAD = 0.1
STALE_AFTER_S = 2.0
HALF_LIFE_S = 2.0


class Estimate:
    """Mean and mean deviation of a duration, fading when it gets old.

    Notes
    -----
    Requests are refused by this estimate.  One that was measured in bad
    times would refuse everything, nothing would be measured any more,
    and the refusals would never end; so it follows falling values
    faster, and halves with age.

    Examples
    --------
    >>> estimate = Estimate()
    >>> estimate.mean(0.0) is None
    True
    >>> estimate.add(1.0, 0.0)
    >>> estimate.mean(1.0), estimate.mean(4.0)
    (1.0, 0.5)
    """

    __slots__ = ("_at", "_deviation", "_mean", "count")

    def __init__(self):
        self._mean = None
        self._deviation = 0.0
        self._at = 0.0
        self.count = 0

    def add(self, seconds, now):
        """Take in one measured duration."""
        self._at = now
        self.count += 1
        if self._mean is None:
            self._mean = seconds
            self._deviation = seconds / 4
            return
        error = seconds - self._mean
        self._mean += (UP if error > 0 else DOWN) * error
        self._deviation += SPREAD * (abs(error) - self._deviation)

    def mean(self, now, *, fading=True):
        """Return the mean in seconds, or None if nothing is known."""
        if self._mean is None or not fading:
            return self._mean
        return self._mean * self.weight(now)

    def lower_bound(self, now):
        """Return what few durations are under, or zero."""
        if self._mean is None:
            return 0.0
        return max(0.0, self._mean - self._deviation) * self.weight(now)

    def upper_bound(self, now):
        """Return what few durations are over, or zero."""
        if self._mean is None:
            return 0.0
        return (self._mean + 2 * self._deviation) * self.weight(now)

    def unusual(self):
        """Return what hardly any duration is over; it does not fade."""
        return self._mean + max(self._mean, 4 * self._deviation)

    def weight(self, now):
        """Return how much of the estimate still holds, at most one."""
        old = now - self._at - STALE_AFTER_S
        if old <= 0:
            return 1.0
        return 0.5 ** (old / HALF_LIFE_S)
