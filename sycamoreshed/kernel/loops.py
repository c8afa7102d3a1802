"""The event loop of the daemons."""

import asyncio
import os

# Without this uvloop opens an io_uring, which the platform forbids; it reads
# the variable when the first loop is created.
os.environ["UV_USE_IO_URING"] = "0"

import uvloop  # noqa: E402

__all__ = ["Loop", "run"]


class Loop(uvloop.Loop):
    """An event loop that leaves no socket object with a closed descriptor.

    Notes
    -----
    If an attempt to open a transport on a socket is cancelled, uvloop closes
    the descriptor, but not the socket object.  Collected later, the object
    closes the descriptor again, whose number may belong to another
    connection by then.
    """

    async def create_connection(self, *args, sock=None, **options):
        """Open a transport; see `asyncio.loop.create_connection`."""
        try:
            return await super().create_connection(*args, sock=sock, **options)
        except BaseException:
            if sock is not None and not _is_open(sock):
                sock.detach()
            raise


def _is_open(sock):
    """Return whether the descriptor of a socket object is open.

    Valid only until another descriptor may have been opened.
    """
    try:
        sock.getsockname()
    except OSError:
        return False
    return True


def run(coro):
    """Run a coroutine on a new `Loop`; return its result."""
    with asyncio.Runner(loop_factory=Loop) as runner:
        return runner.run(coro)
