"""Selection of usable endpoints, and the number of live instances."""

from sycamoreshed.kernel import kernel
from sycamoreshed.membership import health
from sycamoreshed.membership import listpoller
from sycamoreshed.membership import members
from sycamoreshed.membership import outliers
from sycamoreshed.membership import probing

__all__ = ["Membership"]


class Membership:
    """Determines which endpoints may get new calls.

    Parameters
    ----------
    notes : Notes
    gossip : Gossip
    outliers : OutlierDetector
    poller : InstanceListPoller
    prober : Prober
    """

    def __init__(self, *, notes, gossip, outliers, poller, prober):
        self._notes = notes
        self._gossip = gossip
        self._outliers = outliers
        self._poller = poller
        self._prober = prober
        self._excluded = None
        notes.on_change(self._drop_withdrawn)

    @property
    def load_reports(self):
        """Load reports by endpoint: (report, monotonic seconds)."""
        return self._prober.reports

    def candidates(self, config, service, now):
        """Return the endpoints of a service that may get new calls.

        Parameters
        ----------
        config : Config
            The version under which the request was admitted.
        service : str
        now : float
            Monotonic seconds.

        Returns
        -------
        list of Endpoint

        Notes
        -----
        A request keeps its version, but an endpoint that was withdrawn
        since then, or is leaving, gets no new calls from it either.
        Including an ejected endpoint because its trial is due starts that
        trial.
        """
        present = self._configured(config, service)
        present = self._in_reachable_zones(present, now)
        present = self._without_excluded(present, now)
        ejected = self._outliers.ejected
        if ejected.isdisjoint(item.name for item in present):
            return present
        exempt = health.exempt(
            [item.name for item in present], self._outliers.records
        )
        return [
            item
            for item in present
            if item.name not in ejected
            or item.name in exempt
            or self._claim_trial(item.name, now)
        ]

    def exclude(self, func):
        """Set the function that names engines to exclude from new calls.

        Parameters
        ----------
        func : callable
            Takes the current time, returns names of engines that are
            loading; these get calls only if no other endpoint is left.
        """
        self._excluded = func

    def live_instances(self, now):
        """Return the numbers of live entry instances.

        Returns
        -------
        InstanceCounts
            Total and counts by zone; unreachable zones are absent.

        Notes
        -----
        The result is not cached: call it about once a second, not for
        each request.
        """
        leaving = self._poller.leaving
        return members.count(
            [
                item
                for item in self._gossip.view.alive(now)
                if item.name not in leaving
            ]
        )

    def report(self, endpoint, *, ok, now, seconds=None):
        """Record the outcome of one call, unless the endpoint is withdrawn.

        Parameters
        ----------
        endpoint : Endpoint
        ok : bool
        now : float
            Monotonic seconds.
        seconds : float, optional
            Time of the call; without it slowness is not detected.
        """
        group = self._notes.config.endpoints.get(endpoint.service, ())
        names = [item.name for item in group]
        if endpoint.name in names:
            self._outliers.record_outcome(
                endpoint, names, ok=ok, seconds=seconds, now=now
            )

    def _configured(self, config, service):
        items = config.endpoints.get(service, ())
        current = self._notes.config
        if config is not current:
            names = {item.name for item in current.endpoints.get(service, ())}
            items = [item for item in items if item.name in names]
        leaving = self._poller.leaving
        return [item for item in items if item.name not in leaving]

    def _in_reachable_zones(self, present, now):
        """Leave out unreachable zones, unless no others are left."""
        unreachable = self._gossip.view.unreachable_zones(now)
        if not unreachable:
            return present
        reachable = [item for item in present if item.zone not in unreachable]
        return reachable or present

    def _without_excluded(self, present, now):
        """Leave out loading engines, unless no others are left."""
        names = self._excluded(now) if self._excluded else None
        if not names:
            return present
        remaining = [item for item in present if item.name not in names]
        return remaining or present

    def _claim_trial(self, name, now):
        if not self._outliers.is_trial_due(name, now):
            return False
        self._outliers.start_trial(name, now)
        return True

    def _drop_withdrawn(self):
        names = {
            item.name
            for group in self._notes.config.endpoints.values()
            for item in group
        }
        self._outliers.retain(names)
        for name in list(self._prober.reports):
            if name not in names:
                del self._prober.reports[name]


@kernel.plugin(
    "membership",
    needs=(
        "decisions",
        "endpoints",
        "gossip",
        "instance_list",
        "metrics",
        "notes",
    ),
)
async def membership(core):
    """Provide the choice of usable endpoints and the live instances."""
    gossip = core.part("gossip")
    notes = core.part("notes")
    detector = outliers.OutlierDetector(
        gossip=gossip,
        instance=core.settings.instance,
        log=core.part("decisions"),
    )
    poller = listpoller.InstanceListPoller(
        settings=core.settings,
        source=core.part("instance_list"),
        notes=notes,
        gossip=gossip,
        clock=core.clock,
    )
    prober = probing.Prober(
        settings=core.settings,
        notes=notes,
        gossip=gossip,
        outliers=detector,
        client=core.part("endpoints"),
        metrics=core.part("metrics"),
        clock=core.clock,
    )
    core.keep_running(poller.run, name="instance list")
    core.keep_running(prober.run, name="watching")
    yield Membership(
        notes=notes,
        gossip=gossip,
        outliers=detector,
        poller=poller,
        prober=prober,
    )
    await prober.stop()
