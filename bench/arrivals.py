"""Open-loop arrivals, drawn before the run and independent of answers."""

import random
import typing

__all__ = ["Arrival", "Phase", "draw"]

PREFIX_CHARS = 400


class Phase(typing.NamedTuple):
    """A period with constant arrival rates.

    Parameters
    ----------
    begin, end : float
        Seconds since the start.
    rates : dict of str to float
        Requests a second by team.
    """

    begin: float
    end: float
    rates: dict


class Arrival(typing.NamedTuple):
    """One request to send.

    Parameters
    ----------
    at : float
        Seconds since the start.
    number : int
    team, pipeline : str
    text : str
        Input; its beginning determines the prompt's prefix.
    """

    at: float
    number: int
    team: str
    pipeline: str
    text: str


def draw(phases, mix, *, seed, prefixes=0):
    """Return the arrivals of all phases in order of time.

    Parameters
    ----------
    phases : list of Phase
    mix : dict of str to float
        Share of each pipeline.
    seed : int
    prefixes : int
        Number of shared prompt prefixes, drawn with a Zipf skew; zero
        gives each request its own prefix.

    Returns
    -------
    list of Arrival

    Examples
    --------
    >>> phases = [Phase(0.0, 10.0, {"a": 5.0})]
    >>> first = draw(phases, {"summary": 1.0}, seed=1)
    >>> first == draw(phases, {"summary": 1.0}, seed=1)
    True
    >>> all(0 <= item.at < 10 for item in first)
    True
    """
    rng = random.Random(seed)
    times = []
    for phase in phases:
        for team, rate in phase.rates.items():
            at = phase.begin
            while rate > 0:
                at += rng.expovariate(rate)
                if at >= phase.end:
                    break
                times.append((at, team))
    times.sort()
    pipelines, weights = list(mix), list(mix.values())
    return [
        Arrival(
            at,
            number,
            team,
            rng.choices(pipelines, weights)[0],
            _text(rng, number, prefixes),
        )
        for number, (at, team) in enumerate(times)
    ]


def _text(rng, number, prefixes):
    if not prefixes:
        return f"{number:08d}-{rng.random()}"
    weights = [1 / rank for rank in range(1, prefixes + 1)]
    prefix = rng.choices(range(prefixes), weights)[0]
    return f"{prefix:08d}".ljust(PREFIX_CHARS, "x") + f" {number}"
