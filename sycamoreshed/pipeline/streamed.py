"""One streamed stage: offsets, gaps, and resuming on another engine."""

import contextlib
import uuid

import msgspec
import xxhash

from sycamoreshed.adapters import endpoints as adapters
from sycamoreshed.errors import kinds
from sycamoreshed.kernel import limits
from sycamoreshed.pipeline import evidence
from sycamoreshed.pipeline import hedges

__all__ = ["StreamedStage", "prefix_of"]

# In a row without a single new token; a long answer may break more often.
MOST_FRUITLESS = 3
PREFIX_BYTES = 256


def prefix_of(payload):
    """Return a hash of the beginning of a prompt.

    Equal beginnings give equal hashes on every instance, which is what
    lets them find the same engine without a message.
    """
    raw = msgspec.json.encode(payload)
    return xxhash.xxh3_64_hexdigest(raw[:PREFIX_BYTES])


class StreamedStage:
    """Runs streamed calls of stages.

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

    async def run(self, request, stage, payload, until, *, emit=None):
        """Run a stage by `until`, passing tokens on as they come.

        Parameters
        ----------
        emit : coroutine function, optional
            Takes offset and token, in order and without gaps.

        Returns
        -------
        StageAnswer or Failure
            A failure's ``sent`` is true if any of the attempts may have
            reached an engine.
        """
        self._budget.record_first_attempt()
        prefix = prefix_of(payload)
        tokens = []
        tried = set()
        sent = False
        fruitless = 0
        while True:
            now = self._clock()
            if now >= until:
                return kinds.Failure(kinds.Kind.LATE, "no time left", sent)
            endpoint = self._router.choose(
                request, stage, now, avoid=tried, prefix=prefix
            )
            if endpoint is None:
                reason = f"no endpoint of {stage['service']}"
                return kinds.Failure(kinds.Kind.NO_ENDPOINT, reason, sent)
            tried.add(endpoint.name)
            had = len(tokens)
            call = adapters.Call(
                request=request.id,
                stage=stage["name"],
                attempt=uuid.uuid4().hex,
                deadline_ms=(until - now) * 1000,
                payload=payload,
                priority=request.priority,
                offset=had,
                prefix=prefix,
                adapter=stage.get("adapter"),
            )
            patience = None
            if len(tried) == 1:
                patience = self._router.loads.hedge_delay_s(endpoint, now)
            result = await self._attempt(
                endpoint, call, until, tokens, emit, patience
            )
            if not isinstance(result, kinds.Failure):
                self._metrics.count_crossing(request, stage, endpoint, result)
                return result
            sent = sent or result.sent
            if result is hedges.MOVED:
                self._metrics.retries.labels(stage["name"], "moved").inc()
                continue
            fruitless = 1 if len(tokens) > had else fruitless + 1
            if fruitless >= MOST_FRUITLESS or not self._budget.try_spend():
                return result._replace(sent=sent)
            self._metrics.retries.labels(stage["name"], result.kind).inc()

    async def _attempt(self, endpoint, call, until, tokens, emit, patience):
        began = self._clock()
        self._router.loads.record_start(endpoint)
        # Stands for what is known if the attempt is cancelled from outside.
        result = kinds.Failure(kinds.Kind.INTERNAL, "cancelled", sent=True)
        try:
            # The client bounds each wait for the engine; this bounds also
            # the waits for a caller that reads slowly.
            async with limits.limit(until - began) as timer:
                first = hedges.Patience(
                    timer=timer,
                    seconds=patience,
                    budget=self._budget,
                )
                result = await self._read(
                    endpoint, call, until, tokens, emit, first
                )
        except TimeoutError:
            result = kinds.Failure(
                kinds.Kind.LATE, "stream not whole in time", sent=True
            )
            if first.moved:
                result = hedges.MOVED
        finally:
            first.met()
            self._router.record_result(
                endpoint, call, result, began, self._clock()
            )
            if isinstance(result, kinds.Failure) and result.sent:
                await adapters.cancel_quietly(self._client, endpoint, call)
        if result is hedges.MOVED:
            return result
        evidence.report(
            self._membership,
            endpoint,
            result,
            given_s=call.deadline_ms / 1000,
            now=self._clock(),
        )
        return result

    async def _read(self, endpoint, call, until, tokens, emit, first):
        timeout = until - self._clock()
        chunks = self._client.stream(endpoint, call, timeout=timeout)
        async with contextlib.aclosing(chunks):
            async for chunk in chunks:
                if isinstance(chunk, kinds.Failure):
                    return chunk
                if first.met():
                    self._router.loads.observe_first_output(
                        endpoint, first.waited, self._clock()
                    )
                fault = await self._take(chunk, tokens, emit)
                if fault is not None:
                    return fault
                if chunk.finish is not None:
                    text = "".join(tokens)
                    return adapters.StageAnswer(text, chunk.size)
        return kinds.Failure(kinds.Kind.BROKEN_STREAM, "ended", sent=True)

    async def _take(self, chunk, tokens, emit):
        if chunk.offset > len(tokens):
            reason = f"gap before offset {chunk.offset}"
            return kinds.Failure(kinds.Kind.BROKEN_STREAM, reason, sent=True)
        if chunk.finish is not None:
            if chunk.offset == len(tokens):
                return None
            reason = "finishing mark does not match the length"
            return kinds.Failure(kinds.Kind.BROKEN_STREAM, reason, sent=True)
        if chunk.offset < len(tokens):
            self._metrics.strays.labels("duplicate-token").inc()
            return None
        tokens.append(chunk.token)
        if emit is not None:
            await emit(chunk.offset, chunk.token)
        return None
