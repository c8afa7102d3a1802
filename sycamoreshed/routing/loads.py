"""What an instance knows of each endpoint's load and speed."""

import collections
import math
import typing

from sycamoreshed.routing import estimates

__all__ = ["Loads", "NO_REPORTS"]

OLDEST_REPORT_S = 10.0
LEVEL_WEIGHT = 0.1
SIZE_WEIGHT = 0.1
SLOW_FROM = 1.5
# A second call saves nothing below this, and after a few calls nobody
# can tell what is unusual: a pause of the machine would double traffic.
LEAST_PATIENCE_S = 0.1
LEAST_KNOWN = 10
# How much longer a call takes when all slots are taken; it also makes
# the least loaded the choice among those that have a free slot.
FULL_BATCH = 0.5
FIRST_SECONDS = 0.05
NO_REPORTS = {}


class _Known(typing.NamedTuple):
    """A report, and our own calls in flight when it was measured."""

    measured: float
    others: float


class Loads:
    """Own calls in flight, lagged reports, and measured times.

    Parameters
    ----------
    reports : callable, optional
        Returns reports by endpoint name: a dictionary with ``running``
        and ``waiting``, and the monotonic time it was measured at.
    hedging : bool
        Whether a slow attempt may be followed by another.
    """

    def __init__(self, *, reports=lambda: NO_REPORTS, hedging=True):
        self._hedging = hedging
        self._reports = reports
        self._in_flight = collections.Counter()
        self._known = {}
        self._times = {}
        self._services = {}
        self._levels = {}
        self._firsts = {}
        self._sizes = {}

    def record_start(self, endpoint):
        """Count a call of our own."""
        self._in_flight[endpoint.name] += 1

    def record_end(self, endpoint):
        """Count a call of our own as over."""
        self._in_flight[endpoint.name] -= 1
        if not self._in_flight[endpoint.name]:
            del self._in_flight[endpoint.name]

    def observe(self, endpoint, seconds, now, *, whole):
        """Take in how long a call took.

        Parameters
        ----------
        endpoint : Endpoint
        seconds : float
        now : float
            Monotonic seconds.
        whole : bool
            False if it was given up: then it would have taken longer, so
            it counts only if it was slow already.
        """
        crowd = max(1.0, self.utilization(endpoint, now))
        alone = seconds / crowd
        name = endpoint.name
        if not whole and alone < (self._mean_of(endpoint, now) or 0.0):
            return
        if name not in self._times:
            self._times[name] = estimates.Estimate()
        self._times[name].add(alone, now)
        if whole:
            service = endpoint.service
            if service not in self._services:
                self._services[service] = estimates.Estimate()
            self._services[service].add(alone, now)

    def observe_first_output(self, endpoint, seconds, now):
        """Take in how long the first byte of an answer took."""
        firsts = self._firsts.get(endpoint.service)
        if firsts is None:
            firsts = self._firsts[endpoint.service] = estimates.Estimate()
        firsts.add(seconds, now)

    def hedge_delay_s(self, endpoint, now):
        """Return seconds after which no answer yet is unusual, or None."""
        firsts = self._firsts.get(endpoint.service)
        if firsts is None or not self._hedging:
            return None
        if firsts.count < LEAST_KNOWN:
            return None
        return max(LEAST_PATIENCE_S, firsts.unusual())

    def observe_size(self, stage, size):
        """Take in the bytes a stage's call sent and received."""
        old = self._sizes.get(stage, size)
        self._sizes[stage] = old + SIZE_WEIGHT * (size - old)

    def size(self, stage):
        """Return the bytes expected of a stage's call."""
        return self._sizes.get(stage, 0.0)

    def utilization(self, endpoint, now):
        """Return calls in flight as a share of the endpoint's slots.

        Notes
        -----
        A report counts all callers and lags, so our own calls of its
        time are taken off it and our present ones are added.  What it
        said of others holds for about as long as a call takes; then it
        is taken to be as with the service's other endpoints.  Were it
        taken to fall to nothing, every instance would send to whichever
        endpoint was heard of longest ago.
        """
        own = self._in_flight.get(endpoint.name, 0) / endpoint.slots
        report = self._reports().get(endpoint.name)
        if report is None or now - report[1] > OLDEST_REPORT_S:
            return own
        others = self._others(endpoint, report, own)
        level = self._levels[endpoint.service]
        age = max(0.0, now - report[1])
        weight = 0.5 ** (age / self._call_time(endpoint.service, now))
        return own + level + (others - level) * weight

    def seconds(self, endpoint, now):
        """Return the time one more call is expected to take."""
        alone = self._mean_of(endpoint, now)
        if alone is None:
            alone = FIRST_SECONDS
        load = self.utilization(endpoint, now) + 1.0 / endpoint.slots
        return alone * (1.0 + FULL_BATCH * load + max(0.0, load - 1.0))

    def adapters(self, endpoint):
        """Return the adapters an endpoint reported, or None."""
        report = self._reports().get(endpoint.name)
        return report[0].get("adapters") if report else None

    def forget(self, names):
        """Drop what is held for endpoints other than `names`."""
        for held in (self._known, self._times):
            for name in set(held) - names:
                del held[name]

    def _others(self, endpoint, report, own):
        """Return others' share of the slots when it was reported."""
        body, measured = report
        known = self._known.get(endpoint.name)
        if known is None or known.measured != measured:
            total = body.get("running", 0) + body.get("waiting", 0)
            others = max(0.0, total / endpoint.slots - own)
            known = _Known(measured, others)
            self._known[endpoint.name] = known
            level = self._levels.get(endpoint.service, others)
            level += LEVEL_WEIGHT * (others - level)
            self._levels[endpoint.service] = level
        return known.others

    def _call_time(self, service, now):
        times = self._services.get(service)
        return times.mean(now, fading=False) if times else FIRST_SECONDS

    def _mean_of(self, endpoint, now):
        """Return the time of a call alone, or None if none is known.

        Notes
        -----
        An endpoint that was found slow is not called, so nothing would
        be measured there ever again; its estimate moves to that of its
        service as it gets older.
        """
        service = self._services.get(endpoint.service)
        usual = service.mean(now, fading=False) if service else None
        times = self._times.get(endpoint.name)
        if times is None:
            return usual
        own = times.mean(now, fading=False)
        if usual is None:
            return own
        if own <= usual * SLOW_FROM:
            # Differences this small are noise, and following them sends
            # all callers to whichever endpoint was lucky lately.
            return usual
        faded = math.log(own / usual) * times.weight(now)
        return usual * math.exp(faded)
