"""Plug-ins of the daemon, which shares its program with the gateway."""

import subprocess
import sys

# Run in a separate process: the registered plug-ins depend on what other
# tests have imported.
SCRIPT = """
from sycamoreshed.entry import daemon
from sycamoreshed.kernel import kernel
own = {entry.name for entry in kernel.start_order(kernel._plugins)}
wanted = kernel.start_order(kernel._plugins, daemon.ROOT_PLUGINS)
assert {entry.name for entry in wanted} == own, own
from sycamoreshed.cli import main
again = kernel.start_order(kernel._plugins, daemon.ROOT_PLUGINS)
assert {entry.name for entry in again} == own
assert len(kernel.start_order(kernel._plugins)) > len(own)
"""


def test_gateway_plugins_are_not_started():
    """The command line imports both daemons, which register plug-ins.

    With the gateway's plug-ins an instance would not start: they require
    settings that it does not have.
    """
    subprocess.run([sys.executable, "-c", SCRIPT], check=True, timeout=60)
