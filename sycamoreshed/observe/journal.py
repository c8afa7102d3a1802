"""The structured log of the gateway daemon: bounded and non-blocking.

Each line is one event of `EVENTS`.  Lines go to standard output through a
bounded buffer and non-blocking writes; when the reader falls behind, lines
are dropped by class, the lowest class first, and counted.
"""

import asyncio
import collections
import functools
import os
import time

import msgspec

from sycamoreshed.kernel import kernel
from sycamoreshed.observe import events
from sycamoreshed.observe import shortening

__all__ = ["Journal"]

# Size of the buffer, which bounds the memory used when the reader stops.
# A line is dropped if the buffer is filled beyond the share of its class.
BUFFER_BYTES = 1 << 20
BUFFER_SHARES = {
    events.EventClass.DETAIL: 0.5,
    events.EventClass.DECISION: 0.75,
    events.EventClass.FAILURE: 0.95,
    events.EventClass.STATE: 1.0,
}
# Lines are buffered for this long, so that a burst costs one system call.
FLUSH_INTERVAL_S = 0.25
# Unless the output is blocked, events of class FAILURE and above are flushed
# at once, before the client receives the answer: a process that dies or
# stalls would otherwise lose the line that states the cause.  They are not
# flushed within this time after the previous flush, so that a burst costs
# few writes; lines that wait for it can be lost.
MIN_FLUSH_GAP_S = 0.02
# Delay after a write that the reader did not fully accept.
BLOCKED_RETRY_S = 0.5
DROPPED_REPORT_INTERVAL_S = 5.0
# Lines that are longer are shortened.
MAX_LINE_BYTES = 2048

_encode = msgspec.json.Encoder(enc_hook=str).encode


class Journal:
    """Writes events as JSON lines.

    Parameters
    ----------
    instance : str
        Name of this instance, written in each line.
    fd : int
        File descriptor to write to; non-blocking.
    clock : callable, optional
        Returns Unix time in seconds.
    min_class : EventClass, optional
        Events below this class are not logged.
    """

    def __init__(
        self,
        *,
        instance,
        fd,
        clock=time.time,
        min_class=events.EventClass.DETAIL,
    ):
        self._instance = instance
        self._fd = fd
        self._clock = clock
        self._min_class = min_class
        self._lines = collections.deque()
        self._buffered_bytes = 0
        self._dropped = collections.Counter()
        self._timer = None
        self._flushed_at = -MIN_FLUSH_GAP_S
        self._is_blocked = False

    @property
    def dropped(self):
        """Lines dropped since the start for lack of buffer space, by class."""
        return self._dropped

    def write(self, name, **fields):
        """Log one event.

        Parameters
        ----------
        name : str
            A key of `EVENTS`.
        **fields
            Fields that `EVENTS` lists for the event.
        """
        event_class = events.EVENTS[name].event_class
        if event_class < self._min_class:
            return
        if self._buffered_bytes > BUFFER_BYTES * BUFFER_SHARES[event_class]:
            self._dropped[event_class.name] += 1
            return
        document = {
            "t": round(self._clock(), 4),
            "at": self._instance,
            "event": name,
            **fields,
        }
        line = _encode(document)
        if len(line) > MAX_LINE_BYTES:
            line = _encode(shortening.shorten(document))
        self._lines.append(line + b"\n")
        self._buffered_bytes += len(line) + 1
        if event_class >= events.EventClass.FAILURE:
            self._flush_soon()
        elif self._timer is None:
            self._schedule(FLUSH_INTERVAL_S)

    def flush(self):
        """Write what the reader accepts now, without waiting for it."""
        self._cancel_timer()
        self._flushed_at = time.monotonic()
        self._is_blocked = False
        while self._lines:
            chunk = b"".join(self._lines)
            try:
                written = os.write(self._fd, chunk)
            except BlockingIOError:
                written = 0
            except OSError:
                # Usually the reader closed its end, so nobody could read a
                # report: the lines are discarded and not counted.
                self._lines.clear()
                self._buffered_bytes = 0
                return
            self._lines.clear()
            self._buffered_bytes = len(chunk) - written
            if self._buffered_bytes:
                self._is_blocked = True
                self._lines.append(chunk[written:])
                self._schedule(BLOCKED_RETRY_S)
                return

    def _flush_soon(self):
        if self._is_blocked:
            return
        wait_s = self._flushed_at + MIN_FLUSH_GAP_S - time.monotonic()
        if wait_s <= 0:
            self.flush()
            return
        self._cancel_timer()
        self._schedule(wait_s)

    def _cancel_timer(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _schedule(self, delay_s):
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return
        self._timer = loop.call_later(delay_s, self.flush)


@kernel.plugin("journal")
async def journal(core):
    """Provide the journal of a daemon, on standard output."""
    os.set_blocking(1, False)
    log = Journal(instance=core.settings.instance, fd=1)
    core.tasks.on_failure(
        lambda name, error: log.write(
            "task_failed", task=name, why=f"{type(error).__name__}: {error}"
        )
    )
    report = functools.partial(_report_dropped, log)
    core.keep_running(report, name="journal dropped lines")
    yield log
    log.flush()


async def _report_dropped(log):
    reported = 0
    while True:
        await asyncio.sleep(DROPPED_REPORT_INTERVAL_S)
        count = sum(log.dropped.values())
        if count > reported:
            log.write("lines_dropped", by_class=dict(log.dropped))
            reported = count
