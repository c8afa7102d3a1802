"""The event loop of the daemons."""

import asyncio
import os

# Without this uvloop opens an io_uring, which the platform forbids; it reads
# the variable when the first loop is created.
os.environ["UV_USE_IO_URING"] = "0"

import uvloop  # noqa: E402

__all__ = ["Loop", "run"]

Loop = uvloop.Loop


def run(coro):
    """Run a coroutine on a new `Loop`; return its result."""
    with asyncio.Runner(loop_factory=Loop) as runner:
        return runner.run(coro)
