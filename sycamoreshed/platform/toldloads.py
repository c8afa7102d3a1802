"""Wire format of the load that endpoints tell in their answers."""

import typing

from sycamoreshed.platform import names

__all__ = ["ToldLoad", "tells_load", "told_load"]

# Larger figures are no counts of requests of one endpoint.
MAX_COUNT = 1_000_000
# The slowdown is told in percent; figures beyond are taken for errors.
MIN_SLOWDOWN_PERCENT = 10
MAX_SLOWDOWN_PERCENT = 10_000
MAX_DIGITS = 8


class ToldLoad(typing.NamedTuple):
    """The load of an endpoint, as it told in an answer.

    Parameters
    ----------
    running, waiting, slots : int
        Requests that run and wait there, and how many run at a time.
    slowdown : float
        How many times longer than usual work takes at the moment.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


def tells_load(headers):
    """Return whether an answer tells a load, readable or not."""
    return names.LOAD in headers


def told_load(headers):
    """Return the `ToldLoad` in an answer, or None.

    Examples
    --------
    >>> told_load({"X-Sycamoreshed-Instance-Load": "3,1,8"})
    ToldLoad(running=3, waiting=1, slots=8, slowdown=1.0)
    >>> told_load({"X-Sycamoreshed-Instance-Load": "3, 1, 8, 250"}).slowdown
    2.5
    >>> told_load({"X-Sycamoreshed-Instance-Load": "3,-1,8"}) is None
    True
    >>> told_load({}) is None
    True
    """
    figures = [_parse(each) for each in headers.get(names.LOAD, "").split(",")]
    if len(figures) not in {3, 4} or None in figures:
        return None
    running, waiting, slots, *rest = figures
    if max(running, waiting, slots) > MAX_COUNT or not slots:
        return None
    percent = rest[0] if rest else 100
    if not MIN_SLOWDOWN_PERCENT <= percent <= MAX_SLOWDOWN_PERCENT:
        return None
    return ToldLoad(running, waiting, slots, percent / 100)


def _parse(text):
    """Return a whole number that is not negative, or None."""
    text = text.strip()
    if len(text) > MAX_DIGITS or not (text.isascii() and text.isdecimal()):
        return None
    return int(text)
