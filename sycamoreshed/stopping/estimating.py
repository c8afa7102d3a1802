"""How long requests may last, by what is known of their routes."""

import math

from sycamoreshed.stopping import durations
from sycamoreshed.stopping import measuring

__all__ = ["ENOUGH_ENDED", "LATE_SHARE", "UNKNOWN_FACTOR", "Estimates"]

# Share of the remaining time into which the longest known request has to fit,
# for requests that arrive when no new connections are expected any more: their
# callers lose one try, whereas requests that are cut off may be lost.
LATE_SHARE = 0.5
# Assumed duration of requests of a route of which none has ended, as a
# multiple of the route's target time.
UNKNOWN_FACTOR = 3.0
# Number of ended requests from which a route is known well enough.
ENOUGH_ENDED = 16
# Number of ended streams of a service from which the length that a request
# tells replaces the durations of its route.
MIN_STREAMS = 5
# Estimates are cached for this time, as many requests may wait.
ESTIMATE_TTL_S = 0.05


class Estimates:
    """Estimates how long requests last, from a phase to their end.

    Parameters
    ----------
    known : Durations
    """

    def __init__(self, *, known):
        self._durations = known
        self._quantiles = {}

    def clear(self):
        """Estimate anew, as more is known."""
        self._quantiles.clear()

    def needed_s(self, request, phase, now):
        """Return how long a phase of a request and what follows may last.

        A share of `durations.MAX_RISK` of such requests lasts longer.

        Parameters
        ----------
        request : Request
        phase : Phase
        now : float
        """
        risk = durations.MAX_RISK
        unknown_s = _unknown_s(request.route)
        return self._needed_s(request, phase, now, risk, unknown_s)

    def late_needed_s(self, request, phase, now):
        """Return the same for late requests, of which none should last longer.

        Takes the parameters of `needed_s`.
        """
        longest_s = self._needed_s(request, phase, now, 0.0, 0.0)
        needed_s = longest_s / LATE_SHARE
        if self.is_known(request, phase):
            return needed_s
        # With few known ones, the next often lasts longer than all.
        return max(needed_s, _unknown_s(request.route))

    def is_known(self, request, phase):
        """Return whether enough is known of a request's route."""
        whole = measuring.Part.WHOLE
        key = measuring.Key(whole, phase, request.route.name)
        return self._durations.count_ended(key) >= ENOUGH_ENDED

    def _needed_s(self, request, phase, now, risk, unknown_s):
        route = request.route
        key = measuring.Key(measuring.Part.WHOLE, phase, route.name)
        whole_s = self._quantile(key, now, risk, unknown_s)
        tokens = measuring.output_tokens(request)
        token_key = measuring.token_key(request.service)
        streams = self._durations.count_ended(token_key)
        if not tokens or not streams:
            return whole_s
        key = key._replace(part=measuring.Part.FIRST_EVENT)
        told_s = self._quantile(key, now, risk, unknown_s)
        told_s += tokens * self._quantile(token_key, now, risk)
        return told_s if streams >= MIN_STREAMS else max(told_s, whole_s)

    def _quantile(self, key, now, risk, unknown=0.0):
        at, value = self._quantiles.get((key, risk), (-math.inf, 0.0))
        if not 0.0 <= now - at < ESTIMATE_TTL_S:
            samples = self._durations.samples(key, now)
            value = 0.0
            if samples:
                value = durations.quantile(samples, risk)
            if not self._durations.count_ended(key):
                value = max(value, unknown)
            self._quantiles[key, risk] = now, value
        return value


def _unknown_s(route):
    return UNKNOWN_FACTOR * route.target_s
