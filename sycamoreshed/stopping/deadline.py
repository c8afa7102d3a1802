"""Whether requests end before this instance does, once it stops.

A request that still runs at the end of the grace period is cut off, whereas
one that is rejected in time is served by another instance.
"""

import math

from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel
from sycamoreshed.stopping import durations
from sycamoreshed.stopping import estimating
from sycamoreshed.stopping import limits
from sycamoreshed.stopping import measuring

__all__ = ["StopDeadline", "TOO_SOON"]

# The rest of a stream is assumed to last at least this share of a whole one.
MIN_REST_SHARE = 0.25

TOO_SOON = kinds.Failure(
    kinds.Kind.DRAINING, "this instance stops too soon", sent=False
)


class StopDeadline:
    """When this instance ends, and which requests end before.

    Parameters
    ----------
    known : Durations
        How long requests last.
    journal : Journal
    clock : callable
    """

    def __init__(self, *, known, journal, clock):
        self._durations = known
        self._estimates = estimating.Estimates(known=known)
        self._journal = journal
        self._clock = clock
        self._ends_at = math.inf
        self._gives_up_at = math.inf
        self._late_from = math.inf
        self._learns_until = -math.inf
        self._limits = limits.MovableLimits(clock=clock)

    @property
    def ends_at(self):
        """Monotonic time by which answers have to be whole; inf if unknown."""
        return self._ends_at

    def set(
        self,
        ends_at,
        *,
        gives_up_at=None,
        late_from=math.inf,
        learns_until=-math.inf,
    ):
        """Set when this instance ends.

        Parameters
        ----------
        ends_at : float
            Monotonic time by which responses have to be complete.
        gives_up_at : float, optional
            When those that are not are given up.
        late_from : float
            From when on no new connections are expected.
        learns_until : float
            Until when other instances may tell what they know; what waits is
            not given up before.
        """
        self._ends_at = ends_at
        self._late_from = late_from
        self._learns_until = learns_until
        self._gives_up_at = ends_at if gives_up_at is None else gives_up_at
        self.refresh()

    def refresh(self):
        """Estimate anew until when what waits may begin."""
        self._estimates.clear()
        self._limits.refresh()

    def measure(self, request, *, phases=tuple(measuring.Phase)):
        """Return the `Measurement` of some phases of a request."""
        return measuring.Measurement(
            durations=self._durations, request=request, phases=phases
        )

    def begin_by(self, request, phase, now, *, delivered_s=0.0, unknown_s=0.0):
        """Return until when a phase of a request may begin.

        Parameters
        ----------
        request : Request
        phase : Phase
        now : float
        delivered_s : float
            For how long events of its stream have come.
        unknown_s : float
            How long it may last unless enough is known of its route.

        Returns
        -------
        float
            Monotonic time.
        """
        if self._ends_at == math.inf or request.deadline <= self._ends_at:
            return math.inf
        estimates = self._estimates
        if request.started_at > self._late_from:
            needed_s = estimates.late_needed_s(request, phase, now)
        else:
            needed_s = estimates.needed_s(request, phase, now)
        if delivered_s:
            rest_s = MIN_REST_SHARE * needed_s
            needed_s = max(needed_s - delivered_s, rest_s)
        if unknown_s and not estimates.is_known(request, phase):
            needed_s = max(needed_s, unknown_s)
        return self._ends_at - needed_s

    def allows(self, request, phase, now, **known):
        """Return whether a request that begins a phase now likely ends.

        Takes the keyword arguments of `begin_by`.
        """
        return now <= self.begin_by(request, phase, now, **known)

    def check(self, request, phase, now, *, delivered_s=0.0):
        """Return the `Failure` of a request that would not end, or None.

        Logs what decided it.
        """
        if self._ends_at == math.inf:
            return None
        begin_by = self.begin_by(request, phase, now, delivered_s=delivered_s)
        is_allowed = now <= begin_by
        self._log(request, phase, now, begin_by, is_allowed)
        return None if is_allowed else TOO_SOON

    async def wait_for(self, waiting, request, phase, *, delivered_s=None):
        """Await what comes before a phase of a request.

        Parameters
        ----------
        waiting : coroutine
        request : Request
        phase : Phase
        delivered_s : callable, optional
            Takes the time, returns for how long events of its stream have
            come.

        Returns
        -------
        object or Failure
            What was awaited, or `TOO_SOON` once the phase must not begin.
        """

        def limit():
            now = self._clock()
            begin_by = self.begin_by(
                request,
                phase,
                now,
                delivered_s=delivered_s(now) if delivered_s else 0.0,
            )
            return max(begin_by, self._learns_until)

        if self._clock() > limit():
            waiting.close()
            self._log(request, phase, self._clock(), limit(), False)
            return TOO_SOON
        try:
            async with self._limits.limit(limit) as timer:
                return await waiting
        except TimeoutError:
            if not timer.expired():
                raise
            self._log(request, phase, self._clock(), limit(), False)
            return TOO_SOON

    def time_limit(self):
        """End a block with `TimeoutError` once this instance has no time.

        Returns an asynchronous context manager, see `MovableLimits.limit`.
        """
        return self._limits.limit(lambda: self._gives_up_at)

    def _log(self, request, phase, now, begin_by, is_allowed):
        route = request.route
        key = measuring.Key(measuring.Part.WHOLE, phase, route.name)
        self._journal.write(
            "stop_checked",
            request=request.id,
            route=route.name,
            begins=phase.value,
            is_allowed=is_allowed,
            left_s=round(self._ends_at - now, 3),
            needed_s=(
                None
                if begin_by == math.inf
                else round(self._ends_at - begin_by, 3)
            ),
            deadline_s=round(request.deadline - now, 3),
            ended=self._durations.count_ended(key),
            others=self._durations.count_others(key),
        )


@kernel.plugin("durations")
async def known_durations(_core):
    """Provide the `Durations` of the requests of this process."""
    yield durations.Durations()


@kernel.plugin("stop_deadline", needs=("durations", "journal"))
async def stop_deadline(core):
    """Provide the `StopDeadline`."""
    yield StopDeadline(
        known=core.part("durations"),
        journal=core.part("journal"),
        clock=core.clock,
    )
