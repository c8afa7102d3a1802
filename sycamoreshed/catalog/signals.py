"""Wakes tasks that wait for the next event of a series."""

import asyncio
import contextlib

__all__ = ["Signal"]


class Signal:
    """An event whose `fire` wakes only the tasks waiting at that moment."""

    def __init__(self):
        self._event = asyncio.Event()

    def fire(self):
        """Wake all waiting tasks."""
        self._event.set()
        self._event = asyncio.Event()

    async def wait(self, timeout):
        """Return at the next `fire`, or after `timeout` seconds."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await self._event.wait()
