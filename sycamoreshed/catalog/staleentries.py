"""Endpoints that had left before the store came back from an older copy.

The copy may list them as they were before.  An endpoint that had said that it
leaves does not take that back; one whose entry had been removed may have
registered again, which the copy cannot tell.
"""

import typing

__all__ = ["StaleEntries"]

# The store loses some seconds; who left earlier is not in its copy.
REMEMBERED_S = 60.0
MAX_REMEMBERED = 4096
# By then the entry of an endpoint that is gone is removed once more, as it
# has not been renewed.
HOLD_S = 10.0


class _Departure(typing.NamedTuple):
    at: float
    has_said_so: bool


class StaleEntries:
    """Remembers who left, and which of them a store lists again.

    Endpoints are named by `Endpoint.boot`.

    Examples
    --------
    >>> entries = StaleEntries()
    >>> entries.record_left("a@1", 5.0, has_said_so=True)
    >>> entries.record_left("b@1", 6.0, has_said_so=False)
    >>> entries.on_restored(["a@1", "b@1", "c@1"], 9.0)
    ['a@1', 'b@1']
    >>> entries.release(20.0), "a@1" in entries, "b@1" in entries
    (True, True, False)
    """

    def __init__(self):
        self._departures = {}
        self._held_until = {}

    def __contains__(self, boot):
        return boot in self._held_until

    def record_left(self, boot, now, *, has_said_so):
        """Record that an endpoint leaves, or that its entry was removed.

        Parameters
        ----------
        boot : str
        now : float
        has_said_so : bool
            Whether it said so, rather than that its entry was removed.
        """
        earlier = self._departures.pop(boot, None)
        if earlier is not None:
            has_said_so = has_said_so or earlier.has_said_so
        self._departures[boot] = _Departure(now, has_said_so)
        while len(self._departures) > MAX_REMEMBERED:
            self._departures.pop(next(iter(self._departures)))

    def record_listed(self, boot):
        """Record that an endpoint is listed, possibly once more.

        Unless it is held it has registered again, and only its entry had
        been removed.
        """
        departure = self._departures.get(boot)
        if departure is None or departure.has_said_so:
            return
        if boot not in self._held_until:
            del self._departures[boot]

    def on_restored(self, boots, now):
        """Hold those of the listed endpoints that had left; return them."""
        self._held_until = {}
        for boot in boots:
            departure = self._departures.get(boot)
            if departure is None or now - departure.at > REMEMBERED_S:
                continue
            self._held_until[boot] = (
                float("inf") if departure.has_said_so else now + HOLD_S
            )
        return list(self._held_until)

    def retain(self, boots):
        """Forget those that are held and no longer listed."""
        self._held_until = {
            boot: until
            for boot, until in self._held_until.items()
            if boot in boots
        }

    def release(self, now):
        """End the holds that are over; return whether there were any."""
        over = [b for b, until in self._held_until.items() if now >= until]
        for boot in over:
            del self._held_until[boot]
        return bool(over)
