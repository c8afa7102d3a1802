"""The background tasks of a daemon.

Tasks are of two kinds.  One that has to run as long as the process does is
given as a coroutine function, and called again after each failure.  One whose
loss costs no more than the call that it makes is given as a coroutine.
"""

import asyncio
import collections
import typing

from loguru import logger

__all__ = ["BackgroundTasks"]

# Delay before a task that failed is started again; doubles with each failure
# in a row, at most so often.
MIN_RESTART_S = 0.1
MAX_DOUBLINGS = 4
# A task that ran for longer counts as one that works.
STEADY_RUN_S = 10.0
# Failures in a row from which a task counts as failing.
MAX_FAILURES = 5


class _Streak(typing.NamedTuple):
    """Failures of a task, each within `STEADY_RUN_S` of the one before."""

    count: int
    last_at: float


class BackgroundTasks:
    """Runs coroutines as tasks, and reports those that fail.

    Parameters
    ----------
    clock : callable
        Returns the monotonic time in seconds.

    Attributes
    ----------
    failures : Counter
        Number of failures by name of the task.
    """

    def __init__(self, *, clock):
        self._clock = clock
        self._tasks = set()
        self._callbacks = []
        self._streaks = {}
        self.failures = collections.Counter()

    def failing(self, now):
        """Return the names of tasks that fail again and again."""
        return {
            name
            for name, streak in self._streaks.items()
            if streak.count >= MAX_FAILURES
            and now - streak.last_at < STEADY_RUN_S
        }

    def on_failure(self, callback):
        """Call a function with the name and the exception of each failure."""
        self._callbacks.append(callback)

    def spawn(self, coro, *, name):
        """Run a coroutine as a task; return the task.

        Notes
        -----
        An exception that ends the task is reported; otherwise it would go
        unnoticed until the effect of the missing work shows.
        """
        task = asyncio.create_task(coro, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def keep_running(self, start, *, name):
        """Run a coroutine function as a task, again after each failure.

        Parameters
        ----------
        start : callable
            Called without arguments; the task ends once it returns.
        name : str

        Returns
        -------
        asyncio.Task
        """
        return self.spawn(self._keep(start, name), name=name)

    async def _keep(self, start, name):
        while True:
            try:
                return await start()
            except Exception as err:
                self._report(name, err)
            count = self._record_failure(name, self._clock())
            doublings = min(count - 1, MAX_DOUBLINGS)
            await asyncio.sleep(MIN_RESTART_S * 2**doublings)

    def _record_failure(self, name, now):
        """Return how many times in a row a task has failed."""
        streak = self._streaks.get(name, _Streak(0, now))
        count = streak.count if now - streak.last_at < STEADY_RUN_S else 0
        self._streaks[name] = _Streak(count + 1, now)
        return count + 1

    async def cancel(self):
        """Cancel all tasks, and wait for their end."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_done(self, task):
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self._report(task.get_name(), error)

    def _report(self, name, error):
        self.failures[name] += 1
        logger.opt(exception=error).error("background task {} failed", name)
        for callback in self._callbacks:
            callback(name, error)
