"""Routing policies, which select one of the candidate endpoints."""

import random
import typing

from sycamoreshed.kernel import registry
from sycamoreshed.routing import affinity
from sycamoreshed.routing import tariffs

__all__ = ["POLICIES", "RoutingContext"]

POLICIES = registry.Registry(kind="routing policy")
NEAR_SAMPLE_SIZE = 2
FAR_SAMPLE_SIZE = 2
# Assumed round trip times to another zone and to another region.
ZONE_ROUND_TRIP_S = 0.001
REGION_ROUND_TRIP_S = 0.04
# Fraction of a call's time that a cached prefix saves.
CACHED_SAVING = 0.15
# Savings at the first and the second preferred endpoint of a prefix.
PREFERENCE_SAVINGS = (CACHED_SAVING, CACHED_SAVING / 2)
# Factor on a call's time if the endpoint has to load the adapter first.
COLD_ADAPTER_FACTOR = 1.5
MIN_BUDGET_S = 0.001


class RoutingContext(typing.NamedTuple):
    """Input of a policy besides the candidates.

    Parameters
    ----------
    zone, region : str
        Location of this instance.
    prefix : str or None
        Hash of the prompt's prefix.
    loads : Loads
        Load and speed of the endpoints.
    budget_s : float
        Time until the deadline of the request.
    transfer_bytes : float
        Bytes the call is expected to send and receive.
    prices : Prices
        Current prices of attainment and of crossing regions.
    adapter : str or None
    cache_probability : float
        Probability that the prefix is cached at its preferred endpoint.
    decision_count : int
        Number of decisions so far, for round robin.
    """

    zone: str
    region: str
    prefix: str | None
    loads: typing.Any
    budget_s: float = 1.0
    transfer_bytes: float = 0.0
    prices: tariffs.Prices = tariffs.Prices(10.0, 1.0)
    adapter: str | None = None
    cache_probability: float = 1.0
    decision_count: int = 0


@POLICIES.register("random")
def random_choice(candidates, context, now):
    """Select at random; a baseline."""
    return random.choice(candidates)


@POLICIES.register("round_robin")
def round_robin(candidates, context, now):
    """Select in turn; a baseline."""
    return candidates[context.decision_count % len(candidates)]


@POLICIES.register("least_loaded")
def least_loaded(candidates, context, now):
    """Select the endpoint with the lowest utilization; a baseline."""
    return min(
        candidates,
        key=lambda item: (
            context.loads.utilization(item, now),
            item.zone != context.zone,
            item.region != context.region,
            random.random(),
        ),
    )


@POLICIES.register("balanced")
def balanced(candidates, context, now):
    """Select the cheapest of a few, by expected time and region crossing.

    Notes
    -----
    Reports lag, so if all candidates were compared, every instance would
    send to the same endpoint until the next report.  Each instance compares
    a random sample and the preferred endpoints of the prefix.
    """
    savings, shortlist = _shortlist(candidates, context, now)
    return min(shortlist, key=lambda item: _cost(item, context, savings, now))


def _shortlist(candidates, context, now):
    """Return the prefix savings by endpoint, and the endpoints to compare."""
    same, near, far = [], [], []
    for item in candidates:
        if item.region != context.region:
            far.append(item)
        elif item.zone != context.zone:
            near.append(item)
        else:
            same.append(item)
    preferred, savings = [], {}
    if context.prefix is not None and context.cache_probability:
        scope = candidates
        if (same or near) and _is_crossing_expensive(
            same or near, context, now
        ):
            scope = same + near
        key = f"{context.adapter or ''}/{context.prefix}"
        preferred = affinity.preferred_endpoints(scope, key)
        for item, fraction in zip(preferred, PREFERENCE_SAVINGS, strict=False):
            savings[item.name] = fraction * context.cache_probability
    shortlist = [
        *preferred,
        *_sample(same, NEAR_SAMPLE_SIZE),
        *_sample(near, NEAR_SAMPLE_SIZE),
        *_sample(far, FAR_SAMPLE_SIZE),
    ]
    return savings, shortlist


def _is_crossing_expensive(near, context, now):
    """Return whether a crossing costs more than a cached prefix saves.

    Notes
    -----
    Preferred endpoints among all candidates hold a prefix once for all
    regions, so that more prefixes fit the caches; those within the region
    avoid the crossing.
    """
    seconds = context.loads.expected_time_s(near[0], now)
    fraction = seconds / max(context.budget_s, MIN_BUDGET_S)
    saved = fraction * fraction * (1.0 - (1.0 - CACHED_SAVING) ** 2)
    return _crossing_cost(context) > context.prices.attainment * saved


def _crossing_cost(context):
    return context.prices.crossing_mb * context.transfer_bytes / 1e6


def _sample(items, count):
    if len(items) <= count:
        return items
    return [random.choice(items) for _ in range(count)]


def _cost(endpoint, context, savings, now):
    """Return the cost of calling an endpoint, in cost units.

    Notes
    -----
    The risk of missing the deadline grows with the square of the fraction
    of the remaining time that the call takes: with ample time left, saving
    some of it does not justify a crossing.
    """
    seconds = context.loads.expected_time_s(endpoint, now)
    seconds *= 1.0 - savings.get(endpoint.name, 0.0)
    if context.adapter is not None:
        loaded = context.loads.adapters(endpoint)
        if loaded is not None and context.adapter not in loaded:
            seconds *= COLD_ADAPTER_FACTOR
    cost = 0.0
    if endpoint.region != context.region:
        seconds += REGION_ROUND_TRIP_S
        cost = _crossing_cost(context)
    elif endpoint.zone != context.zone:
        seconds += ZONE_ROUND_TRIP_S
    fraction = seconds / max(context.budget_s, MIN_BUDGET_S)
    return cost + context.prices.attainment * fraction * fraction
