"""Sends pieces of stages to endpoints, many requests' in one call."""

import asyncio

import msgspec

from sycamoreshed.errors import kinds
from sycamoreshed.forwarding import client
from sycamoreshed.staging import pieces
from sycamoreshed.staging import pool

__all__ = ["Batcher"]

# On top of the time a call should take, before it counts as lost.  A call
# that waits at the endpoint behind another instance's takes twice as long.
CALL_FACTOR = 4.0
CALL_EXTRA_S = 0.5
FREE_TIMEOUT_S = 1.0
# Results to be freed are gathered that long: a call each would cost more
# than the room is worth.
FREE_DELAY_S = 0.02
# Between looks for endpoints when there are none, or none with room.
IDLE_S = 0.05


class Batcher:
    """Works off the pieces of one service with the endpoints of a zone.

    Parameters
    ----------
    service : Service
    endpoints : callable
        Takes the time, returns the endpoints that may get calls.
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
        client,
        codec,
        health,
        journal,
        clock,
        spawn,
    ):
        self._service = service
        self._endpoints = endpoints
        self._client = client
        self._codec = codec
        self._health = health
        self._journal = journal
        self._clock = clock
        self._spawn = spawn
        self._pool = pool.Pool(spec=service.pieces)
        self._wake = asyncio.Event()
        self._freed = {}
        self._task = None

    async def make(self, ask):
        """Have the pieces of an `Ask` made; return a `Made`.

        Raises
        ------
        asyncio.CancelledError
            If nobody wants them any more; what waits is dropped.
        """
        now = self._clock()
        loop = asyncio.get_running_loop()
        wanted = [_piece(ask, index, now) for index in ask.indices]
        start = self._pool.expected_start(self._endpoints(now), wanted[0], now)
        if start > wanted[0].until:
            # Known now, so told now: the caller can come back or do
            # without, instead of waiting for its deadline.
            late = [pieces.Result(None, "late")] * len(wanted)
            return pieces.Made(late, self.waits())
        futures = []
        for piece in wanted:
            future = loop.create_future()
            futures.append(future)
            self._pool.add(pool.Waiting(piece, ask.size, now, future))
        self._start()
        try:
            results = await asyncio.gather(*futures)
        except asyncio.CancelledError:
            self._pool.discard(ask.request)
            raise
        return pieces.Made(list(results), self.waits())

    def waits(self):
        """Return the `Waits` of pieces that came now."""
        now = self._clock()
        return self._pool.waits(self._endpoints(now), now)

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

    def _start(self):
        self._wake.set()
        if self._task is None or self._task.done():
            self._task = self._spawn(self._work(), name="batch pieces")

    async def _work(self):
        while True:
            self._wake.clear()
            self._drop_late()
            while self._send_next():
                pass
            if self._pool.queued:
                # Also looks again by itself: an endpoint may come back or
                # results may expire without anybody saying so here.
                try:
                    async with asyncio.timeout(IDLE_S):
                        await self._wake.wait()
                except TimeoutError:
                    pass
            else:
                await self._wake.wait()

    def _drop_late(self):
        for waiting in self._pool.take_late(self._clock()):
            _settle(waiting, pieces.Result(None, "late"))

    def _send_next(self):
        now = self._clock()
        batch = self._pool.next_batch(self._endpoints(now), now)
        if batch is None:
            return False
        ready = self._pool.begin(batch, now)
        self._spawn(self._call(batch, ready), name="call with pieces")
        return True

    async def _call(self, batch, ready):
        began = self._clock()
        self._journal.write(
            "batch",
            endpoint=batch.endpoint.id,
            service=self._service.name,
            requests=sorted({w.piece.request for w in batch.waiting}),
            pieces=len(batch.waiting),
            waited_s=round(began - min(w.since for w in batch.waiting), 4),
            queued=self._pool.queued,
            room_mb=round(self._pool.room(batch.endpoint) / 1e6, 2),
        )
        results = [pieces.Result(None, "error", sent=True)] * len(
            batch.waiting
        )
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

    def _hand_out(self, batch, results):
        unwanted = []
        for waiting, result in zip(batch.waiting, results, strict=True):
            if result.why == "room" and not waiting.done.done():
                # It was not worked on, and there will be room again.
                self._pool.add(waiting)
            elif not _settle(waiting, result) and result.handle:
                unwanted.append(pieces.Held(result.handle, result.maker))
        self.free(unwanted)
        self._wake.set()

    async def _attempt(self, batch, began):
        """Return the results of a call, and a word on how it went."""
        spec = self._service.pieces
        work = spec.call_s + len(batch.waiting) * spec.piece_s
        endpoint = batch.endpoint
        path, headers, body = self._codec.piece_call(
            [each.piece for each in batch.waiting],
            endpoint=endpoint.id,
            now=began,
        )
        response = await self._client.send(
            "POST",
            endpoint.address,
            path,
            headers,
            body,
            within=work * CALL_FACTOR + CALL_EXTRA_S,
        )
        answer = response
        if not isinstance(response, kinds.Failure):
            answer = await client.read_whole(response, within=CALL_EXTRA_S)
        if isinstance(answer, kinds.Failure):
            self._health.bad(
                endpoint, self._clock(), answer.reason, reached=False
            )
            return self._none(batch, "error", answer.sent), answer.reason
        return self._read(batch, answer)

    def _read(self, batch, answer):
        now = self._clock()
        verdict = self._codec.judge(answer.status, answer.headers)
        if answer.status != 200:
            not_run = verdict.value in ("not-run", "elsewhere")
            self._health.bad(batch.endpoint, now, f"status {answer.status}")
            why = "full" if not_run else "error"
            return (
                self._none(batch, why, sent=not not_run),
                f"status {answer.status}",
            )
        try:
            found = self._codec.read_pieces(answer.body)
        except msgspec.MsgspecError as err:
            self._health.bad(batch.endpoint, now, str(err))
            return self._none(batch, "error", sent=True), str(err)
        if len(found) != len(batch.waiting):
            self._health.bad(batch.endpoint, now, "other number of results")
            return self._none(batch, "error", sent=True), "results missing"
        self._health.good(batch.endpoint, now)
        maker = batch.endpoint.id
        results = [
            pieces.Result(each.handle, each.why, True, maker) for each in found
        ]
        bad = [each.why for each in found if each.handle is None]
        return results, ",".join(sorted(set(filter(None, bad)))) or "done"

    def _none(self, batch, why, sent):
        return [pieces.Result(None, why, sent)] * len(batch.waiting)

    async def _tell_freed(self, name):
        await asyncio.sleep(FREE_DELAY_S)
        handles = self._freed.pop(name)
        now = self._clock()
        found = [e for e in self._endpoints(now) if e.id == name]
        if not found:
            # Leaving or avoided; its results expire by themselves.
            return
        path, headers, body = self._codec.free_call(handles, endpoint=name)
        response = await self._client.send(
            "POST",
            found[0].address,
            path,
            headers,
            body,
            within=FREE_TIMEOUT_S,
        )
        why = "done"
        if isinstance(response, kinds.Failure):
            why = response.reason
        else:
            why = f"status {response.status}"
            response.close()
        self._journal.write(
            "freed", endpoint=name, results=len(handles), why=why
        )
        # Only now is there room again; counted earlier, pieces would be
        # sent in vain.
        for handle in handles:
            self._pool.free(handle)
        self._wake.set()


def _piece(ask, index, now):
    return pieces.Piece(
        request=ask.request,
        stage=ask.stage,
        index=index,
        aim=now + ask.aim_s,
        until=now + ask.until_s,
        key=ask.key,
        inputs=tuple(ask.inputs),
        priority=ask.priority,
    )


def _settle(waiting, result):
    """Give a result to who waits; return whether anybody does."""
    if waiting.done.done():
        return False
    waiting.done.set_result(result)
    return True
