"""Time limits that allow for pauses of this process."""

import asyncio
import contextlib

__all__ = ["time_limit"]

# A timer that fires later than this was delayed by this process: it was
# paused, had no processor, or was busy with something else.
MAX_TIMER_DELAY_S = 0.05
# Time to read and process what arrived during the delay.
READ_GRACE_S = 0.05


@contextlib.asynccontextmanager
async def time_limit(seconds, *, extend=None):
    """End a block with `TimeoutError` after a time, like `asyncio.timeout`.

    Parameters
    ----------
    seconds : float or None
        None for no limit.
    extend : callable, optional
        Called when the time has passed; returns the seconds to go on for.

    Notes
    -----
    When a process resumes after a pause, the event loop runs expired
    timers before it processes data from sockets.  A call that was answered
    in time would then be counted as failed: its answer would be dropped,
    the endpoint recorded as at fault, and the request might fail although
    all data had arrived.  This shows as an attempt that took about as long
    as the pause, with other attempts that ended at the same moment.  A
    timer that fires late therefore first leaves time to read.

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
        deadline = loop.time() + seconds

        def expire():
            nonlocal deadline, handle
            now = loop.time()
            extension_s = 0.0 if extend is None else extend()
            if extension_s > 0:
                deadline = now + extension_s
                handle = loop.call_at(deadline, expire)
                return
            delayed = now - deadline > MAX_TIMER_DELAY_S
            timer.reschedule(now + READ_GRACE_S if delayed else now)

        handle = loop.call_at(deadline, expire)
        try:
            yield timer
        finally:
            handle.cancel()
