"""What the system tells about a running process."""

import os
import pathlib
import typing

__all__ = ["Usage", "fields", "usage"]

PAGE = os.sysconf("SC_PAGE_SIZE")


class Usage(typing.NamedTuple):
    """Processor seconds since the start, and resident bytes."""

    seconds: float
    resident: int


def usage(pid):
    """Return the `Usage` of a process."""
    root = pathlib.Path("/proc") / str(pid)
    found = fields(root)
    return Usage(_run_seconds(root), int(found[21]) * PAGE)


def _run_seconds(root):
    # In nanoseconds for each thread; the ticks of `stat` are too coarse
    # for a short run.
    return (
        sum(
            int((task / "schedstat").read_text().split()[0])
            for task in (root / "task").iterdir()
        )
        / 1e9
    )


def fields(root):
    """Return what `/proc/PID/stat` tells, from the third field on."""
    # The second field may hold spaces.
    return (root / "stat").read_text().rpartition(")")[2].split()
