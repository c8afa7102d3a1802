"""Which requests end before this process is killed, once it stops."""

import asyncio
import math

from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel
from sycamoreshed.stopping import durations

__all__ = ["STOPPING", "StopLimit"]

# Share of runs that may last longer than is estimated: a rejection costs its
# caller one more try, whereas the work for what is given up is lost.
MAX_RISK = 0.05

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
        # Functions that return when the timers expire.
        self._timers = {}

    def set(self, ends_at):
        """Set the time by which answers have to be whole."""
        self._ends_at = ends_at
        for timer, expires_at in self._timers.items():
            self._schedule(timer, expires_at())

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
        return self._ends_at - durations.quantile(samples, MAX_RISK)

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
            async with asyncio.timeout(None) as timer:
                self._timers[timer] = expires_at
                self._schedule(timer, expires_at())
                try:
                    return await awaited
                finally:
                    del self._timers[timer]
        except TimeoutError:
            if not timer.expired():
                raise
            return failure

    def _schedule(self, timer, expires_at):
        if expires_at == math.inf or timer.expired():
            return
        left_s = max(0.0, expires_at - self._clock())
        timer.reschedule(asyncio.get_running_loop().time() + left_s)


def _key(request, index):
    return request.pipeline, request.spec["stages"][index]["name"]


@kernel.plugin("stop_limit")
async def stop_limit(core):
    """Provide the `StopLimit`."""
    yield StopLimit(clock=core.clock)
