"""Run a streamed stage: check token offsets, resume on another engine."""

import contextlib
import uuid

import msgspec
import xxhash

from sycamoreshed.adapters import endpoints as adapters
from sycamoreshed.errors import kinds
from sycamoreshed.kernel import timeouts
from sycamoreshed.pipeline import evidence
from sycamoreshed.pipeline import hedges

__all__ = ["StreamedStage", "prefix_hash"]

# Consecutive failed attempts.  An attempt that added tokens counts as the
# first of a new sequence, so a long answer may break more often.
MAX_FAILED_ATTEMPTS = 3
PREFIX_BYTES = 256


def prefix_hash(payload):
    """Return a hash of the first bytes of a payload.

    Equal beginnings give equal hashes on every instance, so instances
    choose the same engine without exchanging messages.
    """
    raw = msgspec.json.encode(payload)
    return xxhash.xxh3_64_hexdigest(raw[:PREFIX_BYTES])


class StreamedStage:
    """Run the streamed calls of stages.

    Parameters
    ----------
    clock, client, router, membership, budget, metrics
        Parts of the daemon.
    """

    def __init__(self, *, clock, client, router, membership, budget, metrics):
        self._clock = clock
        self._client = client
        self._router = router
        self._membership = membership
        self._budget = budget
        self._metrics = metrics

    async def run(
        self,
        request,
        stage,
        payload,
        deadline,
        *,
        emit=None,
        may_repeat=hedges.allow,
    ):
        """Run a stage by `deadline`, emitting tokens as they arrive.

        Parameters
        ----------
        emit : coroutine function, optional
            Receives offset and token, in order and without gaps.
        may_repeat : callable
            Takes the time; whether a further attempt may begin.

        Returns
        -------
        StageAnswer or Failure
            A failure's ``sent`` is true if any of the attempts may have
            reached an engine.
        """
        self._budget.record_first_attempt()
        prefix = prefix_hash(payload)
        tokens = []
        tried = set()
        sent = False
        failed_attempts = 0
        while True:
            now = self._clock()
            if now >= deadline:
                return kinds.Failure(kinds.Kind.LATE, "no time left", sent)
            endpoint = self._router.choose(
                request, stage, now, avoid=tried, prefix=prefix
            )
            if endpoint is None:
                reason = f"no endpoint of {stage['service']}"
                return kinds.Failure(kinds.Kind.NO_ENDPOINT, reason, sent)
            tried.add(endpoint.name)
            start_offset = len(tokens)
            call = adapters.Call(
                request=request.id,
                stage=stage["name"],
                attempt=uuid.uuid4().hex,
                deadline_ms=(deadline - now) * 1000,
                payload=payload,
                priority=request.priority,
                offset=start_offset,
                prefix=prefix,
                adapter=stage.get("adapter"),
            )
            hedge_delay_s = None
            if len(tried) == 1:
                hedge_delay_s = self._router.loads.hedge_delay_s(endpoint, now)
            result = await self._attempt(
                endpoint,
                call,
                deadline,
                tokens,
                emit,
                hedge_delay_s,
                may_repeat,
            )
            if not isinstance(result, kinds.Failure):
                self._metrics.count_cross_region(
                    request, stage, endpoint, result
                )
                return result
            sent = sent or result.sent
            if result is hedges.MOVED:
                self._metrics.retries.labels(stage["name"], "moved").inc()
                continue
            failed_attempts = (
                1 if len(tokens) > start_offset else failed_attempts + 1
            )
            if (
                failed_attempts >= MAX_FAILED_ATTEMPTS
                or not may_repeat(self._clock())
                or not self._budget.try_spend()
            ):
                return result._replace(sent=sent)
            self._metrics.retries.labels(stage["name"], result.kind).inc()

    async def _attempt(
        self,
        endpoint,
        call,
        deadline,
        tokens,
        emit,
        hedge_delay_s,
        may_repeat,
    ):
        started_at = self._clock()
        self._router.loads.record_start(endpoint)
        # Recorded if the attempt is cancelled or the caller cannot be
        # written to.
        result = kinds.Failure(kinds.Kind.INTERNAL, "cancelled", sent=True)
        try:
            # The client limits each wait for the engine; this limit also
            # covers the time a slow caller takes to read.
            async with timeouts.time_limit(deadline - started_at) as timer:
                first_token = hedges.FirstTokenTimeout(
                    timer=timer,
                    delay_s=hedge_delay_s,
                    budget=self._budget,
                    may_repeat=lambda: may_repeat(self._clock()),
                )
                result = await self._read(
                    endpoint, call, deadline, tokens, emit, first_token
                )
        except TimeoutError:
            result = kinds.Failure(
                kinds.Kind.LATE, "stream not whole in time", sent=True
            )
            if first_token.moved:
                result = hedges.MOVED
        finally:
            first_token.disarm()
            self._router.record_result(
                endpoint, call, result, started_at, self._clock()
            )
            if isinstance(result, kinds.Failure) and result.sent:
                await adapters.cancel_in_background(
                    self._client, endpoint, call
                )
        if result is hedges.MOVED:
            return result
        evidence.report(
            self._membership,
            endpoint,
            result,
            limit_s=call.deadline_ms / 1000,
            now=self._clock(),
        )
        return result

    async def _read(self, endpoint, call, deadline, tokens, emit, first_token):
        timeout = deadline - self._clock()
        chunks = self._client.stream(endpoint, call, timeout=timeout)
        async with contextlib.aclosing(chunks):
            async for chunk in chunks:
                if isinstance(chunk, kinds.Failure):
                    return chunk
                if first_token.disarm():
                    self._router.loads.observe_first_output(
                        endpoint, first_token.elapsed_s, self._clock()
                    )
                failure = await self._accept(chunk, tokens, emit)
                if failure is not None:
                    return failure
                if chunk.finish is not None:
                    text = "".join(tokens)
                    return adapters.StageAnswer(text, chunk.size)
        return kinds.Failure(kinds.Kind.BROKEN_STREAM, "ended", sent=True)

    async def _accept(self, chunk, tokens, emit):
        if chunk.offset > len(tokens):
            reason = f"gap before offset {chunk.offset}"
            return kinds.Failure(kinds.Kind.BROKEN_STREAM, reason, sent=True)
        if chunk.finish is not None:
            if chunk.offset == len(tokens):
                return None
            reason = "finishing mark does not match the length"
            return kinds.Failure(kinds.Kind.BROKEN_STREAM, reason, sent=True)
        if chunk.offset < len(tokens):
            self._metrics.stray_answers.labels("duplicate-token").inc()
            return None
        tokens.append(chunk.token)
        if emit is not None:
            await emit(chunk.offset, chunk.token)
        return None
