"""How much of a zone's stages each team has used lately."""

import math
import typing

__all__ = ["TeamUsage"]

# Over which use counts: a few bursts of a team.
DECAY_S = 5.0
# Where between an equal share (0) and all that is used (1) a team has to
# yield.  Teams differ in size; one that is merely larger crowds out nobody.
HEAVY_POINT = 0.25
# Teams that are remembered; the oldest is forgotten first.
MOST_TEAMS = 4096
# Less than so much use of a team is as good as none.
LEAST_USE = 0.01


class _Use(typing.NamedTuple):
    amount: float
    at: float


class TeamUsage:
    """Decaying sums of what was taken on for each team.

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
        self._uses = {}

    def add(self, team, now, amount=1.0):
        """Count work that was taken on for a team."""
        held = self._amount(team, now)
        if team not in self._uses and len(self._uses) >= MOST_TEAMS:
            del self._uses[next(iter(self._uses))]
        self._uses[team] = _Use(held + amount, now)

    def is_heavy(self, team, now):
        """Return whether a team has used far more than an equal share.

        Shares are of the teams that have used anything lately.
        """
        own = self._amount(team, now)
        amounts = [self._amount(each, now) for each in self._uses]
        active = [each for each in amounts if each > LEAST_USE]
        if len(active) < 2:
            return False
        equal = 1 / len(active)
        return own > sum(active) * (equal + HEAVY_POINT * (1 - equal))

    def _amount(self, team, now):
        held = self._uses.get(team)
        if held is None:
            return 0.0
        return held.amount * math.exp((held.at - now) / DECAY_S)
