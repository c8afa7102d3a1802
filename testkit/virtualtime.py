"""Runs coroutines deterministically in simulated time, without waiting."""

import asyncio
import selectors

__all__ = ["run"]


class _Selector(selectors.DefaultSelector):
    """Never waits; calls `advance` with the time it would have waited."""

    advance = None

    def select(self, timeout=None):
        """Return what is ready now; advance the clock if nothing is."""
        ready = super().select(0)
        if ready or timeout == 0:
            return ready
        if timeout is None:
            raise RuntimeError(
                "deadlock: all tasks wait and no timer is scheduled"
            )
        self.advance(timeout)
        return ready


class _Loop(asyncio.SelectorEventLoop):
    def __init__(self):
        selector = _Selector()
        selector.advance = self._advance
        self._now = 0.0
        super().__init__(selector)

    def time(self):
        """Return the simulated time in seconds."""
        return self._now

    def _advance(self, seconds):
        self._now += seconds


def run(main):
    """Run a coroutine to completion in simulated time; return its result.

    Examples
    --------
    >>> async def nap():
    ...     await asyncio.sleep(3600)
    ...     return asyncio.get_running_loop().time()
    >>> round(run(nap()))
    3600
    """
    with asyncio.Runner(loop_factory=_Loop) as runner:
        return runner.run(main)
