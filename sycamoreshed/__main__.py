"""Entry point of ``python -m sycamoreshed``."""

import os
import sys

__all__ = ["run"]


def run():
    """Run the command line.

    Notes
    -----
    The gateway daemon starts without importing the command line, to save
    memory: the command parser and the modules of the other commands would
    take 15 MB for as long as the daemon runs.
    """
    if len(sys.argv) == 3 and sys.argv[1] == "gateway":
        from sycamoreshed.gateway import daemon

        _end(daemon.run(sys.argv[2]))
    from sycamoreshed.cli import main

    main.run()


def _end(status):
    """End the process at once, after what was printed.

    The interpreter takes tenths of a second to free what it holds, in which
    the platform may kill the process, and callers may still connect to it.
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)


if __name__ == "__main__":
    run()
