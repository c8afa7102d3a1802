"""Log of the entry daemon as JSON lines, with rate-limited decisions."""

import logging
import sys

from loguru import logger
import msgspec

from sycamoreshed.kernel import kernel
from sycamoreshed.observe import shortening

__all__ = ["DecisionLog", "set_up"]

# Writing a line for each decision of a burst would slow down the requests.
# Lines beyond this rate are counted, and the count is logged instead.
LINES_PER_SECOND = 2000
# Lines that are longer are shortened.
MAX_LINE_BYTES = 4096

# Levels passed to loguru by name, others by number.
_NAMED_LEVELS = {logging.WARNING, logging.ERROR, logging.CRITICAL}


def _serialise(record):
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "message": record["message"],
        **record["extra"],
    }
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
    encoded = msgspec.json.encode(line, enc_hook=str)
    if len(encoded) > MAX_LINE_BYTES:
        encoded = msgspec.json.encode(shortening.shorten(line), enc_hook=str)
    return encoded.decode()


def _sink(message):
    sys.stderr.write(_serialise(message.record) + "\n")


class LibraryHandler(logging.Handler):
    """Forwards records of the standard `logging` module to the JSON log.

    Without it libraries would write plain text, tracebacks of many lines
    included, between the JSON lines and break their parsers.
    """

    def emit(self, record):
        """Log a record as a JSON line, under the name of its library."""
        error = record.exc_info[1] if record.exc_info else None
        has_name = logging.getLevelName(record.levelname) in _NAMED_LEVELS
        level = record.levelname if has_name else record.levelno
        bound = logger.bind(library=record.name)
        bound.opt(exception=error).log(level, record.getMessage())


def set_up(level):
    """Send logs to standard error as one JSON object a line.

    Parameters
    ----------
    level : str
        Minimum level that is logged.  Records of libraries below WARNING
        are left out at any level.
    """
    logger.remove()
    logger.add(_sink, level=level, format="{message}")
    logging.basicConfig(
        handlers=[LibraryHandler()], level=logging.WARNING, force=True
    )


class DecisionLog:
    """Writes one line for each decision, up to a maximum rate.

    Parameters
    ----------
    rate : int
        Maximum number of lines a second.
    """

    def __init__(self, *, rate=LINES_PER_SECOND):
        self._rate = rate
        self._window = -1
        self._count = 0
        self._dropped = 0

    @property
    def dropped(self):
        """Number of lines dropped since the start."""
        return self._dropped

    def write(self, now, decision, **fields):
        """Log one decision at monotonic time `now` (seconds).

        Parameters
        ----------
        now : float
        decision : str
            Kind of decision, such as ``route`` or ``place``.
        **fields
            Such as request, team, stage, candidates, choice, why.
        """
        window = int(now)
        if window != self._window:
            self._start_window(window)
        self._count += 1
        if self._count > self._rate:
            self._dropped += 1
            return
        logger.bind(decision=decision, **fields).info("decision")

    def _start_window(self, window):
        excess = self._count - self._rate
        self._window = window
        self._count = 0
        if excess > 0:
            logger.bind(lines=excess).warning("decision lines left out")


@kernel.plugin("decisions")
async def decisions(_core):
    """Provide the one decision log of a daemon.

    Notes
    -----
    All parts share it, so that the rate limit holds for them together.
    """
    yield DecisionLog()
