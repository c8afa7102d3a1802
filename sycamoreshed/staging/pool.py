"""Decides which pieces go into the next call, and to which endpoint.

A call takes a fixed time and a little more for each piece, so pieces of
many requests share calls: those that come while all endpoints are busy
gather, and the next free endpoint takes as many as a call may hold.
"""

import bisect
import typing

__all__ = ["Batch", "Pool", "Waiting", "is_large"]

# Weight of the newest call in how slow an endpoint is; two calls tell.
SLOW_WEIGHT = 0.5
# Results of more than this share of an endpoint's room are large: a few calls
# fill it.
LARGE_SHARE = 0.04
# How long an endpoint's word that it has no room goes before what is counted
# here: it may hold results of an instance that batched before, or larger
# ones than the configuration says.  Some two calls; then it is tried again.
FULL_S = 0.5


class Waiting(typing.NamedTuple):
    """A piece that waits for its turn.

    Parameters
    ----------
    piece : Piece
    rank : tuple
        The least goes first; equal for all pieces of a stage.
    size : int
        Approximate bytes of its result.
    since : float
    done : asyncio.Future
        Gets a `Result`.
    """

    piece: typing.Any
    rank: tuple
    size: int
    since: float
    done: typing.Any


class Batch(typing.NamedTuple):
    """Pieces for one call of one endpoint."""

    endpoint: typing.Any
    waiting: list


def is_large(size, spec):
    """Return whether few results of a size fill an endpoint's room."""
    return size >= LARGE_SHARE * spec.room_bytes


def _by_stage(queue):
    """Return lists of the entries of each request's stages, in order.

    Notes
    -----
    A service may work on two stages of a request, of which one has to wait
    until the other is done.
    """
    groups = {}
    for waiting in queue:
        key = waiting.piece.request, waiting.piece.stage
        groups.setdefault(key, []).append(waiting)
    return groups.values()


class Pool:
    """The queue of a service, and the endpoints that work on it.

    Parameters
    ----------
    spec : PieceSpec
    """

    def __init__(self, *, spec):
        self.spec = spec
        self._queue = []
        self._calls = {}
        self._held = {}
        self._expiry = {}
        self._full = {}
        self._slow = {}

    @property
    def queued(self):
        """Pieces that wait."""
        return len(self._queue)

    @property
    def held_bytes(self):
        """Bytes of results that all endpoints hold."""
        return sum(self._held.values())

    def slowness(self, endpoint):
        """Return how many times longer its calls take than they should.

        Notes
        -----
        An endpoint can turn slow without failing.  Taken at the speed
        the configuration tells, its zone would go on being sent requests
        that it answers four times too late.
        """
        return self._slow.get(endpoint.id, 1.0)

    def calls(self, endpoint):
        """Return the calls in progress at an endpoint."""
        return len(self._calls.get(endpoint.id, ()))

    def add(self, waiting):
        """Put a piece into the queue."""
        bisect.insort(self._queue, waiting, key=lambda each: each.rank)

    def discard(self, request, stage):
        """Drop what waits for a request's stage that nobody wants."""
        self._queue = [
            each
            for each in self._queue
            if (each.piece.request, each.piece.stage) != (request, stage)
        ]

    def take_late(self, now):
        """Remove and return what can no longer be done in time."""
        least = self.work(1)
        late = [w for w in self._queue if now + least > w.piece.deadline]
        if late:
            self._queue = [
                w for w in self._queue if now + least <= w.piece.deadline
            ]
        return late

    def next_batch(self, endpoints, now, *, may_start, hold=None):
        """Take the pieces of the next call from the queue.

        Parameters
        ----------
        endpoints : iterable of Endpoint
            Those that may get calls now.
        now : float
        may_start : callable
            Takes a `Piece`; False while the stage that follows has
            enough waiting already.
        hold : callable, optional
            Takes the pieces chosen for the last free endpoint; True if
            the call waits for more of them.

        Returns
        -------
        Batch or None
            None if nothing waits that may start, or no endpoint is free
            and has room.
        """
        if not self._queue:
            return None
        self._expire(now)
        free = [
            each for each in endpoints if self.calls(each) < self.spec.slots
        ]
        if not free:
            return None
        endpoint = max(free, key=self.room)
        chosen = self._fill(self.room(endpoint), may_start)
        if not chosen:
            return None
        if hold is not None and len(free) == 1 and hold(chosen):
            return None
        taken = {id(waiting) for waiting in chosen}
        self._queue = [w for w in self._queue if id(w) not in taken]
        return Batch(endpoint, chosen)

    def _fill(self, room, may_start):
        chosen = []
        passed = []
        for group in _by_stage(self._queue):
            if not may_start(group[0].piece):
                continue
            left = self.spec.batch - len(chosen)
            size = sum(waiting.size for waiting in group)
            if size > room and self._is_whole(group, size):
                # Room that becomes free is kept for it, or smaller ones
                # behind would take it again and again.
                room = min(room, group[0].size - 1)
                continue
            if chosen and (len(group) > left or size > room):
                passed.append(group)
                continue
            room = _take(group[:left], room, chosen)
        # Torn apart, a request waits for the second part a call longer; a
        # call that goes out half full costs all others as much.
        for group in passed:
            left = self.spec.batch - len(chosen)
            room = _take(group[:left], room, chosen)
        return chosen

    def _is_whole(self, group, size):
        """Return whether a request's pieces are sent together or not at all.

        Notes
        -----
        Results of encoders fill an endpoint's room with those of a few
        requests.  Sent in parts as single results find room, many
        requests each hold some and wait for the rest, in calls of one or
        two pieces.  What fits into no call or no endpoint has to be
        parted.
        """
        return (
            is_large(group[0].size, self.spec)
            and size <= self.spec.room_bytes
            and len(group) <= self.spec.batch
        )

    def room(self, endpoint):
        """Return the bytes left for results at an endpoint."""
        held = self._held.get(endpoint.id, 0)
        _, unknown = self._full.get(endpoint.id, (0.0, 0.0))
        return self.spec.room_bytes - held - unknown

    def begin(self, batch, now):
        """Count a call that is sent, and the room of its results.

        Returns
        -------
        float
            When it should be done.
        """
        key = batch.endpoint.id
        work = self.work(len(batch.waiting))
        ready = now + work * self.slowness(batch.endpoint)
        self._calls.setdefault(key, []).append(ready)
        size = sum(each.size for each in batch.waiting)
        self._held[key] = self._held.get(key, 0) + size
        return ready

    def end(self, batch, ready, results, now):
        """Count the end of a call.

        Parameters
        ----------
        batch : Batch
        ready : float
            As `begin` returned it.
        results : list of Result
        now : float
        """
        key = batch.endpoint.id
        self._calls[key].remove(ready)
        if any(result.held for result in results):
            self._observe(batch, ready, now)
        until = now + self.spec.result_ttl_s
        for waiting, result in zip(batch.waiting, results, strict=True):
            if result.held is None:
                self._release(key, waiting.size)
            else:
                self._expiry[result.held.handle] = (until, key, waiting.size)
        refused = [
            waiting.size
            for waiting, result in zip(batch.waiting, results, strict=True)
            if result.why == "room"
        ]
        if refused:
            # Its room is less than the least of these.
            self._full.pop(key, None)
            unknown = self.room(batch.endpoint) - min(refused) / 2
            self._full[key] = (now + FULL_S, max(0.0, unknown))

    def _observe(self, batch, ready, now):
        slow = self.slowness(batch.endpoint)
        work = self.work(len(batch.waiting))
        began = ready - work * slow
        found = max(1.0, (now - began) / work)
        self._slow[batch.endpoint.id] = slow + SLOW_WEIGHT * (found - slow)

    def free(self, handle):
        """Release the room of a result that is freed or has expired."""
        held = self._expiry.pop(handle, None)
        if held is not None:
            _, key, size = held
            self._release(key, size)

    def work(self, count):
        """Return the seconds that a call with so many pieces takes."""
        return self.spec.call_s + count * self.spec.piece_s

    def _expire(self, now):
        late = [
            handle
            for handle, (until, _, _) in self._expiry.items()
            if until <= now
        ]
        for handle in late:
            self.free(handle)
        for key, (until, _) in list(self._full.items()):
            if until <= now:
                del self._full[key]

    def _release(self, key, size):
        self._held[key] = max(0, self._held.get(key, 0) - size)


def _take(group, room, chosen):
    """Move the pieces of a group that fit; return the room left."""
    for waiting in group:
        if waiting.size <= room:
            room -= waiting.size
            chosen.append(waiting)
    return room
