"""Hedging: move or duplicate slow attempts within the retry budget."""

import asyncio

from sycamoreshed.errors import kinds

__all__ = ["MOVED", "FirstTokenTimeout", "allow", "first_answer"]

# Returned for a stream that was ended to continue it, if possible on another
# endpoint.  It is not reported as evidence of the endpoint's health: in a
# burst of requests all endpoints are slow.
MOVED = kinds.Failure(kinds.Kind.LATE, "no token for long", sent=True)


def allow(_now):
    """Allow a further attempt, whatever the time."""
    return True


class FirstTokenTimeout:
    """End an attempt whose first chunk is late, so it can move elsewhere.

    Parameters
    ----------
    timer : asyncio.Timeout
        The time limit of the attempt.
    delay_s : float or None
        Time to wait for the first chunk; None to wait as long as `timer`
        allows.
    budget : RetryBudget
        The attempt is ended only if the budget allows another, which is
        spent at the same time.
    may_repeat : callable
        Returns whether another attempt may begin.

    Attributes
    ----------
    moved : bool
        Whether the attempt was ended to move elsewhere.
    """

    def __init__(self, *, timer, delay_s, budget, may_repeat):
        self._timer = timer
        self._may_repeat = may_repeat
        self._budget = budget
        self._handle = None
        self._is_disarmed = False
        self.moved = False
        self._loop = asyncio.get_running_loop()
        self._started_at = self._loop.time()
        if delay_s is not None:
            self._handle = self._loop.call_later(delay_s, self._expire)

    @property
    def elapsed_s(self):
        """Seconds since the attempt started."""
        return self._loop.time() - self._started_at

    def disarm(self):
        """Stop the timeout; return whether this is the first call.

        Called for each chunk and when the attempt ends: after the first
        chunk the stream is no longer moved for being slow.
        """
        if self._handle is not None:
            self._handle.cancel()
        first, self._is_disarmed = not self._is_disarmed, True
        return first

    def _expire(self):
        if self._may_repeat() and self._budget.try_spend():
            self.moved = True
            self._timer.reschedule(self._loop.time())


async def first_answer(start, start_hedge, *, delay_s):
    """Run an attempt, and hedge it with a second one if it is slow.

    Parameters
    ----------
    start : coroutine function
        The first attempt; returns an answer or a failure.
    start_hedge : callable
        Returns a coroutine of the second attempt, or None if no second
        attempt is allowed.
    delay_s : float or None
        Time after which the second attempt starts; None for never.

    Returns
    -------
    object
        The first answer, else the last failure.

    Notes
    -----
    Only for calls that may be repeated: both attempts may take effect.
    """
    if delay_s is None:
        return await start()
    tasks = {asyncio.ensure_future(start())}
    try:
        done, _ = await asyncio.wait(tasks, timeout=delay_s)
        hedge = None if done else start_hedge()
        if hedge is not None:
            tasks.add(asyncio.ensure_future(hedge))
        return await _first_success(tasks)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _first_success(tasks):
    pending = tasks
    while True:
        done, pending = await asyncio.wait(
            pending, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            result = task.result()
            if not isinstance(result, kinds.Failure):
                return result
        if not pending:
            return result
