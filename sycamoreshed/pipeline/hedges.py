"""Second attempts while the first still runs, within the retry budget."""

import asyncio

from sycamoreshed.errors import kinds

__all__ = ["MOVED", "Patience", "first_answer"]

# Returned for a stream that was ended to go elsewhere.  It says nothing
# of the endpoint: in a burst all of them are slow.
MOVED = kinds.Failure(kinds.Kind.LATE, "no token for long", sent=True)


class Patience:
    """Ends a stream that gave no token for long, so it can go elsewhere.

    Parameters
    ----------
    timer : asyncio.Timeout
        Around the attempt.
    seconds : float or None
        None to wait as long as `timer` does.
    budget : RetryBudget
        The attempt is ended only if another may be sent, which is paid
        for at once.

    Attributes
    ----------
    moved : bool
        Whether it was ended.
    """

    def __init__(self, *, timer, seconds, budget):
        self._timer = timer
        self._budget = budget
        self._handle = None
        self._met = False
        self.moved = False
        self._loop = asyncio.get_running_loop()
        self._began = self._loop.time()
        if seconds is not None:
            self._handle = self._loop.call_later(seconds, self._expire)

    @property
    def waited(self):
        """Seconds since the attempt began."""
        return self._loop.time() - self._began

    def met(self):
        """Note a token; return whether it is the first.

        From now on the stream is waited for.
        """
        if self._handle is not None:
            self._handle.cancel()
        first, self._met = not self._met, True
        return first

    def _expire(self):
        if self._budget.try_spend():
            self.moved = True
            self._timer.reschedule(self._loop.time())


async def first_answer(start, start_other, *, seconds):
    """Run an attempt, and another beside it if the first takes long.

    Parameters
    ----------
    start : coroutine function
        The first attempt; returns an answer or a failure.
    start_other : callable
        Returns a coroutine of a second attempt, or None when there may
        be none.
    seconds : float or None
        How long the first is alone; None for ever.

    Returns
    -------
    object
        The first answer, else the failure that came last.

    Notes
    -----
    Only for what may be repeated: both may take effect.
    """
    if seconds is None:
        return await start()
    tasks = {asyncio.ensure_future(start())}
    try:
        done, _ = await asyncio.wait(tasks, timeout=seconds)
        other = None if done else start_other()
        if other is not None:
            tasks.add(asyncio.ensure_future(other))
        return await _first_whole(tasks)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _first_whole(tasks):
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
