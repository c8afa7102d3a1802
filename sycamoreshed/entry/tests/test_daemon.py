"""The product's own daemon, beside the gateway in one program."""

import subprocess
import sys

# In a process of its own: which plug-ins are registered depends on what
# other tests have imported.
SCRIPT = """
from sycamoreshed.entry import daemon
from sycamoreshed.kernel import kernel
own = {entry.name for entry in kernel.start_order(kernel._plugins)}
wanted = kernel.start_order(kernel._plugins, daemon.PARTS)
assert {entry.name for entry in wanted} == own, own
from sycamoreshed.cli import main
again = kernel.start_order(kernel._plugins, daemon.PARTS)
assert {entry.name for entry in again} == own
assert len(kernel.start_order(kernel._plugins)) > len(own)
"""


def test_the_gateways_plugins_are_not_started():
    """The command line imports both daemons, which register plug-ins.

    Started with the gateway's, an instance would not start at all: they
    ask for settings that it does not have.
    """
    subprocess.run([sys.executable, "-c", SCRIPT], check=True, timeout=60)
