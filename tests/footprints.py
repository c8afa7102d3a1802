"""Operating system resources that a process of the product must not use."""

import os
import pathlib
import typing

from testkit import proc

__all__ = ["Footprint", "footprint"]


class Footprint(typing.NamedTuple):
    """Resources that a process must not use, as `/proc` reports them.

    Parameters
    ----------
    rings : list of str
        Names of open io_uring files.
    shared : list of str
        Names of mapped or open files in shared memory.
    children : list of int
        Ids of child processes that have not been waited for.
    child_faults : int
        Page faults of child processes that have been waited for. Zero only
        if there was no such process, since each causes page faults.
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
