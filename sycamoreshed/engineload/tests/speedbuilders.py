"""Engines of uneven and changing speed, and instances that learn of them."""

import random

from sycamoreshed.catalog import types
from sycamoreshed.engineload import speeds

__all__ = ["Engines", "engine", "learn", "service"]

SPELL_S = 0.6
SPELL_PERIOD_S = 4.0
SPELL_FACTOR = 2.5


def engine(name, *, started_at_ms=1):
    """Return an engine of the only service."""
    return types.Endpoint(
        name, "llm", f"{name}:80", "north-a", 64, started_at_ms=started_at_ms
    )


def service(count):
    """Return the slowness of engines: half of them 0.6, others 1 and 1.6."""
    ratios = [0.6, 1.0, 0.6, 1.6]
    return {f"e{n}": ratios[n % len(ratios)] for n in range(count)}


class Engines:
    """Engines that take some times longer than usual, and more in spells.

    Parameters
    ----------
    slowness : dict of str to float
        By the engines' names.
    seed : int
    """

    def __init__(self, *, slowness, seed=1):
        self.slowness = slowness
        self.random = random.Random(seed)
        self._phases = {
            name: self.random.uniform(0, SPELL_PERIOD_S) for name in slowness
        }

    def interval_s(self, name, now, *, requests=1):
        """Return the seconds between events of a stream."""
        seconds = 0.02 * self.slowness[name] * (1 + 0.1 * requests)
        if (now + self._phases[name]) % SPELL_PERIOD_S < SPELL_S:
            seconds *= SPELL_FACTOR
        return seconds * self.random.lognormvariate(0, 0.15)


def learn(engines, *, instances, rate, until, telling_s=None):
    """Play answers of engines; return the `Speeds` of all instances.

    Parameters
    ----------
    engines : Engines
    instances : int
    rate : float
        Answers per second of each instance, of random engines.
    until : float
    telling_s : float, optional
        Interval in which all tell the first instance what they know.
    """
    learners = [speeds.Speeds() for _ in range(instances)]
    names = list(engines.slowness)
    tell_at = telling_s or until + 1
    step_s = 1 / (rate * instances)
    for number in range(int(until / step_s)):
        now = number * step_s
        name = engines.random.choice(names)
        learners[number % instances].record_time(
            engine(name), engines.interval_s(name, now), 1, now
        )
        if now >= tell_at:
            tell_at += telling_s
            for index, each in enumerate(learners[1:]):
                learners[0].record_report(f"i{index}", each.report(now), now)
    return learners
