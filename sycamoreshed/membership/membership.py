"""Which endpoints may get new work, and which instances are live."""

from sycamoreshed.kernel import kernel
from sycamoreshed.membership import evidence
from sycamoreshed.membership import health
from sycamoreshed.membership import listing
from sycamoreshed.membership import members
from sycamoreshed.membership import watching

__all__ = ["Membership"]


class Membership:
    """Decides, for each choice anew, who may be chosen.

    Parameters
    ----------
    notes : Notes
    gossip : Gossip
    evidence : Evidence
    listing : Listing
    watching : Watching
    """

    def __init__(self, *, notes, gossip, evidence, listing, watching):
        self._notes = notes
        self._gossip = gossip
        self._evidence = evidence
        self._listing = listing
        self._watching = watching
        self._withheld = None
        notes.on_change(self._forget)

    @property
    def load_reports(self):
        """Load reports by endpoint: (report, monotonic seconds)."""
        return self._watching.reports

    def candidates(self, config, service, now):
        """Return the endpoints of a service that may get new work.

        Parameters
        ----------
        config : Config
            The version the request was admitted under.
        service : str
        now : float
            Monotonic seconds.

        Returns
        -------
        list of Endpoint

        Notes
        -----
        A request keeps its version, but an endpoint that was withdrawn
        since, or is leaving, gets nothing new from it either.
        """
        present = self._present(config, service)
        present = self._in_reach(present, now)
        present = self._without_withheld(present, now)
        out = self._evidence.out
        if out.isdisjoint(item.name for item in present):
            return present
        kept = health.keep(
            [item.name for item in present], self._evidence.records
        )
        return [
            item
            for item in present
            if item.name not in out
            or item.name in kept
            or self._is_due(item.name, now)
        ]

    def exclude(self, func):
        """Give nothing new to endpoints that a function names.

        Parameters
        ----------
        func : callable
            Takes the present time, returns names of engines that load.
        """
        self._withheld = func

    def live_instances(self, now):
        """Return how many entry instances are alive, and by zone.

        Returns
        -------
        Live
            Total and counts by zone; zones out of reach have none.
            Made anew each time: for once a second, not for each request.
        """
        leaving = self._listing.leaving
        return members.count(
            [
                item
                for item in self._gossip.view.alive(now)
                if item.name not in leaving
            ]
        )

    def report(self, endpoint, *, ok, now, seconds=None):
        """Take in the outcome of one call.

        Parameters
        ----------
        endpoint : Endpoint
        ok : bool
        now : float
            Monotonic seconds.
        seconds : float, optional
            Time of the call; without it slowness goes unnoticed.
        """
        group = self._notes.config.endpoints.get(endpoint.service, ())
        names = [item.name for item in group]
        if endpoint.name in names:
            self._evidence.outcome(
                endpoint, names, ok=ok, seconds=seconds, now=now
            )

    def _present(self, config, service):
        items = config.endpoints.get(service, ())
        current = self._notes.config
        if config is not current:
            names = {item.name for item in current.endpoints.get(service, ())}
            items = [item for item in items if item.name in names]
        leaving = self._listing.leaving
        return [item for item in items if item.name not in leaving]

    def _in_reach(self, present, now):
        """Leave out zones out of reach, unless none else is left."""
        lost = self._gossip.view.lost_zones(now)
        if not lost:
            return present
        near = [item for item in present if item.zone not in lost]
        return near or present

    def _without_withheld(self, present, now):
        """Leave out engines that load, unless none else is left."""
        names = self._withheld(now) if self._withheld else None
        if not names:
            return present
        kept = [item for item in present if item.name not in names]
        return kept or present

    def _is_due(self, name, now):
        if not self._evidence.may_use(name, now):
            return False
        self._evidence.begin_trial(name, now)
        return True

    def _forget(self):
        names = {
            item.name
            for group in self._notes.config.endpoints.values()
            for item in group
        }
        self._evidence.forget(names)
        for name in list(self._watching.reports):
            if name not in names:
                del self._watching.reports[name]


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
    """Provide evidence about endpoints and live instances."""
    gossip = core.part("gossip")
    notes = core.part("notes")
    seen = evidence.Evidence(
        gossip=gossip,
        instance=core.settings.instance,
        log=core.part("decisions"),
    )
    reader = listing.Listing(
        settings=core.settings,
        source=core.part("instance_list"),
        notes=notes,
        gossip=gossip,
        clock=core.clock,
    )
    watcher = watching.Watching(
        settings=core.settings,
        notes=notes,
        gossip=gossip,
        evidence=seen,
        client=core.part("endpoints"),
        metrics=core.part("metrics"),
        clock=core.clock,
    )
    core.spawn(reader.run(), name="instance list")
    core.spawn(watcher.run(), name="watching")
    yield Membership(
        notes=notes,
        gossip=gossip,
        evidence=seen,
        listing=reader,
        watching=watcher,
    )
    await watcher.stop()
