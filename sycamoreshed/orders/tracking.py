"""What the reconciler knows of each engine, and when to look again."""

from sycamoreshed.errors import kinds
from sycamoreshed.orders import pacing
from sycamoreshed.orders import rollout

__all__ = ["DEAD_S", "EngineTracker"]

# An engine silent for so long is replaced by another one.
DEAD_S = 15.0
SOON_S = 0.5


class EngineTracker:
    """One engine: its last state, and the times that follow from it.

    Parameters
    ----------
    longest : float
        Longest time after which a settled engine is read back.

    Notes
    -----
    A settled engine is read back at intervals that double: 86 engines of
    a zone read each second would take seven times what an instance may
    spend on control.  A change of the configuration or of the holder
    brings the interval back to the shortest.
    """

    def __init__(self, *, longest):
        self._longest = longest
        self._interval = SOON_S
        self._silent_since = None
        self._told_dead = False
        self._failures = 0
        self.state = None
        self.pending = False
        self.look_at = 0.0
        self.order_at = 0.0

    @property
    def silent_since(self):
        """Monotonic time of the first failure in a row, or None."""
        return self._silent_since

    def is_dead(self, now):
        """Return whether the engine has been silent for long."""
        since = self._silent_since
        return since is not None and now - since >= DEAD_S

    def hurry(self):
        """Look again at once."""
        self._interval = SOON_S
        self.look_at = 0.0

    def take(self, state, target, now):
        """Take in the outcome of a look.

        Parameters
        ----------
        state : State or Failure
        target : Target or None
            What the engine should have.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
            Whether anything changed.
        """
        if isinstance(state, kinds.Failure):
            return self._fall_silent(now)
        came_back = self._silent_since is not None
        changed = state != self.state or came_back or self.pending
        self.state = state
        self.pending = False
        self._silent_since = None
        if changed or not rollout.is_settled(state, target):
            self._interval = SOON_S
        else:
            self._interval = min(2 * self._interval, self._longest)
        self.look_at = now + self._interval
        return changed

    def _fall_silent(self, now):
        first = self._silent_since is None
        if first:
            self._silent_since = now
            self._told_dead = False
        self._interval = min(2 * self._interval, self._longest)
        self.look_at = now + self._interval
        fresh = self.is_dead(now) and not self._told_dead
        self._told_dead = self._told_dead or fresh
        return first or fresh

    def ordered(self, now, *, ok):
        """Take in whether an order was taken; an answer is not the end.

        The order is repeated until the engine, read back, has it.
        """
        self._failures = 0 if ok else self._failures + 1
        wait = SOON_S if ok else pacing.backoff(self._failures)
        self.order_at = now + wait
        self.hurry()
