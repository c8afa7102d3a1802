"""The record of a run: what was sent, answered and run."""

import time

__all__ = ["Record"]


class Record:
    """Writes lines with the seconds since the start of the run.

    Parameters
    ----------
    path : pathlib.Path
    """

    def __init__(self, path):
        self._file = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def write(self, text):
        """Write one line."""
        took_s = time.monotonic() - self._began_at
        self._file.write(f"{took_s:8.3f} {text}\n")
        self._file.flush()

    def close(self):
        """Close the file."""
        self._file.close()
