"""Time limits that move when a stop begins."""

import asyncio
import contextlib
import math

__all__ = ["MovableLimits"]


class MovableLimits:
    """The time limits of what is under way in a process.

    Parameters
    ----------
    clock : callable

    Examples
    --------
    >>> import time
    >>> limits = MovableLimits(clock=time.monotonic)
    >>> async def sleep():
    ...     async with limits.limit(time.monotonic):
    ...         await asyncio.sleep(1)
    >>> asyncio.run(sleep())
    Traceback (most recent call last):
    ...
    TimeoutError
    """

    def __init__(self, *, clock):
        self._clock = clock
        # Functions that return when the timers fire.
        self._timers = {}

    def refresh(self):
        """Ask all functions anew for their limits."""
        for timer, until in self._timers.items():
            self._schedule(timer, until)

    @contextlib.asynccontextmanager
    async def limit(self, until):
        """End a block with `TimeoutError` at a time that may change.

        Yields the `asyncio.Timeout`, which tells whether it was the reason.

        Parameters
        ----------
        until : callable
            Returns the monotonic time, infinity for no limit.
        """
        async with asyncio.timeout(None) as timer:
            self._timers[timer] = until
            self._schedule(timer, until)
            try:
                yield timer
            finally:
                del self._timers[timer]

    def _schedule(self, timer, until):
        left_s = until() - self._clock()
        if left_s == math.inf or timer.expired():
            return
        loop = asyncio.get_running_loop()
        timer.reschedule(loop.time() + max(0.0, left_s))
