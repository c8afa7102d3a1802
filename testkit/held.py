"""What a running process holds: memory, unread bytes and descriptors."""

import asyncio
import contextlib
import pathlib

__all__ = ["Watch", "descriptors", "peak_memory_mb", "unread_mb"]

MB = 1e6
SAMPLE_INTERVAL_S = 0.1
# Of `/proc/net/tcp`: a socket that listens.
LISTENING = "0A"


def _status_mb(pid, name):
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    (line,) = [e for e in text.splitlines() if e.startswith(name)]
    return int(line.split()[1]) * 1024 / MB


def peak_memory_mb(pid):
    """Return the most memory that a process has had in use, in MB."""
    return _status_mb(pid, "VmHWM")


def descriptors(pid):
    """Return how many descriptors a process has open."""
    return len(list(pathlib.Path(f"/proc/{pid}/fd").iterdir()))


def unread_mb(port, *, is_remote=False):
    """Return what arrived for a local port and was not read, in MB.

    Parameters
    ----------
    port : int
    is_remote : bool
        Whether the port is that of the peers, which sent it.
    """
    size = 0
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        _, local, remote, state, queues, *_ = line.split()
        address = remote if is_remote else local
        if int(address.partition(":")[2], 16) == port and state != LISTENING:
            size += int(queues.partition(":")[2], 16)
    return size / MB


class Watch:
    """Samples the memory of a process with the bytes that it has not read.

    Parameters
    ----------
    pid : int
    port : int
        Local port of the connections.
    is_remote : bool
        Whether it is the port of the peers.

    Attributes
    ----------
    peak_mb : float
    """

    def __init__(self, *, pid, port, is_remote=False):
        self._pid = pid
        self._port = port
        self._is_remote = is_remote
        self.peak_mb = 0.0

    async def run(self):
        """Sample until cancelled."""
        while True:
            with contextlib.suppress(FileNotFoundError, ValueError):
                unread = unread_mb(self._port, is_remote=self._is_remote)
                held = _status_mb(self._pid, "VmRSS") + unread
                self.peak_mb = max(self.peak_mb, held)
            await asyncio.sleep(SAMPLE_INTERVAL_S)
