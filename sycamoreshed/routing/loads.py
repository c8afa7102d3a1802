"""Load and speed of each endpoint, as seen by this instance."""

import collections
import math
import typing

from sycamoreshed.routing import estimates

__all__ = ["Loads", "NO_REPORTS"]

MAX_REPORT_AGE_S = 10.0
SERVICE_LOAD_WEIGHT = 0.1
BYTES_WEIGHT = 0.1
SLOW_RATIO = 1.5
# A hedge after a shorter delay saves nothing.  With fewer measurements it is
# unclear which delay is unusual: a pause of the machine would double the
# traffic.
MIN_HEDGE_DELAY_S = 0.1
MIN_MEASUREMENTS = 10
# Relative increase of a call's time when all slots are in use.  It also makes
# the least loaded of the endpoints that have a free slot preferable.
FULL_LOAD_SLOWDOWN = 0.5
INITIAL_CALL_TIME_S = 0.05
NO_REPORTS = {}


class _ReportedLoad(typing.NamedTuple):
    """Load by other callers, derived from a report, as a share of slots."""

    measured_at: float
    others: float


class Loads:
    """Combines own calls in flight, lagged reports and measured times.

    Parameters
    ----------
    reports : callable, optional
        Returns reports by endpoint name: a dictionary with ``running``
        and ``waiting``, and the monotonic time of the measurement.
    hedging : bool
        Whether a second call may be sent while a slow one is pending.
    """

    def __init__(self, *, reports=lambda: NO_REPORTS, hedging=True):
        self._hedging = hedging
        self._reports = reports
        self._in_flight = collections.Counter()
        self._reported_loads = {}
        self._endpoint_times = {}
        self._service_times = {}
        self._service_loads = {}
        self._first_output_times = {}
        self._call_bytes = {}

    def record_start(self, endpoint):
        """Count a call of this instance as in flight."""
        self._in_flight[endpoint.name] += 1

    def record_end(self, endpoint):
        """Count a call of this instance as ended."""
        self._in_flight[endpoint.name] -= 1
        if not self._in_flight[endpoint.name]:
            del self._in_flight[endpoint.name]

    def observe_time(self, endpoint, seconds, now, *, completed):
        """Add the measured duration of a call.

        Parameters
        ----------
        endpoint : Endpoint
        seconds : float
        now : float
            Monotonic seconds.
        completed : bool
            False if the call was cancelled or failed.  It would have taken
            longer, so it counts only if it was slow already.
        """
        load_factor = max(1.0, self.utilization(endpoint, now))
        unloaded_s = seconds / load_factor
        name = endpoint.name
        if not completed and unloaded_s < (
            self._unloaded_time_s(endpoint, now) or 0.0
        ):
            return
        if name not in self._endpoint_times:
            self._endpoint_times[name] = estimates.Estimate()
        self._endpoint_times[name].add(unloaded_s, now)
        if completed:
            service = endpoint.service
            if service not in self._service_times:
                self._service_times[service] = estimates.Estimate()
            self._service_times[service].add(unloaded_s, now)

    def observe_first_output(self, endpoint, seconds, now):
        """Add the time to the first chunk of a stream or a unary answer."""
        estimate = self._first_output_times.get(endpoint.service)
        if estimate is None:
            estimate = self._first_output_times[endpoint.service] = (
                estimates.Estimate()
            )
        estimate.add(seconds, now)

    def hedge_delay_s(self, endpoint, now):
        """Return after how many seconds to hedge a call, or None for never."""
        estimate = self._first_output_times.get(endpoint.service)
        if estimate is None or not self._hedging:
            return None
        if estimate.count < MIN_MEASUREMENTS:
            return None
        return max(MIN_HEDGE_DELAY_S, estimate.outlier_threshold())

    def observe_bytes(self, stage, call_bytes):
        """Add the bytes that a call of a stage sent and received."""
        old = self._call_bytes.get(stage, call_bytes)
        self._call_bytes[stage] = old + BYTES_WEIGHT * (call_bytes - old)

    def expected_bytes(self, stage):
        """Return the bytes a call of a stage is expected to transfer."""
        return self._call_bytes.get(stage, 0.0)

    def utilization(self, endpoint, now):
        """Return calls in flight as a share of the endpoint's slots.

        Notes
        -----
        A report counts the calls of all callers and lags, so the calls of
        this instance at the first use of the report are subtracted and its
        current ones are added.  The load by other callers decays to the
        average of the service's endpoints, with the mean time of a call as
        half-life.  If it decayed to zero, every instance would send to the
        endpoint with the oldest report.
        """
        own = self._in_flight.get(endpoint.name, 0) / endpoint.slots
        report = self._reports().get(endpoint.name)
        if report is None or now - report[1] > MAX_REPORT_AGE_S:
            return own
        others = self._others(endpoint, report, own)
        service_load = self._service_loads[endpoint.service]
        age = max(0.0, now - report[1])
        weight = 0.5 ** (age / self._call_time_s(endpoint.service, now))
        return own + service_load + (others - service_load) * weight

    def expected_time_s(self, endpoint, now):
        """Return the seconds that one more call is expected to take."""
        unloaded_s = self._unloaded_time_s(endpoint, now)
        if unloaded_s is None:
            unloaded_s = INITIAL_CALL_TIME_S
        load = self.utilization(endpoint, now) + 1.0 / endpoint.slots
        return unloaded_s * (
            1.0 + FULL_LOAD_SLOWDOWN * load + max(0.0, load - 1.0)
        )

    def adapters(self, endpoint):
        """Return the loaded adapters in an endpoint's report, or None."""
        report = self._reports().get(endpoint.name)
        return report[0].get("adapters") if report else None

    def retain(self, names):
        """Drop the state of all endpoints except `names`."""
        for cache in (self._reported_loads, self._endpoint_times):
            for name in set(cache) - names:
                del cache[name]

    def _others(self, endpoint, report, own):
        """Return the load by other callers in a report."""
        body, measured_at = report
        reported = self._reported_loads.get(endpoint.name)
        if reported is None or reported.measured_at != measured_at:
            total = body.get("running", 0) + body.get("waiting", 0)
            others = max(0.0, total / endpoint.slots - own)
            reported = _ReportedLoad(measured_at, others)
            self._reported_loads[endpoint.name] = reported
            service_load = self._service_loads.get(endpoint.service, others)
            service_load += SERVICE_LOAD_WEIGHT * (others - service_load)
            self._service_loads[endpoint.service] = service_load
        return reported.others

    def _call_time_s(self, service, now):
        times = self._service_times.get(service)
        return times.mean(now, decayed=False) if times else INITIAL_CALL_TIME_S

    def _unloaded_time_s(self, endpoint, now):
        """Return the time of a call without load, or None if unmeasured.

        Notes
        -----
        An endpoint that was measured as slow gets no calls, so it would
        never be measured again.  Therefore its estimate approaches that of
        its service with age.
        """
        service = self._service_times.get(endpoint.service)
        service_mean = service.mean(now, decayed=False) if service else None
        times = self._endpoint_times.get(endpoint.name)
        if times is None:
            return service_mean
        own = times.mean(now, decayed=False)
        if service_mean is None:
            return own
        if own <= service_mean * SLOW_RATIO:
            # Smaller differences are noise; following them would send all
            # callers to the endpoint with the luckiest recent calls.
            return service_mean
        log_ratio = math.log(own / service_mean) * times.weight(now)
        return service_mean * math.exp(log_ratio)
