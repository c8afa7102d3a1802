"""Waits until requests that already reached this process have been read."""

import asyncio

__all__ = ["wait_until_read"]

LOOK_S = 0.02
# Consecutive looks without a new request.
QUIET_LOOKS = 3
# Callers that keep sending would postpone the end of a stop for ever.
MOST_S = 1.0


async def wait_until_read(taken, clock):
    """Return once no new request has been read for a few looks.

    Parameters
    ----------
    taken : callable
        Returns how many requests have been read so far.
    clock : callable
        Monotonic time in seconds.

    Notes
    -----
    A process that was paused or short of processor time still has requests
    in its socket buffers when a timer fires.  A look that took far longer
    than asked for says nothing: the loop runs timers before it reads.
    """
    end = clock() + MOST_S
    quiet = 0
    while quiet < QUIET_LOOKS and clock() < end:
        seen = taken()
        began = clock()
        await asyncio.sleep(LOOK_S)
        is_behind = clock() - began > 2 * LOOK_S
        quiet = 0 if is_behind or taken() != seen else quiet + 1
