"""How much of a zone's stages each team has used recently."""

import math
import typing

__all__ = ["TeamUsage"]

# Time constant of the exponential decay; covers a few bursts of a team.
DECAY_S = 5.0
# Threshold of heavy usage, interpolated between an equal share (0) and all
# usage (1).  Teams differ in size; one that is merely larger crowds out
# nobody.
HEAVY_SHARE_WEIGHT = 0.25
# Teams stored at most; the first one added is dropped first.
MAX_TEAMS = 4096
# A team with less usage than this counts as inactive.
MIN_USAGE = 0.01


class _Usage(typing.NamedTuple):
    amount: float
    updated_at: float


class TeamUsage:
    """Decaying counts of the jobs admitted for each team.

    Examples
    --------
    >>> usage = TeamUsage()
    >>> for _ in range(9):
    ...     usage.add("large", 0.0)
    >>> usage.add("small", 0.0)
    >>> usage.is_heavy("large", 0.0), usage.is_heavy("small", 0.0)
    (True, False)
    """

    def __init__(self):
        self._usages = {}

    def add(self, team, now, amount=1.0):
        """Count a job that was admitted for a team."""
        current = self._amount(team, now)
        if team not in self._usages and len(self._usages) >= MAX_TEAMS:
            del self._usages[next(iter(self._usages))]
        self._usages[team] = _Usage(current + amount, now)

    def is_heavy(self, team, now):
        """Return whether a team has used far more than an equal share.

        An equal share among the teams that are active.
        """
        own = self._amount(team, now)
        amounts = [self._amount(each, now) for each in self._usages]
        active = [each for each in amounts if each > MIN_USAGE]
        if len(active) < 2:
            return False
        equal = 1 / len(active)
        return own > sum(active) * (equal + HEAVY_SHARE_WEIGHT * (1 - equal))

    def _amount(self, team, now):
        stored = self._usages.get(team)
        if stored is None:
            return 0.0
        return stored.amount * math.exp((stored.updated_at - now) / DECAY_S)
