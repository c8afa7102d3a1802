"""Logging: JSON lines, and one line for each decision."""

import logging
import sys

from loguru import logger
import msgspec

from sycamoreshed.kernel import kernel

__all__ = ["DecisionLog", "set_up"]

# A burst must not turn into a flood of lines that slows what it reports
# on; beyond this rate lines are counted and the count is logged instead.
LINES_PER_SECOND = 2000

_KNOWN = {logging.WARNING, logging.ERROR, logging.CRITICAL}


def _serialise(record):
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "message": record["message"],
        **record["extra"],
    }
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
    return msgspec.json.encode(line, enc_hook=str).decode()


def _sink(message):
    sys.stderr.write(_serialise(message.record) + "\n")


class Forwarder(logging.Handler):
    """Takes in what libraries log in the standard library's way.

    Without it their lines, tracebacks of many lines among them, would
    stand in plain text between JSON lines and break what reads those.
    """

    def emit(self, record):
        """Log a record as one of our own."""
        error = record.exc_info[1] if record.exc_info else None
        known = logging.getLevelName(record.levelname) in _KNOWN
        level = record.levelname if known else record.levelno
        bound = logger.bind(library=record.name)
        bound.opt(exception=error).log(level, record.getMessage())


def set_up(level):
    """Send logs to standard error as one JSON object a line.

    Parameters
    ----------
    level : str
        Least level that is logged; of libraries at least warnings.
    """
    logger.remove()
    logger.add(_sink, level=level, format="{message}")
    logging.basicConfig(
        handlers=[Forwarder()], level=logging.WARNING, force=True
    )


class DecisionLog:
    """Writes a line per routing or placement decision, within a bound.

    Parameters
    ----------
    rate : int
        Lines a second at the most.
    """

    def __init__(self, *, rate=LINES_PER_SECOND):
        self._rate = rate
        self._window = -1
        self._count = 0
        self._dropped = 0

    @property
    def dropped(self):
        """Lines left out since the start."""
        return self._dropped

    def write(self, now, what, **fields):
        """Log one decision at monotonic time `now` (seconds).

        Parameters
        ----------
        now : float
        what : str
            Such as ``route`` or ``place``.
        **fields
            request, team, stage, candidates, choice, why.
        """
        window = int(now)
        if window != self._window:
            self._roll(window)
        self._count += 1
        if self._count > self._rate:
            self._dropped += 1
            return
        logger.bind(decision=what, **fields).info("decision")

    def _roll(self, window):
        missed = self._count - self._rate
        self._window = window
        self._count = 0
        if missed > 0:
            logger.bind(lines=missed).warning("decision lines left out")


@kernel.plugin("decisions")
async def decisions(_core):
    """Provide the one decision log of a daemon.

    Notes
    -----
    One for all parts, so that the bound holds for them together.
    """
    yield DecisionLog()
