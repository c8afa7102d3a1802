"""Process inspection detects children, shared memory and CPU usage."""

import mmap
import os
import subprocess
import sys

from testkit import proc
from tests import footprints


def test_children_are_seen_before_and_after_they_end():
    """A check that misses children would pass a daemon that starts one."""
    before = footprints.footprint(os.getpid())
    child = subprocess.Popen([sys.executable, "-c", "input()"], stdin=-1)
    during = footprints.footprint(os.getpid())
    child.communicate(b"\n")
    after = footprints.footprint(os.getpid())
    assert child.pid in during.children
    assert child.pid not in after.children
    assert after.child_faults > before.child_faults


def test_shared_memory_is_seen():
    number = os.memfd_create("seen")
    os.truncate(number, mmap.PAGESIZE)
    try:
        with mmap.mmap(number, mmap.PAGESIZE):
            shared = footprints.footprint(os.getpid()).shared
    finally:
        os.close(number)
    assert any("seen" in name for name in shared)


def test_usage_grows():
    first = proc.usage(os.getpid())
    while proc.usage(os.getpid()).seconds == first.seconds:
        sum(range(10000))
    assert first.resident > 1 << 20
