import asyncio

from sycamoreshed.kernel import tasks


async def fail():
    raise ValueError("no such thing")


async def test_failed_task_is_counted_and_reported():
    """The end of a task that nobody awaits would go unnoticed."""
    part = tasks.BackgroundTasks()
    reported = []
    part.on_failure(lambda name, error: reported.append((name, str(error))))
    await asyncio.gather(part.spawn(fail(), name="a"), return_exceptions=True)
    await asyncio.sleep(0)
    assert reported == [("a", "no such thing")]
    assert part.failures == {"a": 1}


async def test_cancelled_task_is_no_failure():
    part = tasks.BackgroundTasks()
    task = part.spawn(asyncio.sleep(60), name="a")
    await part.cancel()
    assert task.cancelled()
    assert not part.failures
