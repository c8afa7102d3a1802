"""How a process of the gateway ends."""

import subprocess
import sys

PROGRAM = """
import atexit
import sys
import time

from sycamoreshed import __main__

# Stands for what the interpreter frees at its end.
atexit.register(time.sleep, 30)
sys.argv = ["sycamoreshed", "gateway", sys.argv[1]]
__main__.run()
"""


def test_gateway_ends_without_waiting_for_the_interpreter(tmp_path):
    """A process that had stopped was killed while the interpreter ended."""
    ended = subprocess.run(
        [sys.executable, "-c", PROGRAM, str(tmp_path / "missing.json")],
        capture_output=True,
        text=True,
        timeout=20,
    )
    assert ended.returncode == 2
    assert "missing.json" in ended.stderr
