"""The background tasks of a daemon."""

import asyncio
import collections

from loguru import logger

__all__ = ["BackgroundTasks"]


class BackgroundTasks:
    """Runs coroutines as tasks, and reports those that fail.

    Attributes
    ----------
    failures : Counter
        Number of failures by name of the task.
    """

    def __init__(self):
        self._tasks = set()
        self._callbacks = []
        self.failures = collections.Counter()

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
