"""Queue of a service: selects the pieces and the endpoint of the next call.

A call takes a fixed time and a little more for each piece, so pieces of
many requests share calls: those that arrive while all endpoints are busy
are queued, and the next free endpoint gets as many as a call may have.
"""

import bisect
import typing

__all__ = ["Batch", "QueuedPiece", "ServiceQueue", "is_large_result"]

# Weight of the newest call in the moving average of an endpoint's slowdown;
# two calls are enough to detect a slow endpoint.
SLOWDOWN_WEIGHT = 0.5
# Results of at least this share of an endpoint's memory are large: a few calls
# fill it.
LARGE_SHARE = 0.04
# A call is overdue when its answer has not come for this many fixed times of a
# call beyond its expected end.  The answer may be lost while the endpoint is
# free, so one more call is sent, which can wait there.
OVERDUE_CALLS = 2.0
MAX_EXTRA_CALLS = 1
# How long memory counts as occupied, beyond the results recorded here, after
# an endpoint reported that it has none: it may store results for an instance
# that used it before, or larger ones than configured.  About two calls; then
# it is tried again.
FULL_REPORT_TTL_S = 0.5


class QueuedPiece(typing.NamedTuple):
    """A piece that waits to be sent.

    Parameters
    ----------
    piece : Piece
    rank : tuple
        Sort key, smallest first; equal for all pieces of a stage.
    result_bytes : int
        Approximate size of its result.
    queued_at : float
    future : asyncio.Future
        Gets a `PieceOutcome`.
    """

    piece: typing.Any
    rank: tuple
    result_bytes: int
    queued_at: float
    future: typing.Any


class Batch(typing.NamedTuple):
    """Pieces for one call of one endpoint."""

    endpoint: typing.Any
    entries: list


class _Call(typing.NamedTuple):
    """A call in progress, and the slowdown that was told at its start."""

    expected_end: float
    told: float


def is_large_result(size, spec):
    """Return whether results of a size are large for an endpoint."""
    return size >= LARGE_SHARE * spec.memory_bytes


def _group_by_stage(queue):
    """Return lists of the entries of each request's stages, in order.

    Notes
    -----
    A service may process two stages of a request.  They start independently:
    one may have to wait until the other is done.
    """
    groups = {}
    for entry in queue:
        key = entry.piece.request, entry.piece.stage
        groups.setdefault(key, []).append(entry)
    return groups.values()


class ServiceQueue:
    """The queue of a service, and the load of its endpoints.

    Parameters
    ----------
    spec : PieceSpec
    told_slowdown : callable, optional
        Takes an endpoint and the time, returns how many times longer than
        usual it tells that its work takes, 1 if it has not told of late.
    """

    def __init__(self, *, spec, told_slowdown=None):
        self.spec = spec
        self._told_slowdown = told_slowdown or _no_slowdown
        self._queue = []
        # By endpoint: its `_Call`s in progress, and bytes of its results.
        # By handle of a result: expiry time, endpoint and bytes.  By endpoint:
        # expiry time and bytes of results not recorded here, and slowdown
        # beyond the told one.
        self._calls = {}
        self._stored = {}
        self._results = {}
        self._uncounted = {}
        self._slowdowns = {}

    @property
    def queued_count(self):
        """Number of pieces in the queue."""
        return len(self._queue)

    @property
    def stored_bytes(self):
        """Bytes of results that all endpoints store or compute."""
        return sum(self._stored.values())

    def slowdown(self, endpoint, now):
        """Return how many times longer its calls take than configured.

        Notes
        -----
        An endpoint can become slow without failing.  With estimates by
        the configured speed, its zone would still be sent requests, and
        answer them four times too late.
        """
        return self._learnt(endpoint) * self._told_slowdown(endpoint, now)

    def _learnt(self, endpoint):
        """Return the slowdown that is not told, from the latest calls."""
        return self._slowdowns.get(endpoint.id, 1.0)

    def call_count(self, endpoint):
        """Return the number of calls in progress at an endpoint."""
        return len(self._calls.get(endpoint.id, ()))

    def _can_take_call(self, endpoint, now):
        """Return whether an endpoint may get another call."""
        calls = self._calls.get(endpoint.id, ())
        overdue_s = OVERDUE_CALLS * self.spec.call_s
        waiting = sum(now <= each.expected_end + overdue_s for each in calls)
        extra = min(self.spec.queue, MAX_EXTRA_CALLS)
        return waiting < self.spec.slots and len(calls) < (
            self.spec.slots + extra
        )

    def add(self, entry):
        """Put a piece into the queue."""
        bisect.insort(self._queue, entry, key=lambda each: each.rank)

    def discard(self, request, stage):
        """Remove a stage's queued pieces that nobody waits for any more."""
        self._queue = [
            each
            for each in self._queue
            if (each.piece.request, each.piece.stage) != (request, stage)
        ]

    def pop_late(self, now):
        """Remove and return pieces that can no longer meet their deadlines."""
        min_s = self.call_s(1)
        late = [e for e in self._queue if now + min_s > e.piece.deadline]
        if late:
            self._queue = [
                e for e in self._queue if now + min_s <= e.piece.deadline
            ]
        return late

    def next_batch(self, endpoints, now, *, can_start, should_wait=None):
        """Remove the pieces of the next call from the queue.

        Parameters
        ----------
        endpoints : iterable of Endpoint
            Those that may get calls now.
        now : float
        can_start : callable
            Takes a `Piece` and an endpoint, returns whether it may be sent
            there now.
        should_wait : callable, optional
            Takes the pieces selected for the last free endpoint; True if
            the call should wait for more of them.

        Returns
        -------
        Batch or None
            None if no queued piece can start, no endpoint is free and
            has memory for a result, or the call should wait.
        """
        if not self._queue:
            return None
        self._expire(now)
        free = [each for each in endpoints if self._can_take_call(each, now)]
        if not free:
            return None
        free.sort(key=self.free_bytes, reverse=True)
        for endpoint in free:
            selected = self._select(endpoint, can_start)
            if selected:
                break
        else:
            return None
        if (
            should_wait is not None
            and len(free) == 1
            and should_wait(selected)
        ):
            return None
        selected_ids = {id(entry) for entry in selected}
        self._queue = [e for e in self._queue if id(e) not in selected_ids]
        return Batch(endpoint, selected)

    def _select(self, endpoint, can_start):
        free_bytes = self.free_bytes(endpoint)
        selected = []
        postponed = []
        for group in _group_by_stage(self._queue):
            if not can_start(group[0].piece, endpoint):
                continue
            capacity = self.spec.batch - len(selected)
            size = sum(entry.result_bytes for entry in group)
            if size > free_bytes and self._is_indivisible(group, size):
                # Until the group fits, only smaller results are sent;
                # others would take the memory that becomes free again and
                # again.
                free_bytes = min(free_bytes, group[0].result_bytes - 1)
                continue
            if selected and (len(group) > capacity or size > free_bytes):
                postponed.append(group)
                continue
            free_bytes = _select_fitting(
                group[:capacity], free_bytes, selected
            )
        # Fill the call with parts of postponed groups: a split request waits
        # a call longer for its second part, but a half-full call costs all
        # others as much.
        for group in postponed:
            capacity = self.spec.batch - len(selected)
            free_bytes = _select_fitting(
                group[:capacity], free_bytes, selected
            )
        return selected

    def _is_indivisible(self, group, size):
        """Return whether a group's pieces have to be sent in one call.

        Notes
        -----
        Results of encoders are large: those of a few requests fill an
        endpoint's memory.
        If pieces were sent one by one as memory for a result becomes
        free, many requests would store some results each and wait for
        the rest, in calls of one or two pieces.  What fits into no call
        or no endpoint has to be split.
        """
        return (
            is_large_result(group[0].result_bytes, self.spec)
            and size <= self.spec.memory_bytes
            and len(group) <= self.spec.batch
        )

    def free_bytes(self, endpoint):
        """Return the free memory for results at an endpoint."""
        stored = self._stored.get(endpoint.id, 0)
        _, uncounted = self._uncounted.get(endpoint.id, (0.0, 0.0))
        return self.spec.memory_bytes - stored - uncounted

    def start_call(self, batch, now):
        """Record the start of a call, and the memory for its results.

        Returns
        -------
        float
            When it should end.
        """
        key = batch.endpoint.id
        work_s = self.call_s(len(batch.entries))
        told = self._told_slowdown(batch.endpoint, now)
        expected_end = now + work_s * self._learnt(batch.endpoint) * told
        call = _Call(expected_end, told)
        self._calls.setdefault(key, []).append(call)
        size = sum(each.result_bytes for each in batch.entries)
        self._stored[key] = self._stored.get(key, 0) + size
        return expected_end

    def end_call(self, batch, expected_end, outcomes, now):
        """Record the end of a call.

        Parameters
        ----------
        batch : Batch
        expected_end : float
            As `start_call` returned it.
        outcomes : list of PieceOutcome
        now : float
        """
        key = batch.endpoint.id
        calls = self._calls[key]
        call = next(c for c in calls if c.expected_end == expected_end)
        calls.remove(call)
        if any(outcome.ref for outcome in outcomes):
            self._update_slowdown(batch, call, now)
        expires_at = now + self.spec.result_ttl_s
        for entry, outcome in zip(batch.entries, outcomes, strict=True):
            if outcome.ref is None:
                self._release(key, entry.result_bytes)
            else:
                self._results[outcome.ref.handle] = (
                    expires_at,
                    key,
                    entry.result_bytes,
                )
        rejected = [
            entry.result_bytes
            for entry, outcome in zip(batch.entries, outcomes, strict=True)
            if outcome.reason == "room"
        ]
        if rejected:
            # Less than the smallest of these is free; half of it is assumed.
            self._uncounted.pop(key, None)
            uncounted = self.free_bytes(batch.endpoint) - min(rejected) / 2
            self._uncounted[key] = (
                now + FULL_REPORT_TTL_S,
                max(0.0, uncounted),
            )

    def _update_slowdown(self, batch, call, now):
        slowdown = self._learnt(batch.endpoint)
        work_s = self.call_s(len(batch.entries))
        started_at = call.expected_end - work_s * slowdown * call.told
        # The endpoint may have become slow, or fast, within the call.
        told = max(call.told, self._told_slowdown(batch.endpoint, now))
        measured = max(1.0, (now - started_at) / work_s / told)
        self._slowdowns[batch.endpoint.id] = slowdown + SLOWDOWN_WEIGHT * (
            measured - slowdown
        )

    def free(self, handle):
        """Record that the memory of a result is free."""
        stored = self._results.pop(handle, None)
        if stored is not None:
            _, key, size = stored
            self._release(key, size)

    def call_s(self, count):
        """Return the configured seconds of a call with `count` pieces."""
        return self.spec.call_s + count * self.spec.piece_s

    def _expire(self, now):
        expired = [
            handle
            for handle, (expires_at, _, _) in self._results.items()
            if expires_at <= now
        ]
        for handle in expired:
            self.free(handle)
        for key, (expires_at, _) in list(self._uncounted.items()):
            if expires_at <= now:
                del self._uncounted[key]

    def _release(self, key, size):
        self._stored[key] = max(0, self._stored.get(key, 0) - size)


def _no_slowdown(_endpoint, _now):
    return 1.0


def _select_fitting(group, free_bytes, selected):
    """Select the pieces of a group that fit; return the bytes still free."""
    for entry in group:
        if entry.result_bytes <= free_bytes:
            free_bytes -= entry.result_bytes
            selected.append(entry)
    return free_bytes
