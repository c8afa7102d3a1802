"""Concurrency limit and queue of the requests to one service."""

import asyncio
import collections
import random
import typing

from sycamoreshed.errors import kinds
from sycamoreshed.routing import estimates

__all__ = ["Gate", "Ticket"]

MIN_RETRY_S = 0.5


class Ticket(typing.NamedTuple):
    """A slot assigned to a request, to be returned with `Gate.release`.

    Parameters
    ----------
    request, team, pipeline : str
    gate : Gate
    started_at : float
        Monotonic seconds.
    time_limit_s : float
        Time limit of the pipeline.
    """

    request: str
    team: str
    pipeline: str
    gate: typing.Any
    started_at: float
    time_limit_s: float


class Gate:
    """Limits the running requests and queues a bounded number of others.

    Parameters
    ----------
    queue : WeightedFair or Fifo
    limiter : Adaptive or Fixed
    max_waiting : int
        Maximum length of the queue.
    clock : callable
    reject_by_estimate : bool
        Whether to reject new requests that would probably end late.
    """

    def __init__(
        self, *, queue, limiter, max_waiting, clock, reject_by_estimate=True
    ):
        self._queue = queue
        self._max_waiting = max_waiting
        self._clock = clock
        self._reject_by_estimate = reject_by_estimate
        self._run_times = collections.defaultdict(estimates.Estimate)
        self.limiter = limiter
        self.running = 0

    @property
    def waiting(self):
        """Number of requests in the queue."""
        return len(self._queue)

    def run_time_estimate(self, pipeline):
        """Return the `Estimate` of a pipeline's time from start to release."""
        return self._run_times[pipeline]

    def rejection(self, entry, deadline, now):
        """Return a failure if a new entry is rejected on arrival, or None.

        Notes
        -----
        While no request runs here the estimates are ignored: the request
        that is admitted provides a new measurement.
        """
        if deadline <= now:
            return kinds.Failure(kinds.Kind.HOPELESS, "no time left")
        if not self._reject_by_estimate or not self.running:
            return None
        times = self._run_times[entry.pipeline]
        slack = deadline - now
        if slack < times.lower_bound(now):
            return kinds.Failure(
                kinds.Kind.HOPELESS, "less time left than it takes"
            )
        wait = self.expected_wait_s(entry, now)
        # The wait is zero if a slot is free: then a request that may end late
        # delays no other, while a rejected one is certainly lost.  It is also
        # zero if nothing was measured.
        if not wait or wait + times.upper_bound(now) <= slack:
            return None
        return kinds.Failure(
            kinds.Kind.SHED,
            f"the queue takes {wait:.2f} s",
            retry_after=_retry_delay_s(wait),
        )

    def expected_wait_s(self, entry, now):
        """Return how long an entry that is new likely waits for a slot."""
        mean = self._run_times[entry.pipeline].mean(now) or 0.0
        ahead = self._queue.count_ahead(entry.team, entry.weight)
        if not ahead and self._has_slot():
            return 0.0
        return (ahead + 1) * mean / max(1, int(self.limiter.limit))

    async def acquire(self, entry, time_limit_s, now):
        """Take a slot, waiting for one if necessary.

        Returns
        -------
        Ticket or Failure
        """
        if self._has_slot() and not self.waiting:
            return self._start(entry, time_limit_s, now)
        decision = asyncio.get_running_loop().create_future()
        entry = entry._replace(decision=decision)
        self._queue.add(entry)
        if len(self._queue) > self._max_waiting:
            self._evict(now)
        return await self._wait(entry, time_limit_s, now)

    def release(self, ticket, now):
        """Return a slot and start waiting requests."""
        seconds = now - ticket.started_at
        self._run_times[ticket.pipeline].add(seconds, now)
        self.limiter.record_run(
            seconds, ticket.time_limit_s, self.running, now
        )
        self.running -= 1
        self._start_waiting(now)

    def _has_slot(self):
        return self.running < int(self.limiter.limit)

    def _start(self, entry, time_limit_s, now):
        self.running += 1
        return Ticket(
            entry.request, entry.team, entry.pipeline, self, now, time_limit_s
        )

    def _start_waiting(self, now):
        while len(self._queue) and self._has_slot():
            entry = self._queue.pop()
            if entry.start_deadline <= now:
                entry.decision.set_result(_too_late_failure())
                continue
            self.running += 1
            entry.decision.set_result(None)

    def _evict(self, now):
        entry = self._queue.evict()
        wait = self.expected_wait_s(entry, now)
        entry.decision.set_result(
            kinds.Failure(
                kinds.Kind.SHED, "queue full", retry_after=_retry_delay_s(wait)
            )
        )

    async def _wait(self, entry, time_limit_s, now):
        """Wait for the decision on an entry, until its start deadline."""
        decision = entry.decision
        try:
            async with asyncio.timeout(max(0.0, entry.start_deadline - now)):
                failure = await asyncio.shield(decision)
        except TimeoutError:
            if not decision.done():
                decision.cancel()
                self._queue.remove(entry)
                return _too_late_failure()
            failure = decision.result()
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
            time_limit_s,
        )

    def _abandon(self, entry):
        """Return the queue position or slot of a cancelled request."""
        if not entry.decision.done():
            entry.decision.cancel()
            self._queue.remove(entry)
        elif entry.decision.result() is None:
            self.running -= 1
            self._start_waiting(self._clock())


def _too_late_failure():
    return kinds.Failure(
        kinds.Kind.SHED,
        "too late to begin",
        retry_after=_retry_delay_s(MIN_RETRY_S),
    )


def _retry_delay_s(wait):
    """Return a random delay, so that rejected callers retry spread out."""
    return max(MIN_RETRY_S, wait) * random.uniform(1.0, 2.0)
