"""Wait until requests that already reached this process are read."""

import asyncio

__all__ = ["wait_until_read"]

POLL_INTERVAL_S = 0.02
# Consecutive polls without a new request.
QUIET_POLLS = 3
# Limits the wait: callers that keep sending would delay a shutdown for ever.
MAX_WAIT_S = 1.0


async def wait_until_read(received, clock):
    """Wait until a few polls in a row find no new request.

    Parameters
    ----------
    received : callable
        Returns the number of requests read so far.
    clock : callable
        Monotonic time in seconds.

    Notes
    -----
    Returns after `MAX_WAIT_S` at the latest.

    A process that was paused or short of processor time may still have
    requests in its socket buffers when a timer fires, since the event loop
    runs timers before it reads sockets.  So a poll that took more than
    twice its interval counts as if a request had been read.
    """
    wait_end = clock() + MAX_WAIT_S
    quiet_polls = 0
    while quiet_polls < QUIET_POLLS and clock() < wait_end:
        received_before = received()
        polled_at = clock()
        await asyncio.sleep(POLL_INTERVAL_S)
        is_behind = clock() - polled_at > 2 * POLL_INTERVAL_S
        quiet_polls = (
            0
            if is_behind or received() != received_before
            else quiet_polls + 1
        )
