"""Time limits that do not blame others for a pause of this process."""

import asyncio
import contextlib

__all__ = ["time_limit"]

# A timer that fires later than this was not served: the process was paused,
# had no processor, or was busy with something else.
HELD_UP_S = 0.05
# What came meanwhile is read and handed on within this time.
READ_S = 0.05


@contextlib.asynccontextmanager
async def time_limit(seconds):
    """End a block with `TimeoutError` after a time, as `asyncio.timeout`.

    Parameters
    ----------
    seconds : float or None
        No limit with None.

    Notes
    -----
    When a process goes on after a pause, the event loop serves timers
    before it reads sockets.  A call that was answered in time then counts
    as lost: its answer is thrown away, the endpoint is blamed, and what
    depends on it may fail although all is there.  One sees an attempt
    that took about as long as the pause, and other attempts that ended in
    the same moment.  So a timer that was held up itself leaves time to
    read first.

    Examples
    --------
    >>> async def sleep():
    ...     async with time_limit(0.01):
    ...         await asyncio.sleep(1)
    >>> asyncio.run(sleep())
    Traceback (most recent call last):
    ...
    TimeoutError
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as timer:
        if seconds is None:
            yield timer
            return
        due = loop.time() + seconds

        def expire():
            now = loop.time()
            held_up = now - due > HELD_UP_S
            timer.reschedule(now + READ_S if held_up else now)

        handle = loop.call_at(due, expire)
        try:
            yield timer
        finally:
            handle.cancel()
