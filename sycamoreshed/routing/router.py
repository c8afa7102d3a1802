"""Chooses an endpoint for a stage and writes the decision line."""

import datetime

from sycamoreshed.adapters import endpoints as adapters
from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel
from sycamoreshed.routing import loads
from sycamoreshed.routing import policies
from sycamoreshed.routing import prefixes
from sycamoreshed.routing import tariffs

__all__ = ["Router", "local_hour"]


def local_hour():
    """Return the hour of the day, from 0 to 24."""
    now = datetime.datetime.now()
    return now.hour + now.minute / 60


class Router:
    """Chooses endpoints by the policy the settings name.

    Parameters
    ----------
    settings : Settings
    membership : Membership
    log : DecisionLog
    hour : callable, optional
        Returns the hour of the day, for the tariff.
    """

    def __init__(self, *, settings, membership, log, hour=local_hour):
        self._settings = settings
        self._membership = membership
        self._log = log
        self._hour = hour
        self._policy = policies.POLICIES.get(settings.routing)
        self._tariff = settings.tariff or tariffs.DEFAULT
        self._turn = 0
        self._prefixes = prefixes.Prefixes()
        self.loads = loads.Loads(
            reports=lambda: membership.reports, hedging=settings.hedging
        )

    def choose(self, request, stage, now, *, avoid=(), prefix=None):
        """Choose an endpoint for a stage.

        Parameters
        ----------
        request : Request
        stage : StageSpec
        now : float
            Monotonic seconds.
        avoid : collection of str
            Names tried already; used again only if no other is left.
        prefix : str, optional

        Returns
        -------
        Endpoint or None
        """
        candidates = self._membership.candidates(
            request.config, stage["service"], now
        )
        usable = candidates
        if avoid:
            fresh = [item for item in candidates if item.name not in avoid]
            usable = fresh or candidates
        choice = None
        if usable:
            context = self._context(request, stage, now, prefix)
            choice = self._policy(usable, context, now)
        self._write(request, stage, usable, choice, now)
        return choice

    def record_result(self, endpoint, call, result, started_at, now):
        """Take in how a call ended, for later choices.

        Parameters
        ----------
        endpoint : Endpoint
        call : Call
        result : StageAnswer, Failure or None
            None if the call was given up.
        started_at, now : float
            Monotonic seconds.
        """
        self.loads.record_end(endpoint)
        whole = isinstance(result, adapters.StageAnswer)
        refused = isinstance(result, kinds.Failure) and not result.sent
        if not refused:
            self.loads.observe(endpoint, now - started_at, now, whole=whole)
        if whole:
            self.loads.observe_size(call.stage, result.size)

    def _context(self, request, stage, now, prefix):
        self._turn += 1
        hour = self._tariff.get("hour")
        if hour is None:
            hour = self._hour()
        return policies.RoutingContext(
            zone=self._settings.zone,
            region=self._settings.region,
            prefix=prefix,
            loads=self.loads,
            budget_s=request.deadline - now,
            crossing_bytes=self.loads.size(stage["name"]),
            worth=tariffs.worth_at(self._tariff, hour),
            adapter=stage.get("adapter"),
            cached=0.0 if prefix is None else self._prefixes.chance(prefix),
            turn=self._turn,
        )

    def _write(self, request, stage, usable, choice, now):
        self._log.write(
            now,
            "route",
            request=request.id,
            team=request.team,
            stage=stage["name"],
            candidates=len(usable),
            choice=choice.name if choice else None,
            why=self._settings.routing if choice else "no candidate",
        )


@kernel.plugin("router", needs=("decisions", "membership", "notes"))
async def router(core):
    """Provide the router."""
    notes = core.part("notes")
    part = Router(
        settings=core.settings,
        membership=core.part("membership"),
        log=core.part("decisions"),
    )

    def forget():
        groups = notes.config.endpoints.values()
        part.loads.forget({item.name for group in groups for item in group})

    notes.on_change(forget)
    yield part
