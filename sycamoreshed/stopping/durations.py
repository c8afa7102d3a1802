"""How long requests last, by those that ended and those that still run."""

import collections
import math
import typing

__all__ = ["Durations", "Sample", "Span", "Series", "quantile"]

# Share of what may last longer than is estimated, if enough is known: a
# rejection costs its caller one more try, whereas what is cut off may be lost.
MAX_RISK = 0.05
# Latest samples of a series that are kept: of those that ended, and of those
# that were given up.
MAX_SAMPLES = 64
# Of this many series the one that was used longest ago is forgotten:
# operators may configure thousands of routes.
MAX_SERIES = 4096
# If nothing has ended, what runs longest counts as this many times its age.
AGE_FACTOR = 2.0


class Sample(typing.NamedTuple):
    """How long something lasted.

    Parameters
    ----------
    value : float
        Seconds, or seconds for each token.
    has_ended : bool
        Whether it lasted for so long, rather than longer.
    """

    value: float
    has_ended: bool = True


def quantile(samples, risk):
    """Return what lasts longer with a probability of `risk` at most.

    Parameters
    ----------
    samples : iterable of Sample
        At least one.
    risk : float

    Notes
    -----
    This is the product-limit estimate of the survival function.  It does not
    take what was given up, or still runs, for as short as it is so far.  Where
    too much of it has not ended, the estimate is extrapolated from its age: by
    less, the nearer the share that lasts longer is to the risk.

    References
    ----------
    .. [1] Kaplan, E. L. and Meier, P. (1958). Nonparametric estimation from
       incomplete observations. Journal of the American Statistical
       Association 53, 457-481.

    Examples
    --------
    >>> quantile([Sample(1.0), Sample(2.0), Sample(3.0), Sample(9.0)], 0.25)
    3.0
    >>> quantile([Sample(1.0), Sample(1.0), Sample(4.0, False)], 0.25)
    4.83...
    """
    # Of equal values, those that ended come first.
    ordered = sorted(
        samples, key=lambda each: (each.value, not each.has_ended)
    )
    survival = 1.0
    longest = 0.0
    for remaining, each in zip(
        range(len(ordered), 0, -1), ordered, strict=True
    ):
        if each.has_ended:
            survival *= 1.0 - 1.0 / remaining
            longest = each.value
            if survival <= risk:
                return longest
    share = 1.0
    if risk > 0.0:
        share = math.log(survival / risk) / math.log(1.0 / risk)
    return (1.0 + share * (AGE_FACTOR - 1.0)) * ordered[-1].value


class Span:
    """A duration that is being measured.

    Parameters
    ----------
    series : Series
    started_at : float
    units : float
        What the duration is divided by.
    """

    def __init__(self, *, series, started_at, units=1.0):
        self._series = series
        self._units = units
        self.started_at = started_at
        series.running.add(self)

    def sample(self, now, *, has_ended=False):
        """Return the `Sample` of the duration until now."""
        seconds = max(0.0, now - self.started_at)
        return Sample(seconds / self._units, has_ended)

    def end(self, now, *, has_ended=True):
        """Record the duration, which may have been cut short.

        Does nothing if it was recorded.
        """
        if self in self._series.running:
            self._series.running.discard(self)
            self._series.add(self.sample(now, has_ended=has_ended))


class Series:
    """Durations of one kind.

    Attributes
    ----------
    ended, given_up : deque of Sample
        The latest ones.
    running : set of Span
    """

    def __init__(self):
        self.ended = collections.deque(maxlen=MAX_SAMPLES)
        self.given_up = collections.deque(maxlen=MAX_SAMPLES)
        self.running = set()

    def add(self, sample):
        """Add the latest sample."""
        (self.ended if sample.has_ended else self.given_up).append(sample)

    def begin(self, now, *, units=1.0):
        """Begin a `Span`, whose seconds count for each of some units."""
        return Span(series=self, started_at=now, units=units)

    def all_samples(self, now):
        """Return the latest samples, and those of what still runs."""
        running = [each.sample(now) for each in self.running]
        return [*self.ended, *self.given_up, *running]


class Durations:
    """The `Series` by their keys."""

    def __init__(self):
        self._series = {}

    def __len__(self):
        return len(self._series)

    def items(self):
        """Return all keys and their series."""
        return self._series.items()

    def series(self, key):
        """Return a series, which is empty if it is new."""
        found = self._series.pop(key, None)
        if found is None:
            while len(self._series) >= MAX_SERIES:
                del self._series[next(iter(self._series))]
            found = Series()
        self._series[key] = found
        return found

    def samples(self, key, now):
        """Return the samples of a series, none if it is unknown."""
        found = self._series.get(key)
        return [] if found is None else found.all_samples(now)

    def count_ended(self, key):
        """Return how many samples of a series have ended."""
        found = self._series.get(key)
        return 0 if found is None else len(found.ended)

    def count_others(self, key):
        """Return how many samples of a series have not ended."""
        found = self._series.get(key)
        return 0 if found is None else len(found.given_up) + len(found.running)
