"""Division of a team's rate limit among the instances.

A team's limit applies to the whole system, while its requests arrive at
any instance.  Instances publish the demand of teams whose demand exceeds
a fraction of an even share, and the shares follow the published demand.
"""

import typing

from sycamoreshed.membership import topics

__all__ = [
    "DemandView",
    "MAX_TOTAL_SHARE",
    "MIN_EVEN_FRACTION",
    "TOPIC",
    "local_share",
    "reachable_share",
]

TOPIC = "demand"
# The shares of all instances sum to at most this, however a network
# partition divides the instances.
MAX_TOTAL_SHARE = 2.0
# At least this fraction of a limit is divided evenly, for instances that have
# no demand yet.
MIN_EVEN_FRACTION = 0.2

topics.topic(TOPIC)(topics.newest)


class DemandView(typing.NamedTuple):
    """Input for the share of a limit that an instance may use.

    Parameters
    ----------
    live : int
        Number of live instances, including this one.
    peak_live : float
        Recent maximum of the number of live instances.
    own : float
        Demand this instance published last, in requests per second; zero
        for none.
    others : tuple of float
        Latest demand that other instances published and that still holds.
    rate : float
        The limit, or zero to ignore it.  The part that is not demanded is
        divided evenly; otherwise an instance that gets a team's first
        requests would reject them although the team is below its limit.
    """

    live: int
    peak_live: float
    own: float
    others: tuple = ()
    rate: float = 0.0


def reachable_share(live, peak_live):
    """Return the share of a limit that the live instances may use.

    Parameters
    ----------
    live : int
    peak_live : float

    Returns
    -------
    float

    Notes
    -----
    An instance cannot distinguish dead peers from unreachable ones.  A
    group of at least half of the instances uses the full limit and a
    smaller one less, so that the groups of a partitioned network together
    use at most `MAX_TOTAL_SHARE` times the limit.

    Examples
    --------
    >>> reachable_share(9, 9), reachable_share(6, 9), reachable_share(3, 9)
    (1.0, 1.0, 0.6666666666666666)
    """
    return min(1.0, MAX_TOTAL_SHARE * live / max(live, peak_live))


def local_share(view):
    """Return the share of a limit this instance may use, from 0 to 1.

    Examples
    --------
    >>> local_share(DemandView(live=4, peak_live=4, own=0.0))
    0.25
    >>> round(local_share(DemandView(4, 4, own=3.0, others=(1.0,))), 6)
    0.65
    """
    even_share = 1.0 / view.live
    total = view.own + sum(view.others)
    if not total:
        return reachable_share(view.live, view.peak_live) * even_share
    demand_fraction = 1.0 - MIN_EVEN_FRACTION
    if view.rate:
        demand_fraction = min(demand_fraction, total / view.rate)
    weighted = (
        demand_fraction * view.own / total
        + (1.0 - demand_fraction) * even_share
    )
    return reachable_share(view.live, view.peak_live) * weighted
