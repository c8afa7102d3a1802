"""Entry point of ``python -m sycamoreshed``."""

import sys

__all__ = ["run"]


def run():
    """Run the command line.

    Notes
    -----
    The forwarding daemon is started before the command line is imported:
    instances pay for memory, and the parser of commands and all that the
    other commands need would take 15 MB for as long as it runs.
    """
    if len(sys.argv) == 3 and sys.argv[1] == "gateway":
        from sycamoreshed.gateway import daemon

        sys.exit(daemon.run(sys.argv[2]))
    from sycamoreshed.cli import main

    main.run()


if __name__ == "__main__":
    run()
