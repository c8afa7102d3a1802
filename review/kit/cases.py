"""Runs a case, and tells its result by the exit status."""

import asyncio
import os
import pathlib
import sys
import tempfile
import traceback

from review.kit import records

__all__ = ["HAS_TROUBLE", "run"]

HELD, BROKEN, CANNOT_RUN = 0, 1, 2
HAS_TROUBLE = os.environ.get("TROUBLE") != "0"


def run(play, folder):
    """Play a case once, and end the process with its exit status.

    Parameters
    ----------
    play : coroutine function
        Takes a temporary folder and the record; returns whether the rule
        was broken.
    folder : pathlib.Path
        Where the record is written.
    """
    record = records.Record(folder / "record.txt")
    with tempfile.TemporaryDirectory() as temporary:
        try:
            is_broken = asyncio.run(play(pathlib.Path(temporary), record))
        except BaseException:
            record.write(f"cannot run: {traceback.format_exc()}")
            sys.exit(CANNOT_RUN)
    record.write("BROKEN" if is_broken else "held")
    record.close()
    sys.exit(BROKEN if is_broken else HELD)
