"""Means of samples that count less with age, own ones and those of others."""

import math
import sys
import typing

__all__ = ["Mean", "Pool", "Trend", "Typical", "combined", "read_report"]

# Spells of an engine last a second; several of them have to be in a mean.
HALF_LIFE_S = 10.0
# How times depend on load differs little between engines and hours.
TREND_HALF_LIFE_S = 120.0
# Added to the variance of loads, so that a few samples show no dependence.
MIN_VARIANCE = 8.0
# Samples of a typical value before it is used, the least weight of the newest
# one, and how far a sample counts as from it.
MIN_TYPICAL = 8
NEWEST_SHARE = 0.02
MAX_CHANGE = 0.5
# What another instance told counts for this long.
REPORT_TTL_S = 60.0
MAX_SOURCES = 1024
MAX_ENTRIES = 1024
# Values are logarithms of seconds, from some microseconds to some minutes.
MIN_VALUE = -12.0
MAX_VALUE = 6.0
MAX_WEIGHT = 10_000.0


class Mean:
    """Mean logarithm of times, and of the loads at which they were taken.

    Examples
    --------
    >>> mean = Mean()
    >>> mean.add(-3.0, 1.0, 0.0)
    >>> mean.add(-2.0, 2.0, 0.0)
    >>> mean.log_s, mean.load, mean.weight(0.0), mean.weight(HALF_LIFE_S)
    (-2.5, 1.5, 2.0, 1.0)
    """

    def __init__(self):
        self.log_s = 0.0
        self.load = 0.0
        self._weight = 0.0
        self._at = -math.inf

    def weight(self, now):
        """Return how many samples it is from, older ones counting less."""
        return self._weight * _decay(now - self._at, HALF_LIFE_S)

    def add(self, log_s, load, now):
        """Add a sample."""
        self._weight = self.weight(now) + 1.0
        self._at = now
        self.log_s += (log_s - self.log_s) / self._weight
        self.load += (load - self.load) / self._weight


class Trend:
    """How much the logarithm of times grows with load, at one engine.

    Samples are deviations from the means of their engine, so that engines
    with much load do not look slow for that.
    """

    def __init__(self):
        self._covariance = 0.0
        self._variance = 0.0
        self._at = -math.inf

    def add(self, log_s, load, now):
        """Add the deviations of a sample from its engine's means."""
        kept = _decay(now - self._at, TREND_HALF_LIFE_S)
        self._covariance = kept * self._covariance + log_s * load
        self._variance = kept * self._variance + load * load
        self._at = now

    def slope(self):
        """Return the growth for a unit of load, and its weight."""
        weight = self._variance + MIN_VARIANCE
        return self._covariance / weight, self._variance


class Typical:
    """Typical logarithm, which single samples move by little.

    Examples
    --------
    >>> typical = Typical()
    >>> for value in [-1.0] * 20 + [3.0]:
    ...     typical.add(value)
    >>> round(typical.value, 3)
    -0.976
    """

    def __init__(self):
        self._count = 0
        self._value = 0.0

    @property
    def value(self):
        """The typical value, or None before enough samples."""
        return None if self._count < MIN_TYPICAL else self._value

    def add(self, value):
        """Add a sample."""
        change = value - self._value
        if self._count >= MIN_TYPICAL:
            change = min(MAX_CHANGE, max(-MAX_CHANGE, change))
        self._count += 1
        self._value += change * max(NEWEST_SHARE, 1 / self._count)


class _Report(typing.NamedTuple):
    entries: dict
    at: float


class Pool:
    """Weighted sums of what other instances told.

    Examples
    --------
    >>> pool = Pool()
    >>> pool.record("edge-2", {"e1@7": (-3.0, 2.0)}, 0.0)
    >>> pool.record("edge-3", {"e1@7": (-2.0, 2.0)}, 1.0)
    >>> pool.total("e1@7")
    (4.0, -10.0)
    >>> pool.expire(60.5)
    >>> pool.total("e1@7")
    (2.0, -4.0)
    """

    def __init__(self):
        self._reports = {}
        # By key: weight, weighted sum of values and number of reports.
        self._totals = {}

    def __contains__(self, key):
        return key in self._totals

    def __iter__(self):
        return iter(self._totals)

    def total(self, key):
        """Return the weight and the weighted sum of the values of a key."""
        return self._totals.get(key, (0.0, 0.0, 0))[:2]

    def record(self, source, entries, at):
        """Replace what a source has told, unless that is newer.

        Parameters
        ----------
        source : str
        entries : dict of str to (float, float)
            As `read_report` returns it.
        at : float
        """
        known = self._reports.get(source)
        if known is not None and at < known.at:
            return
        self._remove(source)
        if len(self._reports) >= MAX_SOURCES:
            self._remove(next(iter(self._reports)))
        self._reports[source] = _Report(entries, at)
        for key, (value, weight) in entries.items():
            self._add(key, weight, weight * value, 1)

    def expire(self, now):
        """Forget what was told too long ago."""
        expired = [
            source
            for source, report in self._reports.items()
            if now - report.at >= REPORT_TTL_S
        ]
        for source in expired:
            self._remove(source)

    def _remove(self, source):
        report = self._reports.pop(source, None)
        if report is not None:
            for key, (value, weight) in report.entries.items():
                self._add(key, -weight, -weight * value, -1)

    def _add(self, key, weight, weighted, count):
        known = self._totals.get(key, (0.0, 0.0, 0))
        if known[2] + count:
            self._totals[key] = (
                known[0] + weight,
                known[1] + weighted,
                known[2] + count,
            )
        else:
            del self._totals[key]


def read_report(raw):
    """Return the entries of another instance's report that can be used.

    Parameters
    ----------
    raw : object
        As received.

    Returns
    -------
    entries : dict of str to (float, float)
        Values and weights.
    bad_count : int
        Number of entries that are ignored.

    Examples
    --------
    >>> read_report({"e1@7": [-3.5, 2.0], "e2@7": [float("nan"), 1.0]})
    ({'e1@7': (-3.5, 2.0)}, 1)
    """
    if not isinstance(raw, dict) or len(raw) > MAX_ENTRIES:
        return {}, 1
    entries = {}
    for key, entry in raw.items():
        if isinstance(key, str) and _is_usable(entry):
            # Many instances tell of the same engines.
            entries[sys.intern(key)] = (float(entry[0]), float(entry[1]))
    return entries, len(raw) - len(entries)


def combined(reports):
    """Return what several instances told as one report, to be passed on.

    Parameters
    ----------
    reports : iterable of dict of str to (float, float)
        As `read_report` returned them.

    Examples
    --------
    >>> combined([{"e1@7": (-3.0, 1.0)}, {"e1@7": (-2.0, 3.0)}])
    {'e1@7': (-2.25, 4.0)}
    """
    pool = Pool()
    for number, entries in enumerate(reports):
        pool.record(number, entries, 0.0)
    result = {}
    for key in pool:
        weight, weighted = pool.total(key)
        result[key] = (
            round(weighted / weight, 3),
            round(min(weight, MAX_WEIGHT), 2),
        )
    return result


def _is_usable(entry):
    if not isinstance(entry, list | tuple) or len(entry) != 2:
        return False
    if not all(type(each) in {int, float} for each in entry):
        return False
    value, weight = entry
    # False for NaN as well.
    return MIN_VALUE <= value <= MAX_VALUE and 0 < weight <= MAX_WEIGHT


def _decay(age_s, half_life_s):
    return 0.5 ** (max(0.0, age_s) / half_life_s)
