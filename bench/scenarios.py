"""Scenarios: request rates over time, and timed events."""

import typing

from bench import arrivals
from bench import deployments
from sycamoreshed.kernel import registry

__all__ = ["SCENARIOS", "Event", "Plan"]

SCENARIOS = registry.Registry(kind="scenario")


class Event(typing.NamedTuple):
    """An action on the running system.

    Parameters
    ----------
    at : float
        Seconds since the start.
    action : str
        Name of a method of `bench.world.World`.
    arguments : tuple
    """

    at: float
    action: str
    arguments: tuple = ()


class Plan(typing.NamedTuple):
    """Load and events of a scenario.

    Parameters
    ----------
    phases : list of Phase
    events : list of Event
    prefixes : int
        Number of shared prompt prefixes; zero for none.
    hour : float or None
        Hour of the day passed to the daemons, for the tariff.
    calm : float or None
        End of the disturbance in seconds since the start, from which the
        time to recover counts.
    """

    phases: list
    events: list = []
    prefixes: int = 0
    hour: float | None = None
    calm: float | None = None


def _rates(deployment, load, **factors):
    total = deployments.capacity(deployment) * load
    return {
        team: total * share * factors.get(team, 1.0)
        for team, share in deployment.shares.items()
    }


def _flat(deployment, load, seconds):
    rates = _rates(deployment, load)
    return [arrivals.Phase(0.0, seconds, rates)]


def _engine(deployment, index=0):
    engines = [s for s in deployment.specs if s["kind"] == "engine"]
    return engines[index]["name"]


@SCENARIOS.register("steady")
def steady(deployment, load, seconds):
    """Constant load."""
    return Plan(_flat(deployment, load, seconds))


@SCENARIOS.register("overload")
def overload(deployment, load, seconds):
    """Constant load; `load`, a share of the capacity, should exceed 1."""
    return Plan(_flat(deployment, load, seconds))


@SCENARIOS.register("burst")
def burst(deployment, load, seconds):
    """One small team sends ten times its share after the first third."""
    third = seconds / 3
    team = list(deployment.shares)[-1]
    return Plan(
        [
            arrivals.Phase(0.0, third, _rates(deployment, load)),
            arrivals.Phase(
                third, seconds, _rates(deployment, load, **{team: 10.0})
            ),
        ]
    )


@SCENARIOS.register("slow_stage")
def slow_stage(deployment, load, seconds):
    """All rerankers take thirty times as long in the middle third."""
    names = [
        spec["name"]
        for spec in deployment.specs
        if spec["service"] == "reranker"
    ]
    third = seconds / 3
    return Plan(
        _flat(deployment, load, seconds),
        [
            *(Event(third, "slow", (name, 30.0)) for name in names),
            *(Event(2 * third, "slow", (name, 1.0)) for name in names),
        ],
        calm=2 * third,
    )


@SCENARIOS.register("slow_engine")
def slow_engine(deployment, load, seconds):
    """One engine takes ten times as long from one second after the start."""
    name = _engine(deployment)
    return Plan(
        _flat(deployment, load, seconds),
        [Event(1.0, "slow", (name, 10.0))],
    )


@SCENARIOS.register("lost_zone")
def lost_zone(deployment, load, seconds):
    """Instances and endpoints of a zone are down after the first third."""
    zone = deployment.zones[0]
    return Plan(
        _flat(deployment, load, seconds),
        [Event(seconds / 3, "lose_zone", (zone,))],
    )


@SCENARIOS.register("store_outage")
def store_outage(deployment, load, seconds):
    """Table service and object store are down in the middle third."""
    third = seconds / 3
    return Plan(
        _flat(deployment, load, seconds),
        [
            Event(third, "store", (False,)),
            Event(2 * third, "store", (True,)),
        ],
        calm=2 * third,
    )


@SCENARIOS.register("rolling_restart")
def rolling_restart(deployment, load, seconds):
    """Every entry instance is stopped and started, one after another."""
    return Plan(
        _flat(deployment, load, seconds),
        [Event(1.0, "restart_all")],
    )


@SCENARIOS.register("prefix_skew")
def prefix_skew(deployment, load, seconds):
    """Prompts share 100 prefixes, drawn with a Zipf skew."""
    return Plan(_flat(deployment, load, seconds), prefixes=100)


@SCENARIOS.register("dawn")
def dawn(deployment, load, seconds):
    """Load doubles to `load` after the first third; the tariff hour is 4."""
    third = seconds / 3
    return Plan(
        [
            arrivals.Phase(0.0, third, _rates(deployment, load / 2)),
            arrivals.Phase(third, seconds, _rates(deployment, load)),
        ],
        hour=4.0,
    )


@SCENARIOS.register("recovery")
def recovery(deployment, load, seconds):
    """Load of three times the capacity in the first half, then `load`."""
    half = seconds / 2
    return Plan(
        [
            arrivals.Phase(0.0, half, _rates(deployment, 3.0)),
            arrivals.Phase(half, seconds, _rates(deployment, load)),
        ],
        calm=half,
    )
