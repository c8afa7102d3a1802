"""Skips instances that did not answer, for a short time."""

__all__ = ["Avoidance"]

# Long enough that a dead instance delays few messages.
AVOID_S = 2.0


class Avoidance:
    """Remembers which instances did not answer messages of one kind.

    Such messages have short timeouts, and an instance that is merely slow
    misses them.  It is not reported to the `PeerDirectory`, as it would lose
    its work for its zone.

    Examples
    --------
    >>> avoidance = Avoidance()
    >>> avoidance.add("10.0.0.1:1", 5.0)
    >>> members = {"a": "10.0.0.1:1", "b": "10.0.0.2:1"}
    >>> avoidance.available(members, 6.0)
    {'b': '10.0.0.2:1'}
    >>> avoidance.available(members, 8.0)
    {'a': '10.0.0.1:1', 'b': '10.0.0.2:1'}
    """

    def __init__(self):
        self._until = {}

    def add(self, control, now):
        """Skip an instance from now on."""
        self._until = {
            each: until for each, until in self._until.items() if until > now
        }
        self._until[control] = now + AVOID_S

    def available(self, members, now):
        """Return the control addresses by name, without those skipped."""
        return {
            name: control
            for name, control in members.items()
            if self._until.get(control, now) <= now
        }
