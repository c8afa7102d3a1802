"""Counts requests that endpoints received more than once."""

import bisect
import typing

__all__ = ["Budget", "Window", "worst_window"]


class Budget(typing.NamedTuple):
    """Repeated arrivals that a service allows in each window.

    Parameters
    ----------
    ratio : float
        For each request that callers sent.
    slack : float
        In addition.
    window_s : float
    """

    ratio: float
    slack: float
    window_s: float


class Window(typing.NamedTuple):
    """A window that ends with a repeated arrival.

    Parameters
    ----------
    end : float
    repeats, allowed : float
    """

    end: float
    repeats: int
    allowed: float


def worst_window(sent, arrivals, budget):
    """Return the `Window` in which repeats exceed the budget the most.

    Callers' requests are counted in the window, in the one before and in the
    one half a window before; the most of the three counts.

    Parameters
    ----------
    sent : iterable of float
        Times at which callers sent requests, each with an id of its own.
    arrivals : iterable of (float, str)
        Times and ids of requests that endpoints received.
    budget : Budget

    Returns
    -------
    Window or None
        None without repeated arrivals.

    Examples
    --------
    >>> budget = Budget(ratio=0.5, slack=1, window_s=10.0)
    >>> arrivals = [(0.1, "a"), (0.2, "a"), (9.0, "a"), (9.1, "b")]
    >>> worst_window([0.0, 9.0], arrivals, budget)
    Window(end=9.0, repeats=2, allowed=2.0)
    """
    sent = sorted(sent)
    known = set()
    repeats = []
    for at, request in sorted(arrivals):
        if request in known:
            repeats.append(at)
        known.add(request)
    windows = []
    for number, end in enumerate(repeats):
        first = bisect.bisect_left(repeats, end - budget.window_s)
        requests = max(
            _count(sent, end - lag * budget.window_s, budget.window_s)
            for lag in (0.0, 0.5, 1.0)
        )
        allowed = budget.ratio * requests + budget.slack
        windows.append(Window(end, number + 1 - first, allowed))
    return max(windows, key=lambda e: e.repeats - e.allowed, default=None)


def _count(times, end, span):
    return bisect.bisect_right(times, end) - bisect.bisect_left(
        times, end - span
    )
