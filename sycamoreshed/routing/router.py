"""Chooses an endpoint for a stage and writes the decision line."""

from sycamoreshed.kernel import kernel
from sycamoreshed.routing import policies

__all__ = ["Loads", "Router"]


class Loads:
    """What is known of the load of each endpoint."""

    def __init__(self):
        self._in_flight = {}

    def begin(self, endpoint):
        """Count a call of our own."""
        count = self._in_flight.get(endpoint.name, 0)
        self._in_flight[endpoint.name] = count + 1

    def end(self, endpoint):
        """Count a call of our own as over."""
        count = self._in_flight[endpoint.name] - 1
        if count:
            self._in_flight[endpoint.name] = count
        else:
            del self._in_flight[endpoint.name]

    def estimate(self, endpoint, now):
        """Return the load as a share of slots."""
        return self._in_flight.get(endpoint.name, 0) / endpoint.slots


class Router:
    """Chooses endpoints by the policy the settings name."""

    def __init__(self, *, settings, membership, log):
        self._settings = settings
        self._membership = membership
        self._log = log
        self._policy = policies.POLICIES.get(settings.routing)
        self.loads = Loads()

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
        fresh = [item for item in candidates if item.name not in avoid]
        usable = fresh or candidates
        choice = None
        if usable:
            situation = policies.Situation(
                zone=self._settings.zone,
                region=self._settings.region,
                prefix=prefix,
                loads=self.loads,
            )
            choice = self._policy(usable, situation, now)
        self._write(request, stage, usable, choice, now)
        return choice

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


@kernel.plugin("router", needs=("decisions", "membership"))
async def router(core):
    """Provide the router."""
    yield Router(
        settings=core.settings,
        membership=core.part("membership"),
        log=core.part("decisions"),
    )
