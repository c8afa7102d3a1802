"""What is usual in a service, and how far its engines are from it."""

import math
import typing

__all__ = ["Level", "Table", "bounded", "clipped", "of_levels"]

# Fewer samples, older ones counting less, say nothing of an engine that is not
# known yet.
MIN_WEIGHT = 8.0
# Samples that keep a known engine: a slow one gets few requests, and would get
# many at once if it were forgotten.
KEPT_WEIGHT = 0.5
# A mean of as many samples counts half.
PRIOR_WEIGHT = 2.0
# Slowness outside of this range counts as its end.
MIN_SLOWNESS = 0.25
MAX_SLOWNESS = 8.0
# Slowness this close to 1 counts as 1, so that equal engines stay equal.
TOLERANCE = 0.1


class Level(typing.NamedTuple):
    """Logarithm of an engine's seconds without load, and its weight."""

    log_s: float = 0.0
    weight: float = 0.0


class Table(typing.NamedTuple):
    """What is known of a service at a time.

    Parameters
    ----------
    at : float
    slope : float
        Growth of the logarithm of times when the load doubles.
    usual : float or None
        Logarithm of the usual seconds without load.
    levels : dict of str to Level
        By boot, of engines with enough samples.
    slowness : dict of str to float
        Of the same engines.
    """

    at: float = -math.inf
    slope: float = 0.0
    usual: float | None = None
    levels: typing.Any = {}
    slowness: typing.Any = {}


def of_levels(levels, slope, now, *, known=()):
    """Return the `Table` of a service.

    Parameters
    ----------
    levels : dict of str to Level
    slope, now : float
    known : collection of str
        Boots of the engines in the table before.

    Examples
    --------
    >>> known = {"e1@7": Level(-3.0, 30.0), "e2@7": Level(-4.0, 30.0)}
    >>> table = of_levels({**known, "e3@7": Level(-9.0, 1.0)}, 0.0, 5.0)
    >>> {boot: round(each, 2) for boot, each in table.slowness.items()}
    {'e1@7': 1.6, 'e2@7': 0.63}
    """
    levels = {
        boot: level
        for boot, level in levels.items()
        if level.weight >= (KEPT_WEIGHT if boot in known else MIN_WEIGHT)
    }
    if not levels:
        return Table(at=now, slope=slope)
    shares = {
        boot: level.weight / (level.weight + PRIOR_WEIGHT)
        for boot, level in levels.items()
    }
    weighted = sum(shares[boot] * each.log_s for boot, each in levels.items())
    usual = weighted / sum(shares.values())
    slowness = {
        boot: bounded(math.exp(shares[boot] * (level.log_s - usual)))
        for boot, level in levels.items()
    }
    return Table(now, slope, usual, levels, slowness)


def clipped(value, low, high):
    """Return a value, or the end of a range that it is outside of."""
    return min(high, max(low, value))


def bounded(slowness):
    """Return a slowness within its range, 1 if it is close to that."""
    if abs(slowness - 1.0) <= TOLERANCE:
        return 1.0
    return clipped(slowness, MIN_SLOWNESS, MAX_SLOWNESS)
