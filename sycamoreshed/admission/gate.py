"""The queue and the slots before one service."""

import asyncio
import collections
import random
import typing

from sycamoreshed.errors import kinds
from sycamoreshed.routing import estimates

__all__ = ["Gate", "Ticket"]

LEAST_RETRY_S = 0.5


class Ticket(typing.NamedTuple):
    """Leave to run; given back by `Gate.release`.

    Parameters
    ----------
    request, team, pipeline : str
    gate : Gate
    started : float
        Monotonic seconds.
    deadline_s : float
        Seconds the pipeline gives in all.
    """

    request: str
    team: str
    pipeline: str
    gate: typing.Any
    started: float
    deadline_s: float


class Gate:
    """Runs a limited number of requests and queues a bounded number.

    Parameters
    ----------
    queue : WeightedFair or Fifo
    limiter : Adaptive or Fixed
    most : int
        Requests that may wait.
    clock : callable
    estimating : bool
        Refuse on arrival what would wait too long.
    """

    def __init__(self, *, queue, limiter, most, clock, estimating=True):
        self._queue = queue
        self._most = most
        self._clock = clock
        self._estimating = estimating
        self._times = collections.defaultdict(estimates.Estimate)
        self.limiter = limiter
        self.running = 0

    @property
    def waiting(self):
        """Requests in the queue."""
        return len(self._queue)

    def run_time(self, pipeline):
        """Return the `Estimate` of a pipeline's time once it runs."""
        return self._times[pipeline]

    def refusal(self, entry, deadline, now):
        """Return a failure if a new entry would not be done in time.

        Notes
        -----
        When nothing runs here the request is let in whatever the
        estimate says: it measures anew.
        """
        if deadline <= now:
            return kinds.Failure(kinds.Kind.HOPELESS, "no time left")
        if not self._estimating or not self.running:
            return None
        times = self._times[entry.pipeline]
        slack = deadline - now
        if slack < times.lower_bound(now):
            return kinds.Failure(
                kinds.Kind.HOPELESS, "less time left than it takes"
            )
        wait = self._wait_time(entry, now)
        # With a slot free nobody is kept waiting by one that may be late,
        # and refusing it would be a loss for sure.
        if not wait or wait + times.upper_bound(now) <= slack:
            return None
        return kinds.Failure(
            kinds.Kind.SHED,
            f"the queue takes {wait:.2f} s",
            retry_after=_retry_after(wait),
        )

    async def acquire(self, entry, deadline_s, now):
        """Wait for a slot.

        Returns
        -------
        Ticket or Failure
        """
        if self._has_slot() and not self.waiting:
            return self._start(entry, deadline_s, now)
        woken = asyncio.get_running_loop().create_future()
        entry = entry._replace(woken=woken)
        self._queue.add(entry)
        if len(self._queue) > self._most:
            self._push_out(now)
        return await self._wait(entry, deadline_s, now)

    def release(self, ticket, now):
        """Give a slot back and start those who can run now."""
        seconds = now - ticket.started
        self._times[ticket.pipeline].add(seconds, now)
        self.limiter.finished(seconds, ticket.deadline_s, self.running, now)
        self.running -= 1
        self._start_waiting(now)

    def _has_slot(self):
        return self.running < int(self.limiter.limit)

    def _start(self, entry, deadline_s, now):
        self.running += 1
        return Ticket(
            entry.request, entry.team, entry.pipeline, self, now, deadline_s
        )

    def _start_waiting(self, now):
        while len(self._queue) and self._has_slot():
            entry = self._queue.pop()
            if entry.give_up <= now:
                entry.woken.set_result(_given_up())
                continue
            self.running += 1
            entry.woken.set_result(None)

    def _push_out(self, now):
        entry = self._queue.push_out()
        wait = self._wait_time(entry, now)
        entry.woken.set_result(
            kinds.Failure(
                kinds.Kind.SHED, "queue full", retry_after=_retry_after(wait)
            )
        )

    def _wait_time(self, entry, now):
        mean = self._times[entry.pipeline].mean(now) or 0.0
        ahead = self._queue.ahead(entry.team, entry.weight)
        if not ahead and self._has_slot():
            return 0.0
        return (ahead + 1) * mean / max(1, int(self.limiter.limit))

    async def _wait(self, entry, deadline_s, now):
        """Wait until woken, or until it is too late to begin."""
        woken = entry.woken
        try:
            async with asyncio.timeout(max(0.0, entry.give_up - now)):
                failure = await asyncio.shield(woken)
        except TimeoutError:
            if not woken.done():
                woken.cancel()
                self._queue.remove(entry)
                return _given_up()
            failure = woken.result()
        except asyncio.CancelledError:
            self._abandon(entry)
            raise
        if failure is not None:
            return failure
        return Ticket(
            entry.request,
            entry.team,
            entry.pipeline,
            self,
            self._clock(),
            deadline_s,
        )

    def _abandon(self, entry):
        """Free what an entry holds whose caller went away."""
        if not entry.woken.done():
            entry.woken.cancel()
            self._queue.remove(entry)
        elif entry.woken.result() is None:
            self.running -= 1
            self._start_waiting(self._clock())


def _given_up():
    return kinds.Failure(
        kinds.Kind.SHED,
        "too late to begin",
        retry_after=_retry_after(LEAST_RETRY_S),
    )


def _retry_after(wait):
    """Spread returns, so that the refused do not come back together."""
    return max(LEAST_RETRY_S, wait) * random.uniform(1.0, 2.0)
