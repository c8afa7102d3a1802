"""Last state of each engine, and the times of the next read and order."""

from sycamoreshed.errors import kinds
from sycamoreshed.orders import pacing
from sycamoreshed.orders import rollout

__all__ = ["DEAD_AFTER_S", "EngineTracker"]

# Time after which an unresponsive engine is replaced by another one.
DEAD_AFTER_S = 15.0
MIN_INTERVAL_S = 0.5


class EngineTracker:
    """Tracks one engine: its last state, and when to read and order next.

    Parameters
    ----------
    max_interval_s : float
        Maximum time between two reads of a settled or unresponsive engine.

    Notes
    -----
    The interval between reads of a settled or unresponsive engine doubles:
    reading the 86 engines of a zone each second would cost seven times
    what an instance may spend on control.  A change of the configuration
    or of the holder resets the interval to the minimum.
    """

    def __init__(self, *, max_interval_s):
        self._max_interval_s = max_interval_s
        self._interval_s = MIN_INTERVAL_S
        self._unresponsive_since = None
        self._is_death_reported = False
        self._failures = 0
        self.state = None
        self.has_unread_order = False
        self.next_read_at = 0.0
        self.next_order_at = 0.0

    @property
    def unresponsive_since(self):
        """Time of the first failure since the last success, or None."""
        return self._unresponsive_since

    def is_dead(self, now):
        """Return whether the engine has been unresponsive for long."""
        since = self._unresponsive_since
        return since is not None and now - since >= DEAD_AFTER_S

    def read_soon(self):
        """Schedule the next read for now, and reset the interval."""
        self._interval_s = MIN_INTERVAL_S
        self.next_read_at = 0.0

    def record_read(self, state, target, now):
        """Record the outcome of a read.

        Parameters
        ----------
        state : State or Failure
        target : Target or None
            Target assigned to the engine.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
            Whether anything changed.
        """
        if isinstance(state, kinds.Failure):
            return self._record_failure(now)
        recovered = self._unresponsive_since is not None
        changed = state != self.state or recovered or self.has_unread_order
        self.state = state
        self.has_unread_order = False
        self._unresponsive_since = None
        if changed or not rollout.is_settled(state, target):
            self._interval_s = MIN_INTERVAL_S
        else:
            self._interval_s = min(2 * self._interval_s, self._max_interval_s)
        self.next_read_at = now + self._interval_s
        return changed

    def _record_failure(self, now):
        is_first = self._unresponsive_since is None
        if is_first:
            self._unresponsive_since = now
            self._is_death_reported = False
        self._interval_s = min(2 * self._interval_s, self._max_interval_s)
        self.next_read_at = now + self._interval_s
        is_newly_dead = self.is_dead(now) and not self._is_death_reported
        self._is_death_reported = self._is_death_reported or is_newly_dead
        return is_first or is_newly_dead

    def record_order(self, now, *, accepted):
        """Record whether an order was accepted.

        Acceptance is not completion: the order is repeated if a read shows
        that the engine neither has nor is loading its target.
        """
        self._failures = 0 if accepted else self._failures + 1
        delay_s = (
            MIN_INTERVAL_S if accepted else pacing.backoff_s(self._failures)
        )
        self.next_order_at = now + delay_s
        self.read_soon()
