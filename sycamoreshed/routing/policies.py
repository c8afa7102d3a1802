"""Routing policies: each picks one endpoint from the candidates."""

import random
import typing

from sycamoreshed.kernel import registry

__all__ = ["POLICIES", "Situation"]

POLICIES = registry.Registry(kind="routing policy")


class Situation(typing.NamedTuple):
    """What a policy may look at.

    Parameters
    ----------
    zone, region : str
        Of this instance.
    prefix : str or None
        Hash of the prompt's prefix.
    loads : Loads
        Own calls in flight and lagged reports.
    """

    zone: str
    region: str
    prefix: str | None
    loads: typing.Any


@POLICIES.register("random")
def at_random(candidates, situation, now):
    """Pick any; a baseline."""
    return random.choice(candidates)


@POLICIES.register("least_loaded")
def least_loaded(candidates, situation, now):
    """Pick the least loaded, near ones first on equal load."""
    return min(
        candidates,
        key=lambda item: (
            situation.loads.estimate(item, now),
            item.zone != situation.zone,
            item.region != situation.region,
            random.random(),
        ),
    )
