"""Sends pieces to endpoints, those of many requests in one call."""

import asyncio

from sycamoreshed.errors import kinds
from sycamoreshed.staging import piececalls
from sycamoreshed.staging import pieces
from sycamoreshed.staging import queueing

__all__ = ["Batcher"]

FREE_TIMEOUT_S = 1.0
# Results to be freed are collected for this long: a call for each would cost
# more than its memory is worth.
FREE_DELAY_S = 0.02
# Interval of checks while pieces are queued: no event announces that an
# endpoint is available again or that results have expired.
POLL_S = 0.05
# A call is delayed for pieces that are due within this share of its fixed
# time, so that it has more of them.
MAX_DELAY_SHARE = 0.67


class Batcher:
    """Processes the pieces of one service with the endpoints of a zone.

    Parameters
    ----------
    service : Service
    endpoints : callable
        Takes the time, returns the endpoints that may get calls.
    allows : callable
        Takes regions as in `Origin`, and a zone; returns whether the zone
        is in one of them.
    find_endpoint : callable
        Takes the id of an endpoint, returns it or None.
    scheduler : Scheduler
    sender : EndpointSender
    codec : Platform
    health : Health
    crashes : CrashDetector
    limiter : Limiter
    journal : Journal
    clock : callable
    tasks : BackgroundTasks
    told_slowdown : callable, optional
        See `ServiceQueue`.
    """

    def __init__(
        self,
        *,
        service,
        endpoints,
        allows,
        find_endpoint,
        scheduler,
        sender,
        codec,
        health,
        crashes,
        limiter,
        journal,
        clock,
        tasks,
        told_slowdown=None,
    ):
        self.service = service
        self._endpoints = endpoints
        self._allows = allows
        self._find_endpoint = find_endpoint
        self._scheduler = scheduler
        self._sender = sender
        self._codec = codec
        self._limiter = limiter
        self._journal = journal
        self._clock = clock
        self._tasks = tasks
        self._queue = queueing.ServiceQueue(
            spec=service.pieces, told_slowdown=told_slowdown
        )
        # Admitted jobs, by request and stage in progress; a request may have
        # two such stages.
        self._admitted = {}
        self._calls = piececalls.PieceCalls(
            spec=service.pieces,
            sender=sender,
            codec=codec,
            health=health,
            crashes=crashes,
            limiter=limiter,
            clock=clock,
        )
        self._wake = asyncio.Event()
        self._pending_frees = {}
        self._task = None

    @property
    def stored_bytes(self):
        """Bytes of results that the endpoints store or compute."""
        return self._queue.stored_bytes

    @property
    def concurrency(self):
        """Slots of the endpoints, each divided by the endpoint's slowdown."""
        slots = self.service.pieces.slots
        now = self._clock()
        return sum(
            slots / self._queue.slowdown(each, now)
            for each in self._endpoints(now)
        )

    async def run_pieces(self, admitted, requested, result_bytes):
        """Process pieces of one stage of a job.

        Parameters
        ----------
        admitted : AdmittedJob
        requested : list of Piece
        result_bytes : int
            Approximate size of a result.

        Returns
        -------
        list of PieceOutcome
            In the order of the pieces.

        Raises
        ------
        asyncio.CancelledError
            If the caller is cancelled; queued pieces are dropped, and the
            results that there are freed.
        """
        loop = asyncio.get_running_loop()
        now = self._clock()
        futures = []
        key = admitted.job.request, requested[0].stage
        self._admitted[key] = admitted
        self._scheduler.record_inputs(admitted, requested[0].stage)
        for piece in requested:
            future = loop.create_future()
            futures.append(future)
            entry = queueing.QueuedPiece(
                piece, admitted.rank, result_bytes, now, future
            )
            self._queue.add(entry)
        self._ensure_worker()
        try:
            return list(await asyncio.gather(*futures))
        except asyncio.CancelledError:
            # Those of calls in progress are freed once these have ended.
            ended = [
                each.result()
                for each in futures
                if each.done() and not each.cancelled()
            ]
            self.free([each.ref for each in ended if each.ref])
            raise
        finally:
            self._queue.discard(*key)
            self._admitted.pop(key, None)

    def free(self, refs):
        """Free results; the calls to their endpoints go out a moment later.

        Parameters
        ----------
        refs : list of ResultRef
            May include results requested by another instance that
            coordinated the zone before.
        """
        for ref in refs:
            if ref.endpoint not in self._pending_frees:
                self._pending_frees[ref.endpoint] = []
                self._tasks.spawn(
                    self._send_frees(ref.endpoint), name="free stage results"
                )
            self._pending_frees[ref.endpoint].append(ref.handle)

    def wake(self):
        """Check again for pieces that can start."""
        self._wake.set()

    def _ensure_worker(self):
        self._wake.set()
        if self._task is None or self._task.done():
            self._task = self._tasks.keep_running(
                self._work, name="batch pieces"
            )

    async def _work(self):
        while True:
            self._wake.clear()
            for entry in self._queue.pop_late(self._clock()):
                _resolve(entry, pieces.PieceOutcome(None, "late"))
            while self._send_next():
                pass
            timeout = POLL_S if self._queue.queued_count else None
            try:
                async with asyncio.timeout(timeout):
                    await self._wake.wait()
            except TimeoutError:
                continue

    def _can_start(self, piece, endpoint):
        if not self._allows(piece.origin.regions, endpoint.zone):
            return False
        admitted = self._admitted.get((piece.request, piece.stage))
        return admitted is None or self._scheduler.can_start(
            admitted, piece.stage
        )

    def _should_wait(self, selected, now):
        """Return whether a call should wait for pieces that are due soon.

        Notes
        -----
        If it were sent at once, the call would take its fixed time for a
        few pieces, and those due a moment later would wait for its end.
        """
        spec = self.service.pieces
        deadline = now + MAX_DELAY_SHARE * spec.call_s
        count = len(selected)
        wait_s = None
        for each in self._scheduler.upcoming(self.service.name, now, deadline):
            count += each.count
            if count > spec.batch:
                break
            wait_s = each.due_at - now
        if wait_s is None:
            return False
        end = now + wait_s + self._queue.call_s(min(count, spec.batch))
        return all(end <= self._target_at(each.piece) for each in selected)

    def _target_at(self, piece):
        """Return when a piece should be done for its job to be on target."""
        admitted = self._admitted.get((piece.request, piece.stage))
        if admitted is None:
            return piece.deadline
        return piece.deadline - (admitted.deadline - admitted.target_at)

    def _send_next(self):
        now = self._clock()
        batch = self._queue.next_batch(
            self._endpoints(now),
            now,
            can_start=self._can_start,
            should_wait=lambda selected: self._should_wait(selected, now),
        )
        if batch is None:
            return False
        expected_end = self._queue.start_call(batch, now)
        for entry in batch.entries:
            piece = entry.piece
            admitted = self._admitted.get((piece.request, piece.stage))
            if admitted is not None:
                self._scheduler.record_sent(
                    admitted, piece.stage, 1, expected_end
                )
        self._tasks.spawn(
            self._call(batch, expected_end), name="call with pieces"
        )
        return True

    async def _call(self, batch, expected_end):
        started_at = self._clock()
        self._log_call(batch, started_at)
        outcomes = piececalls.no_results(batch, "error", sent=True)
        status = "cancelled"
        try:
            outcomes, status = await self._calls.run(batch)
        finally:
            now = self._clock()
            self._queue.end_call(batch, expected_end, outcomes, now)
            self._deliver(batch, outcomes)
            self._journal.write(
                "batch_ended",
                endpoint=batch.endpoint.id,
                pieces=len(outcomes),
                no_room=sum(each.reason == "room" for each in outcomes),
                took_s=round(now - started_at, 4),
                why=status,
            )

    def _log_call(self, batch, now):
        self._journal.write(
            "batch",
            endpoint=batch.endpoint.id,
            service=self.service.name,
            requests=sorted({e.piece.request for e in batch.entries}),
            pieces=len(batch.entries),
            waited_s=round(now - min(e.queued_at for e in batch.entries), 4),
            queued=self._queue.queued_count,
            room_mb=round(self._queue.free_bytes(batch.endpoint) / 1e6, 2),
        )

    def _deliver(self, batch, outcomes):
        unclaimed = []
        for entry, outcome in zip(batch.entries, outcomes, strict=True):
            if outcome.reason == "room" and not entry.future.done():
                # It was not processed, and memory will become free again.
                self._queue.add(entry)
            elif not _resolve(entry, outcome) and outcome.ref:
                unclaimed.append(outcome.ref)
        self.free(unclaimed)
        self._wake.set()

    async def _send_frees(self, endpoint_id):
        await asyncio.sleep(FREE_DELAY_S)
        handles = self._pending_frees.pop(endpoint_id)
        # This also finds endpoints that are leaving, avoided or in another
        # zone: they store the results until this call, or until they expire.
        endpoint = self._find_endpoint(endpoint_id)
        # Over its limit, or while it rests, an endpoint frees the results when
        # they expire.
        if endpoint is None or not await self._limiter.acquire(endpoint):
            return
        path, headers, body = self._codec.free_call(
            handles, endpoint=endpoint_id
        )
        answer = await self._sender.post_idempotent(
            endpoint, path, headers, body, timeout_s=FREE_TIMEOUT_S
        )
        failed = isinstance(answer, kinds.Failure)
        status = answer.reason if failed else f"status {answer.status}"
        self._journal.write(
            "freed", endpoint=endpoint_id, results=len(handles), why=status
        )
        if failed and answer.kind is kinds.Kind.NO_ENDPOINT:
            return
        # Recorded as free only after the call: earlier, the endpoint would
        # reject the pieces sent to it.
        for handle in handles:
            self._queue.free(handle)
        self._wake.set()


def _resolve(entry, outcome):
    """Set the outcome of a piece; return whether anybody waits for it."""
    if entry.future.done():
        return False
    entry.future.set_result(outcome)
    return True
