"""Estimates of durations from measurements."""

__all__ = ["Estimate"]

RISE_WEIGHT = 0.1
FALL_WEIGHT = 0.3
DEVIATION_WEIGHT = 0.1
STALE_AFTER_S = 2.0
HALF_LIFE_S = 2.0


class Estimate:
    """Moving mean and mean deviation of a duration; old ones decay.

    Notes
    -----
    Requests are rejected by this estimate.  If one that was measured under
    overload persisted, all requests would be rejected, so that nothing
    would be measured again and the rejections would never end.  Therefore
    it follows falling values faster than rising ones, and an old one
    decays with `HALF_LIFE_S`.

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
        """Add a measured duration."""
        self._at = now
        self.count += 1
        if self._mean is None:
            self._mean = seconds
            self._deviation = seconds / 4
            return
        error = seconds - self._mean
        self._mean += (RISE_WEIGHT if error > 0 else FALL_WEIGHT) * error
        self._deviation += DEVIATION_WEIGHT * (abs(error) - self._deviation)

    def mean(self, now, *, decayed=True):
        """Return the mean in seconds, or None without a measurement."""
        if self._mean is None or not decayed:
            return self._mean
        return self._mean * self.weight(now)

    def lower_bound(self, now):
        """Return a bound that few durations are below, or zero."""
        if self._mean is None:
            return 0.0
        return max(0.0, self._mean - self._deviation) * self.weight(now)

    def upper_bound(self, now):
        """Return a bound that few durations exceed, or zero."""
        if self._mean is None:
            return 0.0
        return (self._mean + 2 * self._deviation) * self.weight(now)

    def outlier_threshold(self):
        """Return a bound that hardly any duration exceeds, without decay."""
        return self._mean + max(self._mean, 4 * self._deviation)

    def weight(self, now):
        """Return the factor by which age reduces the estimate, at most one."""
        age_s = now - self._at - STALE_AFTER_S
        if age_s <= 0:
            return 1.0
        return 0.5 ** (age_s / HALF_LIFE_S)
