"""Decides which pieces go into the next call, and to which endpoint.

A call takes a fixed time and a little more for each piece, so pieces of
many requests share calls: those that come while all endpoints are busy
gather, and the next free endpoint takes as many as a call may hold.
Nothing waits for company while an endpoint is free.
"""

import bisect
import typing

__all__ = ["Batch", "Pool", "Waiting"]

# Pieces told late or dropped are not begun if less than this is left.
MARGIN_S = 0.02


class Waiting(typing.NamedTuple):
    """A piece that waits for its turn.

    Parameters
    ----------
    piece : Piece
    size : int
        Approximate bytes of its result.
    since : float
    done : asyncio.Future
        Gets a `Result`.
    """

    piece: typing.Any
    size: int
    since: float
    done: typing.Any


class Batch(typing.NamedTuple):
    """Pieces for one call of one endpoint."""

    endpoint: typing.Any
    waiting: list


class Pool:
    """The queue of a service, and the endpoints that work on it.

    Parameters
    ----------
    spec : PieceSpec
    """

    def __init__(self, *, spec):
        self.spec = spec
        self._queue = []
        self._order = 0
        self._calls = {}
        self._held = {}
        self._expiry = {}

    @property
    def queued(self):
        """Pieces that wait."""
        return len(self._queue)

    def calls(self, endpoint):
        """Return the calls in progress at an endpoint."""
        return self._calls.get(endpoint.id, 0)

    def add(self, waiting):
        """Put a piece into the queue, the most urgent first."""
        self._order += 1
        entry = (waiting.piece.aim, self._order, waiting)
        bisect.insort(self._queue, entry)

    def discard(self, request):
        """Drop what waits for a request that nobody wants any more."""
        self._queue = [
            each for each in self._queue if each[2].piece.request != request
        ]

    def take_late(self, now):
        """Remove and return what can no longer be done in time."""
        least = self.spec.call_s + self.spec.piece_s
        late = []
        kept = []
        for entry in self._queue:
            over = now + least > entry[2].piece.until
            (late if over else kept).append(entry)
        if late:
            self._queue = kept
        return [entry[2] for entry in late]

    def next_batch(self, endpoints, now):
        """Take the pieces of the next call from the queue.

        Parameters
        ----------
        endpoints : iterable of Endpoint
            Those that may get calls now.
        now : float

        Returns
        -------
        Batch or None
            None if nothing waits, or no endpoint is free and has room.
        """
        if not self._queue:
            return None
        free = [
            each for each in endpoints if self.calls(each) < self.spec.slots
        ]
        if not free:
            return None
        self._expire(now)
        endpoint = max(free, key=self.room)
        chosen = self._fill(self.room(endpoint), now)
        if not chosen:
            return None
        taken = {id(entry) for entry in chosen}
        self._queue = [e for e in self._queue if id(e) not in taken]
        return Batch(endpoint, [entry[2] for entry in chosen])

    def _fill(self, room, now):
        # Who can still be in time goes first; behind them those that are
        # late already, whose answers are worth a little yet.
        work = self.spec.call_s
        hopeful = [e for e in self._queue if e[0] >= now + work]
        others = [e for e in self._queue if e[0] < now + work]
        chosen = []
        for entry in hopeful + others:
            if len(chosen) >= self.spec.batch:
                break
            if entry[2].size > room:
                continue
            room -= entry[2].size
            chosen.append(entry)
        return chosen

    def room(self, endpoint):
        """Return the bytes left for results at an endpoint."""
        return self.spec.room_bytes - self._held.get(endpoint.id, 0)

    def begin(self, batch):
        """Count a call that is sent, and the room of its results."""
        key = batch.endpoint.id
        self._calls[key] = self.calls(batch.endpoint) + 1
        size = sum(each.size for each in batch.waiting)
        self._held[key] = self._held.get(key, 0) + size

    def end(self, batch, handles, now):
        """Count the end of a call.

        Parameters
        ----------
        batch : Batch
        handles : list of str or None
            Of the results, None where there is none.
        now : float
        """
        key = batch.endpoint.id
        self._calls[key] = self.calls(batch.endpoint) - 1
        until = now + self.spec.result_ttl_s
        for waiting, handle in zip(batch.waiting, handles, strict=True):
            if handle is None:
                self._release(key, waiting.size)
            else:
                self._expiry[handle] = (until, key, waiting.size)

    def free(self, handle):
        """Release a result's room; return its endpoint's id or None."""
        held = self._expiry.pop(handle, None)
        if held is None:
            return None
        _, key, size = held
        self._release(key, size)
        return key

    def expected_wait(self, endpoints):
        """Return the seconds until a piece that came now had its turn."""
        count = len(endpoints)
        if not count:
            return float("inf")
        spec = self.spec
        whole = spec.call_s + spec.batch * spec.piece_s
        ahead, rest = divmod(self.queued, spec.batch)
        queued = ahead * whole
        if rest:
            queued += spec.call_s + rest * spec.piece_s
        busy = sum(min(self.calls(each), spec.slots) for each in endpoints)
        # A call in progress is half done on the average.
        return (queued + busy * whole / 4) / (count * spec.slots)

    def _expire(self, now):
        late = [
            handle
            for handle, (until, _, _) in self._expiry.items()
            if until <= now
        ]
        for handle in late:
            self.free(handle)

    def _release(self, key, size):
        self._held[key] = max(0, self._held.get(key, 0) - size)
