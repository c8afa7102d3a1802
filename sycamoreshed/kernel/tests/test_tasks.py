import asyncio

from sycamoreshed.kernel import tasks
from testkit import virtualtime


def clock():
    return asyncio.get_running_loop().time()


async def fail():
    raise ValueError("no such thing")


async def test_failed_task_is_counted_and_reported():
    """The end of a task that nobody awaits would go unnoticed."""
    part = tasks.BackgroundTasks(clock=clock)
    reported = []
    part.on_failure(lambda name, error: reported.append((name, str(error))))
    await asyncio.gather(part.spawn(fail(), name="a"), return_exceptions=True)
    await asyncio.sleep(0)
    assert reported == [("a", "no such thing")]
    assert part.failures == {"a": 1}


async def test_cancelled_task_is_no_failure():
    part = tasks.BackgroundTasks(clock=clock)
    task = part.spawn(asyncio.sleep(60), name="a")
    await part.cancel()
    assert task.cancelled()
    assert not part.failures


class Task:
    """A task that fails a number of times, and then works."""

    def __init__(self, failures):
        self._failures = failures
        self.starts = 0

    async def run(self):
        """Fail or wait."""
        self.starts += 1
        if self.starts <= self._failures:
            raise ValueError("no such thing")
        await asyncio.Event().wait()


def run_task(failures, *, seconds):
    """Keep a task running; return it, and what fails at the end."""

    async def run():
        part = tasks.BackgroundTasks(clock=clock)
        task = Task(failures)
        part.keep_running(task.run, name="a")
        await asyncio.sleep(seconds)
        failing = part.failing(clock())
        await part.cancel()
        return task, failing

    return virtualtime.run(run())


def test_task_that_fails_is_started_again():
    """An instance without it goes on serving by what it knew before."""
    task, failing = run_task(2, seconds=1.0)
    assert task.starts == 3
    assert not failing


def test_task_that_always_fails_is_started_at_growing_intervals():
    """Started at once each time it would take the processor for itself."""
    task, failing = run_task(10**6, seconds=60.0)
    longest_s = tasks.MIN_RESTART_S * 2**tasks.MAX_DOUBLINGS
    assert 60.0 / longest_s <= task.starts <= 1.2 * 60.0 / longest_s
    assert failing == {"a"}


def test_task_that_works_again_is_not_failing():
    """An instance that works must get callers again."""
    task, failing = run_task(tasks.MAX_FAILURES, seconds=60.0)
    assert task.starts == tasks.MAX_FAILURES + 1
    assert not failing


async def test_task_that_returns_has_ended():
    part = tasks.BackgroundTasks(clock=clock)
    task = part.keep_running(lambda: asyncio.sleep(0, "done"), name="a")
    assert await task == "done"
