"""Resource usage of a running process, from ``/proc``."""

import os
import pathlib
import typing

__all__ = ["Usage", "fields", "usage"]

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class Usage(typing.NamedTuple):
    """CPU seconds of the current threads of a process, and resident bytes."""

    seconds: float
    resident: int


def usage(pid):
    """Return the `Usage` of a process."""
    root = pathlib.Path("/proc") / str(pid)
    stat = fields(root)
    return Usage(_run_seconds(root), int(stat[21]) * PAGE_BYTES)


def _run_seconds(root):
    # `schedstat` has nanoseconds for each thread; the clock ticks of
    # `stat` are too coarse for a short run.
    return (
        sum(
            int((task / "schedstat").read_text().split()[0])
            for task in (root / "task").iterdir()
        )
        / 1e9
    )


def fields(root):
    """Return the fields of ``stat`` in `root`, `/proc/PID`, from the third."""
    # The second field, the command name, may contain spaces.
    return (root / "stat").read_text().rpartition(")")[2].split()
