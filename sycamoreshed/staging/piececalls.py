"""Calls of endpoints with pieces, and the classification of their answers."""

import asyncio

import msgspec

from sycamoreshed.errors import kinds
from sycamoreshed.forwarding import client
from sycamoreshed.links import wire
from sycamoreshed.residency import residency
from sycamoreshed.staging import opencalls
from sycamoreshed.staging import pieces

__all__ = ["PieceCalls", "no_results"]

# Timeout of a call, as a multiple of its expected time.  Endpoints that become
# slow take five times as long, and a call queued behind another instance's
# twice as long; after a shorter timeout, the endpoint would still process the
# call, although nobody waits for it.
CALL_TIMEOUT_FACTOR = 8.0
# Added to that; also the timeout for the body of the answer.
CALL_TIMEOUT_EXTRA_S = 0.5
# For an endpoint whose limit is used up; then other ones are tried.
MAX_PERMIT_WAIT_S = 0.5
_SUCCESS = 200

_LOST = kinds.Failure(
    kinds.Kind.LATE, "answer lost: a later call was answered", sent=True
)


class PieceCalls:
    """Sends the calls of one service.

    Parameters
    ----------
    spec : PieceSpec
    sender : EndpointSender
    codec : Platform
    health : Health
    crashes : CrashDetector
    limiter : Limiter
    clock : callable
    """

    def __init__(
        self, *, spec, sender, codec, health, crashes, limiter, clock
    ):
        self._spec = spec
        self._sender = sender
        self._codec = codec
        self._health = health
        self._crashes = crashes
        self._limiter = limiter
        self._clock = clock
        self._open_calls = opencalls.OpenCalls()

    async def run(self, batch):
        """Send a call.

        Parameters
        ----------
        batch : Batch

        Returns
        -------
        outcomes : list of PieceOutcome
            In the order of the pieces.
        status : str
            For the log.
        """
        endpoint = batch.endpoint
        if not await self._limiter.acquire(
            endpoint, max_wait_s=MAX_PERMIT_WAIT_S
        ):
            return no_results(batch, "full", sent=False), "over its limit"
        path, headers, body = self._codec.piece_call(
            [each.piece for each in batch.entries],
            endpoint=endpoint.id,
            now=self._clock(),
        )
        calls = [
            self._crashes.record_start(endpoint, fingerprint)
            for fingerprint in _context(batch).fingerprints
        ]
        try:
            answer = await self._send(batch, path, headers, body)
            if isinstance(answer, kinds.Failure) and answer.sent:
                if answer.kind is kinds.Kind.REFUSED:
                    self._crashes.record_break(endpoint)
        finally:
            for number in calls:
                self._crashes.record_end(endpoint, number)
        if isinstance(answer, kinds.Failure):
            if answer.kind is kinds.Kind.NO_ENDPOINT:
                return no_results(batch, "full", sent=False), answer.reason
            if answer is _LOST:
                # The endpoint is sound: it has answered a later call.
                return no_results(batch, "error", sent=True), answer.reason
            self._health.record_failure(
                endpoint, self._clock(), answer.reason, reachable=False
            )
            # A retry of a request that is rejected meanwhile would crash
            # another endpoint.
            await self._crashes.settle(endpoint)
            return no_results(batch, "error", answer.sent), answer.reason
        return self._parse(batch, answer)

    async def _send(self, batch, path, headers, body):
        """Send a call; return a `FullAnswer` or a `Failure`."""
        endpoint = batch.endpoint
        call = self._open_calls.start(endpoint)
        exchange = asyncio.ensure_future(
            self._exchange(batch, path, headers, body)
        )
        is_answered = False
        try:
            await asyncio.wait(
                {exchange, call.lost}, return_when=asyncio.FIRST_COMPLETED
            )
            if not exchange.done():
                return _LOST
            answer = exchange.result()
            # A call that is rejected does not wait for its turn.
            is_answered = (
                self._spec.slots == 1
                and not isinstance(answer, kinds.Failure)
                and answer.status == _SUCCESS
            )
            return answer
        finally:
            exchange.cancel()
            self._open_calls.end(endpoint, call, is_answered=is_answered)

    async def _exchange(self, batch, path, headers, body):
        count = len(batch.entries)
        work_s = self._spec.call_s + count * self._spec.piece_s
        sent_at = self._clock()
        response = await self._sender.send(
            "POST",
            batch.endpoint,
            path,
            headers,
            body,
            timeout_s=work_s * CALL_TIMEOUT_FACTOR + CALL_TIMEOUT_EXTRA_S,
            context=_context(batch),
        )
        if isinstance(response, kinds.Failure):
            return response
        tolerated = self._codec.tolerated_rejections(
            response.status, response.headers
        )
        if tolerated is not None:
            self._limiter.record_rejection(batch.endpoint, tolerated)
        rate = self._codec.rate_limit(response.headers)
        if rate is not None or response.status == _SUCCESS:
            self._limiter.record_answer(batch.endpoint, rate, sent_at=sent_at)
        return await client.read_full(response, timeout_s=CALL_TIMEOUT_EXTRA_S)

    def _parse(self, batch, answer):
        now = self._clock()
        if answer.status != _SUCCESS:
            verdict = self._codec.classify_response(
                answer.status, answer.headers
            ).value
            not_run = verdict in ("not-run", "elsewhere")
            status = f"status {answer.status}"
            self._health.record_failure(batch.endpoint, now, status)
            if not_run:
                outcomes = no_results(
                    batch, "full", sent=False, is_rejected=True
                )
                return outcomes, status
            return no_results(batch, "error", sent=True), status
        try:
            received = self._codec.decode_piece_results(answer.body)
        except msgspec.MsgspecError as err:
            self._health.record_failure(batch.endpoint, now, str(err))
            return no_results(batch, "error", sent=True), str(err)
        if len(received) != len(batch.entries):
            self._health.record_failure(
                batch.endpoint, now, "unexpected number of results"
            )
            return no_results(batch, "error", sent=True), "results missing"
        self._health.record_success(batch.endpoint, now)
        outcomes = [_outcome(each, batch.endpoint) for each in received]
        reasons = {each.reason for each in outcomes if each.ref is None}
        return outcomes, ",".join(sorted(map(str, reasons))) or "done"


def _outcome(received, endpoint):
    ref = None
    if received.handle is not None:
        ref = pieces.ResultRef(received.handle, endpoint.id)
    return pieces.PieceOutcome(ref, received.reason, sent=True)


def _context(batch):
    """Return the `Context` of a call with the pieces of several requests."""
    origins = [each.piece.origin for each in batch.entries]
    restricted = [each.regions for each in origins if each.regions is not None]
    return wire.Context(
        batch.entries[0].piece.request,
        tuple({each.fingerprint for each in origins if each.fingerprint}),
        residency.common_regions(*restricted),
    )


def no_results(batch, reason, sent, *, is_rejected=False):
    """Return the outcomes of a call without results."""
    outcome = pieces.PieceOutcome(None, reason, sent, is_rejected)
    return [outcome] * len(batch.entries)
