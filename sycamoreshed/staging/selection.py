"""Selects the zone in which a request's stages run.

Answers to the load of several zones: by the backlogs that zones reported
lately, the way to them, and the results that would cross zones.
"""

import typing

from sycamoreshed.staging import pieces

__all__ = ["ZoneSelector"]

# Time to live of a zone's reported backlog.
BACKLOG_TTL_S = 1.0
# Among zones with usable endpoints for equally many services, one farther away
# is selected only if its backlog is shorter by this for each step of distance.
DISTANCE_COST_S = 0.04
# And by this for each megabyte of results that would cross zones: this traffic
# is paid for.
TRANSFER_COST_S_PER_MB = 0.04
MB = 1e6


class _BacklogReport(typing.NamedTuple):
    backlog_s: dict
    reported_at: float


class ZoneSelector:
    """Ranks zones for the jobs of one instance.

    Parameters
    ----------
    catalog : Catalog
    residency : Residency
    placer : Placer
    health : Health
    """

    def __init__(self, *, catalog, residency, placer, health):
        self._catalog = catalog
        self._residency = residency
        self._placer = placer
        self._health = health
        self._backlog_reports = {}

    def choose(self, job, now, engine_zone, avoid=(), regions=None):
        """Return the zone in which a job should run, or None.

        None if a service has no endpoint that the job may use.

        Parameters
        ----------
        job : Job
        now : float
        engine_zone : str
            Zone of the engine that will fetch the results.
        avoid : collection of str
            Zones where it failed, used only if there are no others.
        regions : frozenset of str or None
            Regions in which it may run; None for all.
        """
        names = {s.service for s in job.stages if s.count}
        usable_by_zone = {}
        for name in names:
            allowed = [
                each
                for each in self._catalog.endpoints(name, now)
                if self._residency.allows(regions, each.zone)
            ]
            if not allowed:
                return None
            for each in allowed:
                usable = not self._health.is_avoided(each, now)
                services = usable_by_zone.setdefault(each.zone, {})
                services[name] = services.get(name, False) or usable
        candidates = [
            zone for zone in usable_by_zone if zone not in avoid
        ] or list(usable_by_zone)
        final = pieces.final_stages(job.stages)
        size = sum(
            job.stages[i].result_bytes * job.stages[i].count for i in final
        )

        def cost(zone):
            usable_count = sum(usable_by_zone[zone].values())
            distance = self._placer.distance(zone)
            wait_s = (
                self._backlog_s(zone, names, now) + DISTANCE_COST_S * distance
            )
            if zone != engine_zone:
                wait_s += TRANSFER_COST_S_PER_MB * size / MB
            # A zone that lacks a usable endpoint of a service comes later:
            # its queue would use an endpoint of another zone, in competition
            # with the queue there.
            return -usable_count, wait_s, zone

        return min(candidates, key=cost, default=None)

    def rest_s(self, job, now):
        """Return the seconds until a service of a job rests no more, or 0.

        Parameters
        ----------
        job : Job
        now : float
        """
        waits_s = [0.0]
        for name in {s.service for s in job.stages if s.count}:
            resting = self._catalog.resting(name, now)
            if resting and not self._catalog.endpoints(name, now):
                waits_s.append(min(rest_s for _, rest_s in resting))
        return max(waits_s)

    def record_backlog(self, zone, backlog_s, now):
        """Record the backlog that a zone reported.

        Parameters
        ----------
        zone : str
        backlog_s : dict of str to float
            By service, seconds until its queued work could be done.
        now : float
        """
        self._backlog_reports[zone] = _BacklogReport(backlog_s, now)

    def _backlog_s(self, zone, names, now):
        report = self._backlog_reports.get(zone)
        if report is None or now - report.reported_at > BACKLOG_TTL_S:
            return 0.0
        # Since the report, the zone has worked on its backlog.
        backlog_s = max(
            (report.backlog_s.get(n, 0.0) for n in names), default=0.0
        )
        return max(0.0, backlog_s - (now - report.reported_at))
