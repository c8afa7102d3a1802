"""The structured log of a daemon: bounded, and never in the way.

Each line is one event of `EVENTS`.  Lines go to standard output through a
bounded buffer that is written without waiting; when nobody reads, lines are
dropped by class, the least telling first, and counted.
"""

import asyncio
import collections
import os
import time

import msgspec

from sycamoreshed.kernel import kernel
from sycamoreshed.observe import events

__all__ = ["Journal"]

# What fits into the buffer before lines of a class are dropped.  The sum
# bounds the memory a reader that has stopped can cost.
BUFFER_BYTES = 1 << 20
SHARES = {
    events.EventClass.DETAIL: 0.5,
    events.EventClass.DECISION: 0.75,
    events.EventClass.FAILURE: 0.95,
    events.EventClass.STATE: 1.0,
}
# Lines are gathered that long, so that a burst costs one system call.
FLUSH_S = 0.25
# The end of a failed request is on the log before its caller hears of it, but
# for so long after another line was written: a process that dies or stalls
# then would take along the line that tells why.
SOON_S = 0.02
# After a write that the reader did not take.
BLOCKED_S = 0.5
TELL_DROPPED_S = 5.0

_encode = msgspec.json.Encoder(enc_hook=str).encode


class Journal:
    """Writes events as JSON lines.

    Parameters
    ----------
    instance : str
        Stands in each line.
    fd : int
        Open file to write to.
    clock : callable, optional
        Returns Unix time in seconds.
    min_class : EventClass, optional
        Events below this class are left out.
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
        self._bytes = 0
        self._dropped = collections.Counter()
        self._timer = None
        self._flushed_at = -SOON_S
        self._is_blocked = False

    @property
    def dropped(self):
        """Lines left out since the start, by class."""
        return self._dropped

    def write(self, name, **fields):
        """Log one event.

        Parameters
        ----------
        name : str
            A key of `EVENTS`.
        **fields
            As `EVENTS` lists them.
        """
        event_class = events.EVENTS[name].event_class
        if event_class < self._min_class:
            return
        if self._bytes > BUFFER_BYTES * SHARES[event_class]:
            self._dropped[event_class.name] += 1
            return
        line = _encode(
            {
                "t": round(self._clock(), 4),
                "at": self._instance,
                "event": name,
                **fields,
            }
        )
        self._lines.append(line + b"\n")
        self._bytes += len(line) + 1
        if event_class >= events.EventClass.FAILURE:
            self._flush_soon()
        elif self._timer is None:
            self._schedule(FLUSH_S)

    def flush(self):
        """Write what the reader takes now; never wait for it."""
        self._unschedule()
        self._flushed_at = time.monotonic()
        self._is_blocked = False
        while self._lines:
            chunk = b"".join(self._lines)
            try:
                written = os.write(self._fd, chunk)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader is gone for good: there is nobody to tell.
                self._lines.clear()
                self._bytes = 0
                return
            self._lines.clear()
            self._bytes = len(chunk) - written
            if self._bytes:
                self._is_blocked = True
                self._lines.append(chunk[written:])
                self._schedule(BLOCKED_S)
                return

    def _flush_soon(self):
        if self._is_blocked:
            return
        wait = self._flushed_at + SOON_S - time.monotonic()
        if wait <= 0:
            self.flush()
            return
        self._unschedule()
        self._schedule(wait)

    def _unschedule(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _schedule(self, delay):
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return
        self._timer = loop.call_later(delay, self.flush)


@kernel.plugin("journal")
async def journal(core):
    """Provide the journal of a daemon, on standard output."""
    os.set_blocking(1, False)
    result = Journal(instance=core.settings.instance, fd=1)
    core.spawn(_tell_dropped(result), name="journal dropped lines")
    yield result
    result.flush()


async def _tell_dropped(result):
    told = 0
    while True:
        await asyncio.sleep(TELL_DROPPED_S)
        count = sum(result.dropped.values())
        if count > told:
            result.write("lines_dropped", by_class=dict(result.dropped))
            told = count
