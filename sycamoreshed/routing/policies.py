"""Routing policies: each picks one endpoint from the candidates."""

import random
import typing

from sycamoreshed.kernel import registry
from sycamoreshed.routing import affinity
from sycamoreshed.routing import tariffs

__all__ = ["POLICIES", "Situation"]

POLICIES = registry.Registry(kind="routing policy")
NEAR_SAMPLE = 2
FAR_SAMPLE = 2
# Round trips that are expected before any was measured.
ZONE_S = 0.001
REGION_S = 0.04
# Part of a call's time that a cached prefix saves.
CACHED_PART = 0.3
# A cold adapter is loaded before the first token.
COLD_FACTOR = 1.5
LEAST_BUDGET_S = 0.001


class Situation(typing.NamedTuple):
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
    turn: int = 0


@POLICIES.register("random")
def at_random(candidates, situation, now):
    """Pick any; a baseline."""
    return random.choice(candidates)


@POLICIES.register("round_robin")
def round_robin(candidates, situation, now):
    """Take turns; a baseline."""
    return candidates[situation.turn % len(candidates)]


@POLICIES.register("least_loaded")
def least_loaded(candidates, situation, now):
    """Pick the one with the fewest calls in flight; a baseline."""
    return min(
        candidates,
        key=lambda item: (
            situation.loads.estimate(item, now),
            item.zone != situation.zone,
            item.region != situation.region,
            random.random(),
        ),
    )


@POLICIES.register("balanced")
def balanced(candidates, situation, now):
    """Pick the cheapest of a few, by expected time and crossing.

    Notes
    -----
    Reports lag, so if all were compared every instance would send to
    the same endpoint until the next report; each looks at a random few
    and at the prefix's homes.
    """
    home, listed = _short_list(candidates, situation)
    return min(
        listed, key=lambda item: _cost(item, situation, item in home, now)
    )


def _short_list(candidates, situation):
    """Return the homes of the prefix, and all that are compared."""
    same, near, far = [], [], []
    for item in candidates:
        if item.region != situation.region:
            far.append(item)
        elif item.zone != situation.zone:
            near.append(item)
        else:
            same.append(item)
    home = []
    if situation.prefix is not None:
        key = f"{situation.adapter or ''}/{situation.prefix}"
        home = affinity.homes(candidates, key, situation.region)
    listed = [
        *home,
        *_sample(same, NEAR_SAMPLE),
        *_sample(near, NEAR_SAMPLE),
        *_sample(far, FAR_SAMPLE),
    ]
    return home, listed


def _sample(items, count):
    if len(items) <= count:
        return items
    return [random.choice(items) for _ in range(count)]


def _cost(endpoint, situation, is_home, now):
    """Return the cost units of sending there.

    Notes
    -----
    The risk of being late grows with the square of the part of the time
    left that the call takes: while there is plenty, saving some of it is
    not worth a crossing.
    """
    seconds = situation.loads.seconds(endpoint, now)
    if is_home:
        seconds *= 1.0 - CACHED_PART
    if situation.adapter is not None:
        warm = situation.loads.adapters(endpoint)
        if warm is not None and situation.adapter not in warm:
            seconds *= COLD_FACTOR
    cost = 0.0
    if endpoint.region != situation.region:
        seconds += REGION_S
        cost = situation.worth.crossing_mb * situation.crossing_bytes / 1e6
    elif endpoint.zone != situation.zone:
        seconds += ZONE_S
    part = seconds / max(situation.budget_s, LEAST_BUDGET_S)
    return cost + situation.worth.attainment * part * part
