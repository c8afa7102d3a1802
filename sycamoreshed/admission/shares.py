"""What part of a team's limit each instance may use.

A team's limit is one figure for the whole system, while its requests
arrive anywhere.  Instances tell each other the demand of teams that come
near their part, and parts follow the demand told.
"""

import typing

from sycamoreshed.membership import topics

__all__ = ["FACTOR", "FLOOR", "TOPIC", "View", "part", "reach"]

TOPIC = "demand"
# Parts of all instances sum to at most this times the limit, however
# the instances are cut off from each other.
FACTOR = 2.0
# Part of the limit that is split evenly, for those without demand yet.
FLOOR = 0.2

topics.topic(TOPIC)(topics.newest)


class View(typing.NamedTuple):
    """What an instance knows when it works out its part.

    Parameters
    ----------
    live : int
        Instances it can count on, itself included.
    most : float
        Instances there were lately, in the whole system.
    own : float
        Demand it told last, requests a second; zero for none.
    others : tuple of float
        Demand that live peers told last.
    rate : float
        The limit.  What of it nobody asks for is split evenly, or an
        instance new to a team would refuse it below its limit.
    """

    live: int
    most: float
    own: float
    others: tuple = ()
    rate: float = 0.0


def reach(live, most):
    """Return what part of a limit the instances in reach may use.

    Parameters
    ----------
    live : int
    most : float

    Returns
    -------
    float

    Notes
    -----
    Those in reach cannot know whether the others are dead or cut off.
    A group of half of them or more takes the whole limit, a smaller one
    less, so groups that are cut off from each other sum to `FACTOR`.

    Examples
    --------
    >>> reach(9, 9), reach(6, 9), reach(3, 9)
    (1.0, 1.0, 0.6666666666666666)
    """
    return min(1.0, FACTOR * live / max(live, most))


def part(view):
    """Return the part of a limit an instance may use, from 0 to 1.

    Examples
    --------
    >>> part(View(live=4, most=4, own=0.0))
    0.25
    >>> round(part(View(live=4, most=4, own=3.0, others=(1.0,))), 6)
    0.65
    """
    even = 1.0 / view.live
    total = view.own + sum(view.others)
    if not total:
        return reach(view.live, view.most) * even
    follow = 1.0 - FLOOR
    if view.rate:
        follow = min(follow, total / view.rate)
    following = follow * view.own / total + (1.0 - follow) * even
    return reach(view.live, view.most) * following
