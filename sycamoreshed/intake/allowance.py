"""The memory that all connections of a process may use for their input."""

import os

from sycamoreshed.kernel import kernel

__all__ = ["Allowance", "max_connections", "memory_bytes"]

MB = 10**6
# Share of an instance's memory for input that no handler has read, and for
# the heads of requests that are served.
INTAKE_SHARE = 0.125
# Share of it that open connections may use without any input, and what one
# of them takes.
CONNECTION_SHARE = 0.25
CONNECTION_BYTES = 16 * 1024


def memory_bytes(memory_mb=None):
    """Return the bytes of memory that a process may use.

    Parameters
    ----------
    memory_mb : int, optional
        That of the machine if not set.

    Examples
    --------
    >>> memory_bytes(160)
    160000000
    """
    if memory_mb is not None:
        return memory_mb * MB
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")


def max_connections(memory):
    """Return how many connections fit into some bytes of memory.

    Examples
    --------
    >>> max_connections(160_000_000)
    2441
    """
    return max(1, int(memory * CONNECTION_SHARE / CONNECTION_BYTES))


class Allowance:
    """Counts what connections hold, and selects those that have to yield.

    A connection holds input that waits, which can be dropped, and the input
    of a request in progress, which cannot.

    Parameters
    ----------
    max_bytes : int

    Examples
    --------
    >>> allowance = Allowance(max_bytes=100)
    >>> allowance.update("a", waiting=60, in_progress=0)
    []
    >>> allowance.update("b", waiting=30, in_progress=20)
    ['a']
    >>> allowance.has_room(50), allowance.has_room(51)
    (True, False)
    """

    def __init__(self, *, max_bytes):
        self._max_bytes = max_bytes
        self._waiting = {}
        self._in_progress = {}
        self._total = 0

    @property
    def total(self):
        """Bytes that all connections hold."""
        return self._total

    def has_room(self, size):
        """Return whether more bytes may be held."""
        return self._total + size <= self._max_bytes

    def update(self, connection, *, waiting, in_progress):
        """Set what a connection holds; return those that have to yield.

        What waits at the returned ones counts no more; the ones that have
        most come first.
        """
        self._set(self._waiting, connection, waiting)
        self._set(self._in_progress, connection, in_progress)
        yielding = []
        while self._total > self._max_bytes and self._waiting:
            largest = max(self._waiting, key=self._waiting.get)
            self._set(self._waiting, largest, 0)
            yielding.append(largest)
        return yielding

    def remove(self, connection):
        """Remove a connection."""
        self.update(connection, waiting=0, in_progress=0)

    def _set(self, sizes, connection, size):
        self._total += size - sizes.pop(connection, 0)
        if size:
            sizes[connection] = size


@kernel.plugin("allowance")
async def allowance(core):
    """Provide the `Allowance` of all listeners of a process."""
    memory = memory_bytes(core.settings.memory_mb)
    yield Allowance(max_bytes=int(memory * INTAKE_SHARE))
