"""Admission: which request may run here, and in what order."""

import functools
import itertools

from sycamoreshed.admission import fairqueue
from sycamoreshed.admission import gate as gates
from sycamoreshed.admission import limiters
from sycamoreshed.admission import limits
from sycamoreshed.kernel import kernel

__all__ = ["Admission", "gate_service"]

DEFAULT_WEIGHT = 1.0


def gate_service(config, pipeline):
    """Return the service whose slots bound a pipeline.

    Notes
    -----
    That is its first engine, since engines are what is scarce, else the
    service of its first stage.  Requests are held back before their
    first stage and not between stages: what is refused there has cost
    nothing and truly did not run.
    """
    stages = config.sections["pipelines"][pipeline]["stages"]
    services = config.sections["services"]
    for stage in stages:
        if services[stage["service"]]["kind"] == "engine":
            return stage["service"]
    return stages[0]["service"]


class Admission:
    """A gate for each service, and the teams' limits before them.

    Parameters
    ----------
    settings : Settings
    limits : Limits or None
        None for no limits.
    live_count : callable
        Takes monotonic seconds, returns the number of live instances.
    clock : callable
    """

    def __init__(self, *, settings, live_count, clock, limits=None):
        self._settings = settings
        self._limits = limits
        self._live_count = live_count
        self._clock = clock
        self._gates = {}
        self._numbers = itertools.count()

    @property
    def in_flight(self):
        """Requests running or waiting."""
        return sum(
            gate.running + gate.waiting for gate in self._gates.values()
        )

    async def acquire(self, request, now):
        """Wait for a slot.

        Parameters
        ----------
        request : Request
        now : float
            Monotonic seconds.

        Returns
        -------
        Ticket or Failure
            A failure is returned at once when waiting would be in vain.
        """
        service = gate_service(request.config, request.pipeline)
        gate = self._gate(service)
        slots = _slots(request.config, service)
        gate.limiter.resize(slots, self._live_count(now))
        entry = self._entry(request, gate, now)
        refusal = gate.refusal(entry, request.deadline, now)
        if refusal is None:
            refusal = self._over_limit(request, now)
        if refusal is not None:
            return refusal
        seconds = request.spec["deadline_ms"] / 1000
        return await gate.acquire(entry, seconds, now)

    def release(self, ticket, now):
        """Give a slot back."""
        ticket.gate.release(ticket, now)

    def _over_limit(self, request, now):
        spec = request.config.entry("teams", request.team)
        if self._limits is None or spec is None:
            return None
        return self._limits.check(request.team, spec, now)

    def _entry(self, request, gate, now):
        team = request.config.entry("teams", request.team) or {}
        # Begun later than this it would most likely end late, and have
        # taken a slot from one that would not.
        need = gate.run_time(request.pipeline).upper_bound(now)
        return fairqueue.Entry(
            request=request.id,
            team=request.team,
            pipeline=request.pipeline,
            weight=team.get("weight", DEFAULT_WEIGHT),
            rank=(request.priority, request.deadline, next(self._numbers)),
            give_up=request.deadline - need,
        )

    def _gate(self, service):
        gate = self._gates.get(service)
        if gate is None:
            settings = self._settings
            limiter = limiters.LIMITERS.get(settings.limiter)
            gate = self._gates[service] = gates.Gate(
                queue=fairqueue.ORDERS.get(settings.fairness)(),
                limiter=limiter(most=settings.slots),
                most=settings.queue,
                clock=self._clock,
                estimating=settings.limiter != "fixed",
            )
        return gate


@functools.lru_cache(maxsize=256)
def _total_slots(endpoints):
    return sum(endpoint.slots for endpoint in endpoints)


def _slots(config, service):
    return max(1, _total_slots(config.endpoints.get(service, ())))


@kernel.plugin("admission", needs=("limits", "membership"))
async def admission(core):
    """Provide admission."""
    yield Admission(
        settings=core.settings,
        limits=core.part("limits"),
        live_count=limits.LiveCount(membership=core.part("membership")),
        clock=core.clock,
    )
