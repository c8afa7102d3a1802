"""Admission of requests, by rate limits and concurrency limits."""

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
    """Return the service whose slots limit a pipeline.

    Notes
    -----
    That is its first engine, since engines are the scarce resource, else
    the service of its first stage.  Requests wait before their first stage
    and not between stages: a request rejected there has cost nothing and
    has certainly not run.
    """
    stages = config.sections["pipelines"][pipeline]["stages"]
    services = config.sections["services"]
    for stage in stages:
        if services[stage["service"]]["kind"] == "engine":
            return stage["service"]
    return stages[0]["service"]


class Admission:
    """Checks teams' rate limits and queues requests for each service.

    Parameters
    ----------
    settings : Settings
    limits : Limits or None
        Rate limits of the teams; None for no limits.
    live_count : callable
        Takes the monotonic time, returns the number of live instances.
    clock : callable
    """

    def __init__(self, *, settings, live_count, clock, limits=None):
        self._settings = settings
        self._limits = limits
        self._live_count = live_count
        self._clock = clock
        self._gates = {}
        self._sequence = itertools.count()

    @property
    def in_flight(self):
        """Number of requests running or waiting."""
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
            A failure is returned at once if the team is over its limit or
            the request would probably end late, and later if the request
            is evicted from the queue or not started in time.
        """
        service = gate_service(request.config, request.pipeline)
        gate = self._get_gate(service)
        slots = _service_slots(request.config, service)
        gate.limiter.resize(slots, self._live_count(now))
        entry = self._queue_entry(request, gate, now)
        rejection = gate.rejection(entry, request.deadline, now)
        if rejection is None:
            rejection = self._check_limit(request, now)
        if rejection is not None:
            return rejection
        seconds = request.spec["deadline_ms"] / 1000
        return await gate.acquire(entry, seconds, now)

    def expected_wait_s(self, request, now):
        """Return how long a new request likely waits for a slot."""
        gate = self._get_gate(gate_service(request.config, request.pipeline))
        entry = self._queue_entry(request, gate, now)
        return gate.expected_wait_s(entry, now)

    def release(self, ticket, now):
        """Return the slot of a ticket."""
        ticket.gate.release(ticket, now)

    def _check_limit(self, request, now):
        spec = request.config.entry("teams", request.team)
        if self._limits is None or spec is None:
            return None
        return self._limits.check(request.team, spec, now)

    def _queue_entry(self, request, gate, now):
        team = request.config.entry("teams", request.team) or {}
        # A request that starts after its start deadline would probably end
        # late, and occupy a slot that another one could use in time.
        run_time_s = gate.run_time_estimate(request.pipeline).upper_bound(now)
        return fairqueue.Entry(
            request=request.id,
            team=request.team,
            pipeline=request.pipeline,
            weight=team.get("weight", DEFAULT_WEIGHT),
            rank=(request.priority, request.deadline, next(self._sequence)),
            start_deadline=request.deadline - run_time_s,
        )

    def _get_gate(self, service):
        gate = self._gates.get(service)
        if gate is None:
            settings = self._settings
            limiter = limiters.LIMITERS.get(settings.limiter)
            gate = self._gates[service] = gates.Gate(
                queue=fairqueue.DISCIPLINES.get(settings.fairness)(),
                limiter=limiter(max_limit=settings.slots),
                max_waiting=settings.queue,
                clock=self._clock,
                reject_by_estimate=settings.limiter != "fixed",
            )
        return gate


@functools.lru_cache(maxsize=256)
def _total_slots(endpoints):
    return sum(endpoint.slots for endpoint in endpoints)


def _service_slots(config, service):
    return max(1, _total_slots(config.endpoints.get(service, ())))


@kernel.plugin("admission", needs=("limits", "membership"))
async def admission(core):
    """Provide the `Admission` of this instance."""
    yield Admission(
        settings=core.settings,
        limits=core.part("limits"),
        live_count=limits.LiveCount(membership=core.part("membership")),
        clock=core.clock,
    )
