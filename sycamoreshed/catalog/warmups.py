"""Which endpoints are cold: started a moment ago, or cold once more."""

__all__ = ["Warmups"]


class Warmups:
    """Times until which endpoints are cold.

    An endpoint tells how long it stays cold when it registers, and again
    whenever that changes.  Times are relative to when this instance heard of
    it, as clocks differ: an endpoint counts as cold rather too long.

    Examples
    --------
    >>> from sycamoreshed.catalog import types
    >>> warmups = Warmups()
    >>> cold = types.Endpoint("e", "s", "10.0.0.1:1", "z", 4, cold_s=3.0)
    >>> warmups.update({}, {"e": cold}, 10.0, has_previous=False)
    >>> warmups.is_cold(cold, 12.9, cold_start_s=0.0)
    True
    >>> warmups.is_cold(cold, 13.1, cold_start_s=0.0)
    False
    """

    def __init__(self):
        self._cold_until = {}
        self._first_seen_at = {}

    def update(self, previous, current, now, *, has_previous):
        """Record what endpoints tell of themselves.

        Parameters
        ----------
        previous, current : dict of str to Endpoint
            By id.
        now : float
            Monotonic time in seconds.
        has_previous : bool
            False for the first copy: then it is unknown which endpoints
            have just started.
        """
        for key, each in current.items():
            earlier = previous.get(key)
            if earlier is None or _has_restarted(earlier, each):
                self._cold_until[key] = now + each.cold_s
                if has_previous:
                    self._first_seen_at[key] = now
            elif earlier.cold_s != each.cold_s:
                self._cold_until[key] = now + each.cold_s
        for key in self._cold_until.keys() - current.keys():
            del self._cold_until[key]
            self._first_seen_at.pop(key, None)

    def is_cold(self, endpoint, now, *, cold_start_s):
        """Return whether an endpoint is cold.

        Parameters
        ----------
        endpoint : Endpoint
        now : float
        cold_start_s : float
            Seconds for which endpoints of its service are cold after a start.
        """
        if now < self._cold_until.get(endpoint.id, float("-inf")):
            return True
        first_seen_at = self._first_seen_at.get(endpoint.id)
        return first_seen_at is not None and now < first_seen_at + cold_start_s


def _has_restarted(earlier, current):
    return earlier.started_at_ms != current.started_at_ms
