"""Which requests end before this process is killed, once it stops."""

import math

from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel
from sycamoreshed.stopping import durations
from sycamoreshed.stopping import limits

__all__ = ["STOPPING", "StopLimit"]

STOPPING = kinds.Failure(kinds.Kind.DRAINING, "stopping")


class StopLimit:
    """Until when answers have to be whole, and which runs end before.

    Parameters
    ----------
    clock : callable

    Notes
    -----
    A run that nothing is known of may last until the request's deadline.
    """

    def __init__(self, *, clock):
        self._clock = clock
        self._ends_at = math.inf
        self._durations = durations.Durations()
        self._limits = limits.MovableLimits(clock=clock)

    def set(self, ends_at):
        """Set the time by which answers have to be whole."""
        self._ends_at = ends_at
        self._limits.refresh()

    def measure(self, request, index, now):
        """Return the `Span` of the rest of a run, from a stage on."""
        series = self._durations.series(_key(request, index))
        return series.begin(now)

    def begin_by(self, request, index, now):
        """Return until when a stage may begin for its run to end in time.

        Parameters
        ----------
        request : Request
        index : int
            Of the stage.
        now : float

        Returns
        -------
        float
            Monotonic time.
        """
        if request.deadline <= self._ends_at:
            return math.inf
        key = _key(request, index)
        if not self._durations.count_ended(key):
            return -math.inf
        samples = self._durations.samples(key, now)
        return self._ends_at - durations.quantile(samples, durations.MAX_RISK)

    def allows(self, request, index, now):
        """Return whether a run that begins a stage now likely ends in time."""
        return now <= self.begin_by(request, index, now)

    async def wait_to_begin(self, waiting, request, expected_wait_s):
        """Await what comes before a run; `STOPPING` once it must not begin.

        Parameters
        ----------
        waiting : coroutine
        request : Request
        expected_wait_s : callable
            Takes the time, returns how long the wait likely takes.
        """

        def begin_by():
            return self.begin_by(request, 0, self._clock())

        now = self._clock()
        limit = begin_by()
        if limit != math.inf and now + expected_wait_s(now) > limit:
            waiting.close()
            return STOPPING
        return await self._await_until(begin_by, waiting, STOPPING)

    async def run_to_end(self, running, given_up):
        """Await a run; cancel it once there is no time left.

        Parameters
        ----------
        running : awaitable
        given_up : Failure
            Returned in that case.
        """
        return await self._await_until(
            lambda: self._ends_at, running, given_up
        )

    async def _await_until(self, expires_at, awaited, failure):
        try:
            async with self._limits.limit(expires_at) as timer:
                return await awaited
        except TimeoutError:
            if not timer.expired():
                raise
            return failure


def _key(request, index):
    return request.pipeline, request.spec["stages"][index]["name"]


@kernel.plugin("stop_limit")
async def stop_limit(core):
    """Provide the `StopLimit`."""
    yield StopLimit(clock=core.clock)
