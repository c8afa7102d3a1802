"""Permits to send a request to an endpoint that limits its rate.

An endpoint's limit is for all instances together.  One of them, selected by
rendezvous hashing among those of the endpoint's zone, issues the permits for
it, and the others ask it before each request to such an endpoint.  So a limit
is used up to its rate whichever instances have the requests, and an endpoint
without a limit costs no call.
"""

import math
import typing

__all__ = ["Issuer", "Permit", "PermitRequest"]

# Default of `PermitRequest.burst_s`.
BURST_S = 1.0
# Issued schedules that nobody asked for during this time are forgotten.
IDLE_S = 60.0
# Longest wait and retry time that is told.
MAX_WAIT_S = 60.0
# Instances that were refused are told to ask again so much later that all of
# them together ask for an endpoint at most this often.
MAX_ASKS_PER_S = 8.0
# Instances that asked during this time share the permits.
ASKER_TTL_S = 30.0


class PermitRequest(typing.NamedTuple):
    """A request of one instance for one permit.

    Parameters
    ----------
    endpoint : str
        Id and start of the endpoint.
    rate : float
        Its limit, in requests per second.
    max_wait_s : float
        Seconds that the request can wait before it is sent.
    asker : str
        Name of the instance.
    burst_s : float
        Unused permits of the last so many seconds may be used at once.
    """

    endpoint: str
    rate: float
    max_wait_s: float
    asker: str
    burst_s: float = BURST_S


class Permit(typing.NamedTuple):
    """Answer to a `PermitRequest`.

    Parameters
    ----------
    is_granted : bool
    wait_s : float
        Seconds after which the request may be sent, or could be.
    retry_s : float
        Seconds after which the instance may ask again, if refused.
    """

    is_granted: bool
    wait_s: float
    retry_s: float = 0.0


class _Schedule:
    """When requests may be sent to one endpoint.

    The generic cell rate algorithm: `due_at` is when the next request would
    be due if all were evenly spaced.  Starts without unused permits, as
    another instance may have issued them, and with a delay that is a share of
    the time between permits.
    """

    def __init__(self, *, rate, burst_s, now, delay):
        self.rate = rate
        self.burst_s = burst_s
        self.due_at = now + self._tolerance_s
        if delay and rate > 0:
            self.due_at += delay * self._interval_s
        self.asked_at = {}
        self.used_at = now

    @property
    def _interval_s(self):
        return 1 / self.rate if self.rate > 0 else math.inf

    @property
    def _tolerance_s(self):
        return max(0.0, self.burst_s - self._interval_s)

    def wait_s(self, now):
        """Return the seconds until the next request may be sent."""
        if self.rate <= 0:
            return MAX_WAIT_S
        return max(0.0, self.due_at - self._tolerance_s - now)

    def issue(self, now):
        """Issue a permit for the time after `wait_s`."""
        self.due_at = max(self.due_at, now) + self._interval_s

    def change_rate(self, rate, burst_s, now):
        """Change the limit; what was issued stays issued."""
        if (rate, burst_s) == (self.rate, self.burst_s):
            return
        wait_s = self.wait_s(now)
        self.rate = rate
        self.burst_s = burst_s
        self.due_at = now + wait_s + self._tolerance_s


class Issuer:
    """Issues permits for endpoints that this instance is responsible for.

    Parameters
    ----------
    rng : random.Random, optional
        Delays the first permit for an endpoint by a random part of the time
        between permits.  Many instances that each issue a share would
        otherwise all issue one at once.

    Examples
    --------
    >>> issuer = Issuer()
    >>> ask = PermitRequest("e@1", 2.0, 0.0, "edge-1")
    >>> issuer.issue(ask, 0.0).is_granted
    True
    >>> issuer.issue(ask, 0.0)
    Permit(is_granted=False, wait_s=0.5, retry_s=0.5)
    >>> issuer.issue(ask._replace(max_wait_s=1.0), 0.0)
    Permit(is_granted=True, wait_s=0.5, retry_s=0.0)
    """

    def __init__(self, *, rng=None):
        self._rng = rng
        self._schedules = {}

    def issue(self, request, now):
        """Return the `Permit` for a request, granted or not."""
        schedule = self._schedule(request, now)
        schedule.used_at = now
        schedule.asked_at[request.asker] = now
        wait_s = schedule.wait_s(now)
        if wait_s <= request.max_wait_s and request.rate > 0:
            schedule.issue(now)
            return Permit(True, wait_s)
        askers = self._count_askers(schedule, now)
        retry_s = max(wait_s, (askers - 1) / MAX_ASKS_PER_S)
        return Permit(False, min(wait_s, MAX_WAIT_S), min(retry_s, MAX_WAIT_S))

    def _schedule(self, request, now):
        schedule = self._schedules.get(request.endpoint)
        if schedule is None:
            self._forget_idle(now)
            delay = 0.0 if self._rng is None else self._rng.random()
            schedule = _Schedule(
                rate=request.rate,
                burst_s=request.burst_s,
                now=now,
                delay=delay,
            )
            self._schedules[request.endpoint] = schedule
        schedule.change_rate(request.rate, request.burst_s, now)
        return schedule

    def _forget_idle(self, now):
        self._schedules = {
            key: each
            for key, each in self._schedules.items()
            if now - each.used_at < IDLE_S
        }

    @staticmethod
    def _count_askers(schedule, now):
        schedule.asked_at = {
            name: at
            for name, at in schedule.asked_at.items()
            if now - at < ASKER_TTL_S
        }
        return len(schedule.asked_at)
