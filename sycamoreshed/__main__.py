"""Entry point of ``python -m sycamoreshed``."""

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

        sys.exit(daemon.run(sys.argv[2]))
    from sycamoreshed.cli import main

    main.run()


if __name__ == "__main__":
    run()
