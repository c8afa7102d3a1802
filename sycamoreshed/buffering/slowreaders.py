"""Peers that do not read what is sent to them.

While a caller does not read, its answer fills the buffers between the engine
and the caller, one after the other.  The engine breaks off an answer that is
not read; a caller is given up before that.
"""

import asyncio
import contextlib
import typing

from sycamoreshed.buffering import budget
from sycamoreshed.buffering import sockets
from sycamoreshed.kernel import kernel

__all__ = ["Peer", "SlowReaders", "Writing"]

CHECK_INTERVAL_S = 0.25
# While more is held than allowed, those that have read nothing for longest are
# given up, but not before this time.
MIN_PATIENCE_S = 0.5
# Largest part of what the buffers between an endpoint and a peer that does not
# read hold in this process.
CONNECTION_BYTES = 256 * 1024
# A connection's write buffer, from which on writes wait, is larger than this
# and the framing of a part together.
FREE_BUFFER_BYTES = 32 * 1024


class Writing(typing.NamedTuple):
    """A write that waits for its peer.

    Parameters
    ----------
    since : float
        When the write began, or the peer last read something.
    patience_s : float
        Seconds without progress after which the peer is given up.
    pending : int or None
        Bytes that the peer had not taken at the last check.
    """

    since: float
    patience_s: float
    pending: int | None = None


class SlowReaders:
    """Gives up peers that read nothing for too long.

    Parameters
    ----------
    journal : Journal
    buffers : BufferBudget
    on_given_up : callable, optional
        Called without arguments for each peer that is given up.
    read_queued : callable, optional
        As `sockets.queued_bytes`.
    """

    def __init__(
        self,
        *,
        journal,
        buffers,
        on_given_up=None,
        read_queued=sockets.queued_bytes,
    ):
        self._journal = journal
        self._buffers = buffers
        self._on_given_up = on_given_up
        self._read_queued = read_queued
        self._is_told = True
        self._writing = {}

    def begin(self, peer, now, *, patience_s):
        """Record that a write to a `Peer` begins."""
        self._writing[peer] = Writing(now, patience_s)

    def end(self, peer):
        """Record that a write has ended."""
        self._writing.pop(peer, None)

    def check(self, now):
        """Give up the peers that have read nothing for too long."""
        stalled = self._stalled(now)
        kept = []
        for peer, writing in stalled:
            if now - writing.since >= writing.patience_s:
                self._give_up(peer, writing, now)
            else:
                kept.append((peer, writing))
        self._buffers.set_held(
            budget.Content.CONNECTION, len(kept) * CONNECTION_BYTES
        )
        excess = self._buffers.excess
        for peer, writing in kept:
            if excess <= 0 or now - writing.since < MIN_PATIENCE_S:
                break
            self._give_up(peer, writing, now)
            excess -= CONNECTION_BYTES

    def _stalled(self, now):
        """Return those that have read nothing since the last check.

        The ones that have waited longest come first.
        """
        stalled = []
        for peer, writing in list(self._writing.items()):
            pending = self._pending(peer.transport)
            last = writing.pending
            if not pending or last is None or pending < last:
                self._writing[peer] = writing._replace(
                    since=now, pending=pending
                )
            else:
                stalled.append((peer, writing))
        return sorted(stalled, key=lambda each: each[1].since)

    def _give_up(self, peer, writing, now):
        self.end(peer)
        self._journal.write(
            "slow_reader",
            request=peer.request,
            bytes=writing.pending,
            waited_s=round(now - writing.since, 2),
            excess=self._buffers.excess,
        )
        if self._on_given_up is not None:
            self._on_given_up()
        peer.give_up()

    def _pending(self, transport):
        """Return the bytes that the peer has not taken."""
        if transport is None or transport.is_closing():
            return 0
        size = transport.get_write_buffer_size()
        try:
            return size + self._read_queued(transport)
        except OSError as err:
            if self._is_told:
                self._journal.write("send_queue_unknown", why=str(err))
            self._is_told = False
            return size

    async def run(self, clock):
        """Check again and again."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check(clock())


class Peer:
    """Who reads the answer to one HTTP request.

    Parameters
    ----------
    http : aiohttp.web.BaseRequest
    request : str
        Id of the request.
    clock : callable
    slow_readers : SlowReaders or None
        None if nobody is given up.

    Attributes
    ----------
    is_given_up : bool
    """

    def __init__(self, *, http, request, clock, slow_readers):
        self._http = http
        self._clock = clock
        self._slow_readers = slow_readers
        self.request = request
        self.is_given_up = False

    @property
    def transport(self):
        """The connection, or None once it is closed."""
        return self._http.transport

    def give_up(self):
        """Close the connection."""
        self.is_given_up = True
        if self.transport is not None:
            self.transport.abort()

    async def write(self, response, data, *, patience_s):
        """Write a part of a response; give up a peer that does not read."""
        if self._takes(len(data)):
            await response.write(data)
            return
        with self._watch(patience_s):
            await response.write(data)

    async def write_eof(self, response, *, patience_s):
        """Write the end of a response, and wait until it is read."""
        with self._watch(patience_s):
            await response.write_eof()

    def _takes(self, size):
        """Return whether a write of some bytes cannot wait for the peer."""
        transport = self.transport
        return (
            transport is not None
            and not self._http.protocol.writing_paused
            and transport.get_write_buffer_size() + size <= FREE_BUFFER_BYTES
        )

    @contextlib.contextmanager
    def _watch(self, patience_s):
        if self._slow_readers is None:
            yield
            return
        self._slow_readers.begin(self, self._clock(), patience_s=patience_s)
        try:
            yield
        finally:
            self._slow_readers.end(self)


@kernel.plugin("slow_readers", needs=("buffers", "gateway_metrics", "journal"))
async def slow_readers(core):
    """Provide the `SlowReaders`, or None without a limit of memory."""
    if core.settings.memory_mb is None:
        yield None
        return
    part = SlowReaders(
        journal=core.part("journal"),
        buffers=core.part("buffers"),
        on_given_up=core.part("gateway_metrics").record_slow_reader,
    )
    core.keep_running(lambda: part.run(core.clock), name="give up readers")
    yield part
