"""Sends pieces of stages to endpoints, many requests' in one call."""

import asyncio

import msgspec

from sycamoreshed.errors import kinds
from sycamoreshed.forwarding import client
from sycamoreshed.staging import pieces
from sycamoreshed.staging import pool

__all__ = ["Batcher"]

# How many times longer than it should a call may take before it counts as
# lost.  Endpoints that turn slow take five times as long, and a call that
# waits behind another instance's twice; given up earlier, the endpoint works
# on it all the same, for nobody.
CALL_FACTOR = 8.0
CALL_EXTRA_S = 0.5
FREE_TIMEOUT_S = 1.0
# Results to be freed are gathered that long: a call each would cost more
# than the room is worth.
FREE_DELAY_S = 0.02
# Between looks while pieces wait: an endpoint may come back or results may
# expire without anybody saying so here.
LOOK_S = 0.05
# A call waits for pieces that are due within this share of its fixed time, so
# that it goes out fuller.
COMPANY_SHARE = 0.67


class Batcher:
    """Works off the pieces of one service with the endpoints of a zone.

    Parameters
    ----------
    service : Service
    endpoints : callable
        Takes the time, returns the endpoints that may get calls.
    lookup : callable
        Takes the id of an endpoint, returns it or None.
    plans : Plans
    client : EndpointClient
    codec : Platform
    health : Health
    journal : Journal
    clock : callable
    spawn : callable
    """

    def __init__(
        self,
        *,
        service,
        endpoints,
        lookup,
        plans,
        client,
        codec,
        health,
        journal,
        clock,
        spawn,
    ):
        self.service = service
        self._endpoints = endpoints
        self._lookup = lookup
        self._plans = plans
        self._client = client
        self._codec = codec
        self._health = health
        self._journal = journal
        self._clock = clock
        self._spawn = spawn
        self._pool = pool.Pool(spec=service.pieces)
        # Of stages that are being made; two of a request may be.
        self._plan_of = {}
        self._wake = asyncio.Event()
        self._freed = {}
        self._task = None

    @property
    def held_bytes(self):
        """Bytes of results that the endpoints hold."""
        return self._pool.held_bytes

    @property
    def places(self):
        """Calls at the usual speed that endpoints work on at a time."""
        slots = self.service.pieces.slots
        return sum(
            slots / self._pool.slowness(each)
            for each in self._endpoints(self._clock())
        )

    async def make(self, plan, wanted, size):
        """Have pieces of one stage of a job made.

        Parameters
        ----------
        plan : Plan
        wanted : list of Piece
        size : int
            Approximate bytes of a result.

        Returns
        -------
        list of Result
            In the order of the pieces.

        Raises
        ------
        asyncio.CancelledError
            If nobody wants them any more; what waits is dropped.
        """
        loop = asyncio.get_running_loop()
        now = self._clock()
        futures = []
        key = plan.job.request, wanted[0].stage
        self._plan_of[key] = plan
        self._plans.arrived(plan, wanted[0].stage)
        for piece in wanted:
            future = loop.create_future()
            futures.append(future)
            waiting = pool.Waiting(piece, plan.rank, size, now, future)
            self._pool.add(waiting)
        self._start()
        try:
            return list(await asyncio.gather(*futures))
        finally:
            self._pool.discard(*key)
            self._plan_of.pop(key, None)

    def free(self, results):
        """Give up results; their endpoints are told a moment later.

        Parameters
        ----------
        results : list of Held
            Also those that another instance had made, which may have
            been the one to batch before.
        """
        for held in results:
            if held.maker not in self._freed:
                self._freed[held.maker] = []
                self._spawn(
                    self._tell_freed(held.maker), name="free stage results"
                )
            self._freed[held.maker].append(held.handle)

    def wake(self):
        """Look again for pieces that may start."""
        self._wake.set()

    def _start(self):
        self._wake.set()
        if self._task is None or self._task.done():
            self._task = self._spawn(self._work(), name="batch pieces")

    async def _work(self):
        while True:
            self._wake.clear()
            for waiting in self._pool.take_late(self._clock()):
                _settle(waiting, pieces.Result(None, "late"))
            while self._send_next():
                pass
            timeout = LOOK_S if self._pool.queued else None
            try:
                async with asyncio.timeout(timeout):
                    await self._wake.wait()
            except TimeoutError:
                continue

    def _may_start(self, piece):
        plan = self._plan_of.get((piece.request, piece.stage))
        return plan is None or self._plans.may_start(plan, piece.stage)

    def _holds(self, chosen, now):
        """Return whether a call waits for pieces that come in a moment.

        Notes
        -----
        Sent at once, the call takes its fixed time for a few pieces, and
        those that come a moment later wait for all of it.
        """
        spec = self.service.pieces
        until = now + COMPANY_SHARE * spec.call_s
        count = len(chosen)
        wait = None
        for each in self._plans.coming(self.service.name, now, until):
            count += each.count
            if count > spec.batch:
                break
            wait = each.due - now
        if wait is None:
            return False
        end = now + wait + self._pool.work(min(count, spec.batch))
        return all(end <= self._aim(each.piece) for each in chosen)

    def _aim(self, piece):
        """Return when a piece should be done for its job to be in time."""
        plan = self._plan_of.get((piece.request, piece.stage))
        if plan is None:
            return piece.deadline
        return piece.deadline - (plan.deadline - plan.aim)

    def _send_next(self):
        now = self._clock()
        batch = self._pool.next_batch(
            self._endpoints(now),
            now,
            may_start=self._may_start,
            hold=lambda chosen: self._holds(chosen, now),
        )
        if batch is None:
            return False
        ready = self._pool.begin(batch, now)
        for waiting in batch.waiting:
            piece = waiting.piece
            plan = self._plan_of.get((piece.request, piece.stage))
            if plan is not None:
                self._plans.started(plan, piece.stage, 1, ready)
        self._spawn(self._call(batch, ready), name="call with pieces")
        return True

    async def _call(self, batch, ready):
        began = self._clock()
        self._tell(batch, began)
        results = _none(batch, "error", sent=True)
        why = "cancelled"
        try:
            results, why = await self._attempt(batch, began)
        finally:
            now = self._clock()
            self._pool.end(batch, ready, results, now)
            self._hand_out(batch, results)
            self._journal.write(
                "batch_ended",
                endpoint=batch.endpoint.id,
                pieces=len(results),
                no_room=sum(each.why == "room" for each in results),
                took_s=round(now - began, 4),
                why=why,
            )

    def _tell(self, batch, now):
        self._journal.write(
            "batch",
            endpoint=batch.endpoint.id,
            service=self.service.name,
            requests=sorted({w.piece.request for w in batch.waiting}),
            pieces=len(batch.waiting),
            waited_s=round(now - min(w.since for w in batch.waiting), 4),
            queued=self._pool.queued,
            room_mb=round(self._pool.room(batch.endpoint) / 1e6, 2),
        )

    def _hand_out(self, batch, results):
        unwanted = []
        for waiting, result in zip(batch.waiting, results, strict=True):
            if result.why == "room" and not waiting.done.done():
                # It was not worked on, and there will be room again.
                self._pool.add(waiting)
            elif not _settle(waiting, result) and result.held:
                unwanted.append(result.held)
        self.free(unwanted)
        self._wake.set()

    async def _attempt(self, batch, began):
        """Return the results of a call, and a word on how it went."""
        endpoint = batch.endpoint
        path, headers, body = self._codec.piece_call(
            [each.piece for each in batch.waiting],
            endpoint=endpoint.id,
            now=began,
        )
        work = self._pool.work(len(batch.waiting))
        response = await self._client.send(
            "POST",
            endpoint.address,
            path,
            headers,
            body,
            timeout_s=work * CALL_FACTOR + CALL_EXTRA_S,
        )
        answer = response
        if not isinstance(response, kinds.Failure):
            answer = await client.read_full(response, timeout_s=CALL_EXTRA_S)
        if isinstance(answer, kinds.Failure):
            self._health.record_failure(
                endpoint, self._clock(), answer.reason, reachable=False
            )
            return _none(batch, "error", answer.sent), answer.reason
        return self._read(batch, answer)

    def _read(self, batch, answer):
        now = self._clock()
        if answer.status != 200:
            verdict = self._codec.judge(answer.status, answer.headers).value
            not_run = verdict in ("not-run", "elsewhere")
            why = f"status {answer.status}"
            self._health.record_failure(batch.endpoint, now, why)
            return _none(batch, "full" if not_run else "error", not not_run), (
                why
            )
        try:
            found = self._codec.read_pieces(answer.body)
        except msgspec.MsgspecError as err:
            self._health.record_failure(batch.endpoint, now, str(err))
            return _none(batch, "error", sent=True), str(err)
        if len(found) != len(batch.waiting):
            self._health.record_failure(
                batch.endpoint, now, "other number of results"
            )
            return _none(batch, "error", sent=True), "results missing"
        self._health.record_success(batch.endpoint, now)
        results = [_result(each, batch.endpoint) for each in found]
        bad = {each.why for each in results if each.held is None}
        return results, ",".join(sorted(map(str, bad))) or "done"

    async def _tell_freed(self, name):
        await asyncio.sleep(FREE_DELAY_S)
        handles = self._freed.pop(name)
        # Also one that leaves, is avoided or belongs to another zone: it
        # holds the results until it is told, or they expire.
        endpoint = self._lookup(name)
        if endpoint is None:
            return
        path, headers, body = self._codec.free_call(handles, endpoint=name)
        answer = await self._client.post_idempotent(
            endpoint.address, path, headers, body, timeout_s=FREE_TIMEOUT_S
        )
        if isinstance(answer, kinds.Failure):
            why = answer.reason
        else:
            why = f"status {answer.status}"
        self._journal.write(
            "freed", endpoint=name, results=len(handles), why=why
        )
        # Only now is there room again; counted earlier, pieces would be
        # sent in vain.
        for handle in handles:
            self._pool.free(handle)
        self._wake.set()


def _result(found, endpoint):
    held = None
    if found.handle is not None:
        held = pieces.Held(found.handle, endpoint.id)
    return pieces.Result(held, found.why, sent=True)


def _none(batch, why, sent):
    return [pieces.Result(None, why, sent)] * len(batch.waiting)


def _settle(waiting, result):
    """Give a result to who waits; return whether anybody does."""
    if waiting.done.done():
        return False
    waiting.done.set_result(result)
    return True
