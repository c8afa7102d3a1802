"""Runs coroutines in simulated time: waits take none, and repeat exactly."""

import asyncio
import selectors

__all__ = ["run"]


class _Selector(selectors.DefaultSelector):
    """Never waits; tells how long it would have."""

    skip = None

    def select(self, timeout=None):
        """Return what is ready now, and pass the time over."""
        ready = super().select(0)
        if ready or timeout == 0:
            return ready
        if timeout is None:
            raise RuntimeError("all tasks wait, and nothing is due")
        self.skip(timeout)
        return ready


class _Loop(asyncio.SelectorEventLoop):
    def __init__(self):
        selector = _Selector()
        selector.skip = self._skip
        self._now = 0.0
        super().__init__(selector)

    def time(self):
        """Return the simulated time in seconds."""
        return self._now

    def _skip(self, seconds):
        self._now += seconds


def run(main):
    """Run a coroutine to its end in simulated time; return its result.

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
