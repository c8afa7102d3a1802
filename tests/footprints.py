"""What a process of the product must not have, as the system tells it."""

import os
import pathlib
import typing

from testkit import proc

__all__ = ["Footprint", "footprint"]


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
        child_faults=int(proc.fields(root)[8]) + int(proc.fields(root)[10]),
    )
