"""What the system tells about a running process."""

import os
import pathlib
import typing

__all__ = ["Footprint", "Usage", "footprint", "usage"]

PAGE = os.sysconf("SC_PAGE_SIZE")


class Footprint(typing.NamedTuple):
    """What a process must not have.

    Parameters
    ----------
    rings : list of str
        Open files that are an io_uring.
    shared : list of str
        Mapped or open files in shared memory.
    children : list of int
        Processes started and not yet waited for.
    child_faults : int
        Page faults of processes waited for; zero if there was none,
        since none runs without a fault.
    """

    rings: list
    shared: list
    children: list
    child_faults: int


class Usage(typing.NamedTuple):
    """Processor seconds since the start, and resident bytes."""

    seconds: float
    resident: int


def footprint(pid):
    """Return the `Footprint` of a process."""
    root = pathlib.Path("/proc") / str(pid)
    files = []
    for entry in (root / "fd").iterdir():
        try:
            files.append(os.readlink(entry))
        except FileNotFoundError:
            continue
    maps = (root / "maps").read_text().splitlines()
    used = files + [line.split(maxsplit=5)[-1] for line in maps]
    children = []
    for task in (root / "task").iterdir():
        children += (task / "children").read_text().split()
    return Footprint(
        rings=[name for name in files if "io_uring" in name],
        shared=[
            name
            for name in used
            if name.startswith(("/dev/shm", "/SYSV", "/memfd"))
        ],
        children=[int(child) for child in children],
        child_faults=int(_fields(root)[8]) + int(_fields(root)[10]),
    )


def usage(pid):
    """Return the `Usage` of a process."""
    root = pathlib.Path("/proc") / str(pid)
    fields = _fields(root)
    return Usage(_run_seconds(root), int(fields[21]) * PAGE)


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


def _fields(root):
    # From the third field on; the second may hold spaces.
    return (root / "stat").read_text().rpartition(")")[2].split()
