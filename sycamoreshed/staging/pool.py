"""Decides which pieces go into the next call, and to which endpoint.

A call takes a fixed time and a little more for each piece, so pieces of
many requests share calls: those that come while all endpoints are busy
gather, and the next free endpoint takes as many as a call may hold.
Nothing waits for company while an endpoint is free.
"""

import bisect
import collections
import typing

from sycamoreshed.staging import pieces

__all__ = ["Batch", "Pool", "Waiting"]

# A request of the next lower priority yields as if its answer were due that
# much later.  Less, and the most urgent requests, which often have the most
# stages, are late more often than others; the whole aim of a request is 1
# to 2 s.
PRIORITY_STEP_S = 0.25
# An endpoint that said it has no room gets no pieces for that long, or
# until some of its results are freed: a call takes about as long, and some
# of the results it holds are fetched and freed by then.
FULL_S = 0.15
# Room that results of late requests leave free: they would keep out those
# that come a moment later and can be in time.
LATE_ROOM_SHARE = 0.0
# Time over which the rate of pieces is measured that goes into estimates.
RATE_S = 1.5


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


def _by_request(entries):
    """Return lists of the entries of each request, in order."""
    groups = {}
    for entry in entries:
        groups.setdefault(entry[2].piece.request, []).append(entry)
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
        self._order = 0
        self._calls = {}
        self._held = {}
        self._expiry = {}
        self._full = {}
        self._taken = collections.deque()

    @property
    def queued(self):
        """Pieces that wait."""
        return len(self._queue)

    def calls(self, endpoint):
        """Return the calls in progress at an endpoint."""
        return len(self._calls.get(endpoint.id, ()))

    def add(self, waiting):
        """Put a piece into the queue, the most urgent first."""
        self._order += 1
        piece = waiting.piece
        urgency = piece.aim + PRIORITY_STEP_S * piece.priority
        bisect.insort(self._queue, (urgency, self._order, waiting))

    def expected_start(self, endpoints, piece, now):
        """Return when pieces as urgent as this would have their turn."""
        if self._is_late(piece, now):
            return now + self._wait(endpoints, self.queued, now)
        urgency = piece.aim + PRIORITY_STEP_S * piece.priority
        ahead = bisect.bisect_right(self._queue, (urgency, self._order + 1))
        return now + self._wait(endpoints, ahead, now)

    def _is_late(self, piece, now):
        return piece.aim < now

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
        self._expire(now)
        free = [
            each
            for each in endpoints
            if self.calls(each) < self.spec.slots
            and now >= self._full.get(each.id, 0.0)
        ]
        if not free:
            return None
        endpoint = max(free, key=self.room)
        chosen = self._fill(self.room(endpoint), now)
        if not chosen:
            return None
        self._taken.append((now, len(chosen)))
        taken = {id(entry) for entry in chosen}
        self._queue = [e for e in self._queue if id(e) not in taken]
        return Batch(endpoint, [entry[2] for entry in chosen])

    def _fill(self, room, now):
        # Who can still be in time goes first; behind them those that are
        # late already, whose answers are worth a little yet.
        timely = [e for e in self._queue if not self._is_late(e[2].piece, now)]
        late = [e for e in self._queue if self._is_late(e[2].piece, now)]
        chosen = []
        passed = []
        for group in _by_request(timely + late):
            left = self.spec.batch - len(chosen)
            size = sum(entry[2].size for entry in group)
            if chosen and (len(group) > left or size > room):
                passed.append(group)
                continue
            room = self._take(group[:left], room, chosen)
        # Torn apart, a request waits for the second part a call longer; a
        # call that goes out half full costs all others as much.
        for group in passed:
            left = self.spec.batch - len(chosen)
            room = self._take(group[:left], room, chosen)
        return chosen

    def _take(self, entries, room, chosen):
        for entry in entries:
            if entry[2].size <= room:
                room -= entry[2].size
                chosen.append(entry)
        return room

    def room(self, endpoint):
        """Return the bytes left for results at an endpoint."""
        return self.spec.room_bytes - self._held.get(endpoint.id, 0)

    def begin(self, batch, now):
        """Count a call that is sent, and the room of its results."""
        key = batch.endpoint.id
        ready = now + self.work(len(batch.waiting))
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
        until = now + self.spec.result_ttl_s
        for waiting, result in zip(batch.waiting, results, strict=True):
            if result.handle is None:
                self._release(key, waiting.size)
            else:
                self._expiry[result.handle] = (until, key, waiting.size)
            if result.why == "room":
                self._full[key] = now + FULL_S

    def free(self, handle):
        """Release the room of a result that is freed or has expired."""
        held = self._expiry.pop(handle, None)
        if held is not None:
            _, key, size = held
            self._release(key, size)
            self._full.pop(key, None)

    def work(self, count):
        """Return the seconds that a call with so many pieces takes."""
        return self.spec.call_s + count * self.spec.piece_s

    def waits(self, endpoints, now):
        """Return the `Waits` of pieces that came now."""
        timely = sum(
            not self._is_late(entry[2].piece, now) for entry in self._queue
        )
        return pieces.Waits(
            self._wait(endpoints, timely, now),
            self._wait(endpoints, self.queued, now),
        )

    def _wait(self, endpoints, ahead, now):
        places = len(endpoints) * self.spec.slots
        if not places:
            return float("inf")
        calls = [
            max(0.0, ready - now)
            for each in endpoints
            for ready in self._calls.get(each.id, ())
        ]
        if len(calls) < places and not ahead:
            return 0.0
        whole, rest = divmod(ahead, self.spec.batch)
        queued = whole * self.work(self.spec.batch)
        if rest:
            queued += self.work(rest)
        by_work = (queued + sum(calls)) / places
        return max(by_work, ahead / self._rate(now, by_work))

    def _rate(self, now, by_work):
        """Return the pieces a second that lately had their turn.

        Where results fill the room of endpoints, calls go out with fewer
        pieces than they may have, or not at all, and the queue takes
        longer than the work in it.
        """
        while self._taken and self._taken[0][0] < now - RATE_S:
            self._taken.popleft()
        if len(self._taken) < 2 or by_work <= 0:
            return float("inf")
        return sum(count for _, count in self._taken) / RATE_S

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
