"""Routing policies: each picks one endpoint from the candidates."""

import random
import typing

from sycamoreshed.kernel import registry
from sycamoreshed.routing import affinity
from sycamoreshed.routing import tariffs

__all__ = ["POLICIES", "RoutingContext"]

POLICIES = registry.Registry(kind="routing policy")
NEAR_SAMPLE = 2
FAR_SAMPLE = 2
# Round trips that are expected before any was measured.
ZONE_S = 0.001
REGION_S = 0.04
# Part of a call's time that a cached prefix saves.
CACHED_PART = 0.15
# Of the first and the second home of a prefix.
HOME_GAINS = (CACHED_PART, CACHED_PART / 2)
# A cold adapter is loaded before the first token.
COLD_FACTOR = 1.5
LEAST_BUDGET_S = 0.001


class RoutingContext(typing.NamedTuple):
    """What a policy may look at.

    Parameters
    ----------
    zone, region : str
        Of this instance.
    prefix : str or None
        Hash of the prompt's prefix.
    loads : Loads
        Own calls in flight, lagged reports, measured times.
    budget_s : float
        Time the request has left.
    crossing_bytes : float
        Bytes the call is expected to send and receive.
    worth : Worth
        What attainment and crossing are worth now.
    adapter : str or None
    cached : float
        From 0 to 1, how likely the prefix is cached at its home.
    turn : int
        Counts decisions, for taking turns.
    """

    zone: str
    region: str
    prefix: str | None
    loads: typing.Any
    budget_s: float = 1.0
    crossing_bytes: float = 0.0
    worth: tariffs.Worth = tariffs.Worth(10.0, 1.0)
    adapter: str | None = None
    cached: float = 1.0
    turn: int = 0


@POLICIES.register("random")
def at_random(candidates, context, now):
    """Pick any; a baseline."""
    return random.choice(candidates)


@POLICIES.register("round_robin")
def round_robin(candidates, context, now):
    """Take turns; a baseline."""
    return candidates[context.turn % len(candidates)]


@POLICIES.register("least_loaded")
def least_loaded(candidates, context, now):
    """Pick the one with the fewest calls in flight; a baseline."""
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
    """Pick the cheapest of a few, by expected time and crossing.

    Notes
    -----
    Reports lag, so if all were compared every instance would send to
    the same endpoint until the next report; each looks at a random few
    and at the prefix's homes.
    """
    gains, listed = _short_list(candidates, context, now)
    return min(listed, key=lambda item: _cost(item, context, gains, now))


def _short_list(candidates, context, now):
    """Return what a cached prefix gains where, and all to compare."""
    same, near, far = [], [], []
    for item in candidates:
        if item.region != context.region:
            far.append(item)
        elif item.zone != context.zone:
            near.append(item)
        else:
            same.append(item)
    home, gains = [], {}
    if context.prefix is not None and context.cached:
        scope = candidates
        if (same or near) and _crossing_dear(same or near, context, now):
            scope = same + near
        key = f"{context.adapter or ''}/{context.prefix}"
        home = affinity.homes(scope, key)
        for item, part in zip(home, HOME_GAINS, strict=False):
            gains[item.name] = part * context.cached
    listed = [
        *home,
        *_sample(same, NEAR_SAMPLE),
        *_sample(near, NEAR_SAMPLE),
        *_sample(far, FAR_SAMPLE),
    ]
    return gains, listed


def _crossing_dear(near, context, now):
    """Return whether a crossing costs more than a cached prefix gains.

    Notes
    -----
    Homes among all endpoints hold each prefix once, so that more of them
    fit the caches; homes within the region spare the crossing.
    """
    seconds = context.loads.seconds(near[0], now)
    part = seconds / max(context.budget_s, LEAST_BUDGET_S)
    saved = part * part * (1.0 - (1.0 - CACHED_PART) ** 2)
    return _crossing(context) > context.worth.attainment * saved


def _crossing(context):
    return context.worth.crossing_mb * context.crossing_bytes / 1e6


def _sample(items, count):
    if len(items) <= count:
        return items
    return [random.choice(items) for _ in range(count)]


def _cost(endpoint, context, gains, now):
    """Return the cost units of sending there.

    Notes
    -----
    The risk of being late grows with the square of the part of the time
    left that the call takes: while there is plenty, saving some of it is
    not worth a crossing.
    """
    seconds = context.loads.seconds(endpoint, now)
    seconds *= 1.0 - gains.get(endpoint.name, 0.0)
    if context.adapter is not None:
        warm = context.loads.adapters(endpoint)
        if warm is not None and context.adapter not in warm:
            seconds *= COLD_FACTOR
    cost = 0.0
    if endpoint.region != context.region:
        seconds += REGION_S
        cost = _crossing(context)
    elif endpoint.zone != context.zone:
        seconds += ZONE_S
    part = seconds / max(context.budget_s, LEAST_BUDGET_S)
    return cost + context.worth.attainment * part * part
