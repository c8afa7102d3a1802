"""One streamed stage: offsets, gaps, and resuming on another engine."""

import contextlib
import uuid

import msgspec
import xxhash

from sycamoreshed.adapters import endpoints as adapters
from sycamoreshed.errors import kinds

__all__ = ["StreamedStage", "prefix_of"]

MOST_ATTEMPTS = 3
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
        """
        self._budget.earn()
        tokens = []
        tried = set()
        for attempt in range(MOST_ATTEMPTS):
            now = self._clock()
            if now >= until:
                break
            endpoint = self._router.choose(
                request, stage, now, avoid=tried, prefix=prefix_of(payload)
            )
            if endpoint is None:
                reason = f"no endpoint of {stage['service']}"
                return kinds.Failure(
                    kinds.Kind.NO_ENDPOINT, reason, bool(tried)
                )
            tried.add(endpoint.name)
            result = await self._attempt(
                request, stage, payload, until, endpoint, tokens, emit
            )
            if not isinstance(result, kinds.Failure):
                return result
            if attempt + 1 == MOST_ATTEMPTS or not self._budget.spend():
                return result._replace(sent=True)
            self._metrics.retries.labels(stage["name"], result.kind).inc()
        return kinds.Failure(kinds.Kind.LATE, "no time left", bool(tried))

    async def _attempt(
        self, request, stage, payload, until, endpoint, tokens, emit
    ):
        now = self._clock()
        call = adapters.Call(
            request=request.id,
            stage=stage["name"],
            attempt=uuid.uuid4().hex,
            deadline_ms=(until - now) * 1000,
            payload=payload,
            priority=request.priority,
            offset=len(tokens),
            prefix=prefix_of(payload),
            adapter=stage.get("adapter"),
        )
        self._router.loads.begin(endpoint)
        result = None
        try:
            result = await self._read(endpoint, call, until, tokens, emit)
        finally:
            self._router.finished(
                request, stage, endpoint, result, now, self._clock()
            )
            if not isinstance(result, adapters.StageAnswer):
                await adapters.cancel_quietly(self._client, endpoint, call)
        ok = isinstance(result, adapters.StageAnswer)
        self._membership.report(endpoint, ok=ok, now=self._clock())
        return result

    async def _read(self, endpoint, call, until, tokens, emit):
        timeout = until - self._clock()
        chunks = self._client.stream(endpoint, call, timeout=timeout)
        async with contextlib.aclosing(chunks):
            async for chunk in chunks:
                if isinstance(chunk, kinds.Failure):
                    return chunk
                fault = await self._take(chunk, tokens, emit)
                if fault is not None:
                    return fault
                if chunk.finish is not None:
                    text = "".join(tokens)
                    return adapters.StageAnswer(text, len(text))
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
