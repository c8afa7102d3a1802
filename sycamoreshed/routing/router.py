"""Selects the endpoint for a stage and logs the decision."""

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
    """Selects endpoints by the policy named in the settings.

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
        self._decision_count = 0
        self._prefixes = prefixes.PrefixHistory()
        self.loads = loads.Loads(
            reports=lambda: membership.load_reports, hedging=settings.hedging
        )

    def choose(self, request, stage, now, *, avoid=(), prefix=None):
        """Select an endpoint for a stage.

        Parameters
        ----------
        request : Request
        stage : StageSpec
        now : float
            Monotonic seconds.
        avoid : collection of str
            Endpoint names to use only if there is no other candidate.
        prefix : str, optional

        Returns
        -------
        Endpoint or None
        """
        candidates = self._membership.candidates(
            request.config, stage["service"], now
        )
        available = candidates
        if avoid:
            fresh = [item for item in candidates if item.name not in avoid]
            available = fresh or candidates
        choice = None
        if available:
            context = self._context(request, stage, now, prefix)
            choice = self._policy(available, context, now)
        self._log_decision(request, stage, available, choice, now)
        return choice

    def record_result(self, endpoint, call, result, started_at, now):
        """Record the result of a call, for later choices.

        Parameters
        ----------
        endpoint : Endpoint
        call : Call
        result : StageAnswer, Failure or None
            None if the call was cancelled.
        started_at, now : float
            Monotonic seconds.
        """
        self.loads.record_end(endpoint)
        completed = isinstance(result, adapters.StageAnswer)
        rejected = isinstance(result, kinds.Failure) and not result.sent
        if not rejected:
            self.loads.observe_time(
                endpoint, now - started_at, now, completed=completed
            )
        if completed:
            self.loads.observe_bytes(call.stage, result.size)

    def _context(self, request, stage, now, prefix):
        self._decision_count += 1
        hour = self._tariff.get("hour")
        if hour is None:
            hour = self._hour()
        return policies.RoutingContext(
            zone=self._settings.zone,
            region=self._settings.region,
            prefix=prefix,
            loads=self.loads,
            budget_s=request.deadline - now,
            transfer_bytes=self.loads.expected_bytes(stage["name"]),
            prices=tariffs.prices_at(self._tariff, hour),
            adapter=stage.get("adapter"),
            cache_probability=0.0
            if prefix is None
            else self._prefixes.hit_probability(prefix),
            decision_count=self._decision_count,
        )

    def _log_decision(self, request, stage, available, choice, now):
        self._log.write(
            now,
            "route",
            request=request.id,
            team=request.team,
            stage=stage["name"],
            candidates=len(available),
            choice=choice.name if choice else None,
            why=self._settings.routing if choice else "no candidate",
        )


@kernel.plugin("router", needs=("decisions", "membership", "notes"))
async def router(core):
    """Provide the `Router` of this instance."""
    notes = core.part("notes")
    part = Router(
        settings=core.settings,
        membership=core.part("membership"),
        log=core.part("decisions"),
    )

    def retain_current():
        groups = notes.config.endpoints.values()
        part.loads.retain({item.name for group in groups for item in group})

    notes.on_change(retain_current)
    yield part
