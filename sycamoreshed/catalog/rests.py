"""Endpoints that asked this instance for rest."""

__all__ = ["Rests"]

# Longer rests are cut to this: an endpoint that asks for more by mistake
# would get no requests until its process ends.
MAX_REST_S = 300.0
# The one that was recorded first is forgotten first.
MAX_RESTS = 4096


class Rests:
    """Until when endpoints want no requests of this instance.

    Of several times that an endpoint named the latest one holds.

    Examples
    --------
    >>> from sycamoreshed.catalog import types
    >>> endpoint = types.Endpoint("e1", "desk", "e1:80", "north-a", 4)
    >>> rests = Rests()
    >>> rests.record(endpoint, 3.0, now=10.0)
    >>> rests.record(endpoint, 1.0, now=11.0)
    >>> rests.remaining_s(endpoint, 12.5), rests.remaining_s(endpoint, 13.0)
    (0.5, 0.0)
    """

    def __init__(self):
        self._until = {}

    def __bool__(self):
        return bool(self._until)

    def record(self, endpoint, seconds, now):
        """Record that an endpoint asks for rest.

        Parameters
        ----------
        endpoint : Endpoint
        seconds : float
            How long, from now on.
        now : float
            Monotonic time in seconds.
        """
        until = now + min(seconds, MAX_REST_S)
        until = max(until, self._until.pop(endpoint.boot, until))
        self._until[endpoint.boot] = until
        while len(self._until) > MAX_RESTS:
            del self._until[next(iter(self._until))]

    def remaining_s(self, endpoint, now):
        """Return the seconds for which an endpoint still rests."""
        until = self._until.get(endpoint.boot)
        if until is None:
            return 0.0
        if now >= until:
            del self._until[endpoint.boot]
            return 0.0
        return until - now
