"""Outlier detection from own calls and from reports of peers in the zone."""

import time

from sycamoreshed.membership import health
from sycamoreshed.membership import topics

__all__ = ["OutlierDetector"]

DOWN = "endpoint-down"
TALLY = "endpoint-tally"
MIN_PUBLISH_INTERVAL_S = 2.0
MIN_GRAY_CHECK_INTERVAL_S = 0.25
# An own successful call this recent outweighs a peer's report.
RECENT_SUCCESS_S = 3.0


@topics.topic(DOWN, zone_only=True, urgent=True)
def merge_down(stored, received):
    """Keep the newest report: wall clock (ms), observer, 1 if down."""
    return topics.newest(stored, received)


@topics.topic(TALLY, zone_only=True)
def merge_tally(stored, received):
    """Keep an observer's newest tally: wall clock (ms), calls, bad."""
    return topics.newest(stored, received)


class OutlierDetector:
    """Records the health of endpoints and ejects outliers.

    Parameters
    ----------
    gossip : Gossip
    instance : str
    log : DecisionLog
    wall : callable, optional
        Returns the wall clock in seconds; its stamps order the reports
        on an endpoint and the tallies of an observer.
    """

    def __init__(self, *, gossip, instance, log, wall=time.time):
        self._gossip = gossip
        self._instance = instance
        self._log = log
        self._wall = wall
        self._records = {}
        self._peer_tallies = {}
        self._published_at = {}
        self._checked_at = {}
        self._succeeded_at = {}
        self._ejected = set()
        gossip.on_record(DOWN, self._on_down)
        gossip.on_record(TALLY, self._on_tally)

    @property
    def ejected(self):
        """Names of ejected endpoints, including those on trial."""
        return self._ejected

    @property
    def records(self):
        """`EndpointHealth` by endpoint name."""
        return self._records

    def record_outcome(self, endpoint, endpoint_names, *, ok, seconds, now):
        """Record the outcome of one call; eject the endpoint if need be.

        Parameters
        ----------
        endpoint : Endpoint
        endpoint_names : list of str
            Names of the service's endpoints.
        ok : bool
        seconds : float or None
        now : float

        Notes
        -----
        During an ejection outcomes are ignored; after its end each counts
        as that of a trial call.
        """
        name = endpoint.name
        record = self._records.get(name, health.EndpointHealth())
        times = [
            self._records[item].smoothed_s
            for item in endpoint_names
            if item != name and item in self._records
        ]
        times = [item for item in times if item is not None]
        is_slow = ok and health.is_slow(seconds, times)
        if record.ejected_until is not None:
            if now >= record.ejected_until:
                self._end_trial(name, record, now, ok=ok and not is_slow)
            return
        record = health.record_call(
            record, now, ok=ok, seconds=seconds, slow=is_slow
        )
        self._store(name, record)
        if ok and not is_slow:
            self._succeeded_at[name] = now
            return
        self._publish_tally(name, record, now)
        if record.consecutive_failures >= health.CONSECUTIVE_FAILURES:
            self.eject(name, "failures in a row", now)
            self.report_down(name, True)
        elif self._is_gray(name, endpoint_names, now):
            self.eject(name, "out of line with the rest", now)

    def eject(self, name, reason, now):
        """Eject an endpoint unless it already is; log the reason."""
        record = self._records.get(name, health.EndpointHealth())
        if record.ejected_until is None:
            record = health.eject(record, now)
            self._store(name, record)
            self._log_change(name, record, reason, now)

    def is_trial_due(self, name, now):
        """Return whether a trial call to an ejected endpoint is due."""
        return health.can_try(self._records[name], now)

    def start_trial(self, name, now):
        """Start a trial call.

        Notes
        -----
        Until its outcome is known, no other trial call is due for
        `TRIAL_TIMEOUT_S`.
        """
        record = self._records[name]
        self._store(
            name, record._replace(next_trial_at=now + health.TRIAL_TIMEOUT_S)
        )

    def report_down(self, name, down):
        """Publish to the zone whether an endpoint is down.

        Notes
        -----
        A report that it is up replaces the earlier one, but ends no
        ejection.
        """
        stored = self._gossip.get(DOWN, name)
        if bool(stored and stored[2]) != down:
            value = [int(self._wall() * 1000), self._instance, int(down)]
            self._gossip.put(DOWN, name, value)

    def retain(self, names):
        """Remove the health state of all endpoints except those named."""
        for name in list(self._records):
            if name not in names:
                del self._records[name]
                self._ejected.discard(name)
                self._succeeded_at.pop(name, None)
                self._published_at.pop(name, None)
                self._checked_at.pop(name, None)
                self._gossip.view.drop(DOWN, name)
        for name in list(self._peer_tallies):
            if name not in names:
                del self._peer_tallies[name]

    def _end_trial(self, name, record, now, *, ok):
        record = health.record_trial(record, now, ok=ok)
        self._store(name, record)
        if record.ejected_until is None:
            self._log_change(name, record, "trial calls went well", now)
            self.report_down(name, False)

    def _log_change(self, name, record, reason, now):
        self._log.write(
            now,
            "return" if record.ejected_until is None else "eject",
            endpoint=name,
            choice=record.ejections,
            why=reason,
        )

    def _store(self, name, record):
        self._records[name] = record
        if record.ejected_until is None:
            self._ejected.discard(name)
        else:
            self._ejected.add(name)

    def _publish_tally(self, name, record, now):
        """Publish the tally of an endpoint with bad calls, rate limited."""
        if (
            now - self._published_at.get(name, -MIN_PUBLISH_INTERVAL_S)
            < MIN_PUBLISH_INTERVAL_S
        ):
            return
        self._published_at[name] = now
        tally = record.tally
        value = [
            int(self._wall() * 1000),
            round(tally.calls, 1),
            round(tally.bad, 1),
        ]
        self._gossip.put(TALLY, f"{name}|{self._instance}", value)

    def _on_down(self, name, value, now):
        down = bool(value[2])
        has_recent_success = (
            now - self._succeeded_at.get(name, -RECENT_SUCCESS_S)
            < RECENT_SUCCESS_S
        )
        if down and not has_recent_success:
            self.eject(name, f"told by {value[1]}", now)

    def _on_tally(self, key, value, now):
        name, _, observer = key.rpartition("|")
        tally = health.Tally(value[1], value[2], now)
        self._peer_tallies.setdefault(name, {})[observer] = tally

    def _is_gray(self, name, endpoint_names, now):
        # The check scans all endpoints of the service, so its rate is
        # limited instead of running it for each bad call.
        if (
            now - self._checked_at.get(name, -MIN_GRAY_CHECK_INTERVAL_S)
            < MIN_GRAY_CHECK_INTERVAL_S
        ):
            return False
        self._checked_at[name] = now
        instances = len(self._gossip.view.alive_in_zone(now))
        tally = self._pooled(name, instances, now)
        rest = [
            self._pooled(item, instances, now)
            for item in endpoint_names
            if item != name
        ]
        together = health.Tally(
            sum(item.calls for item in rest),
            sum(item.bad for item in rest),
            now,
        )
        return health.is_gray(tally, together)

    def _pooled(self, name, instances, now):
        own = self._records.get(name, health.EndpointHealth()).tally
        others = self._peer_tallies.get(name, {}).values()
        return health.pooled(own, others, instances, now)
