"""One unary stage: attempts, retries, and what an attempt's end means."""

import asyncio
import functools
import random
import uuid

from sycamoreshed.adapters import endpoints as adapters
from sycamoreshed.errors import kinds
from sycamoreshed.pipeline import evidence
from sycamoreshed.pipeline import hedges

__all__ = ["UnaryStage"]

MOST_ATTEMPTS = 3
BACKOFF_S = 0.02
# An engine that dies at once is retried at once elsewhere; a retry that
# cannot end in time would only load the endpoint.
LEAST_TIME_S = 0.005


class UnaryStage:
    """Runs unary calls of stages.

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

    async def run(self, request, stage, payload, until, *, repeatable):
        """Run a stage by `until` (monotonic seconds).

        Returns
        -------
        StageAnswer or Failure
        """
        self._budget.record_first_attempt()
        tried = set()
        sent = False
        for attempt in range(MOST_ATTEMPTS):
            now = self._clock()
            if until - now < LEAST_TIME_S:
                return kinds.Failure(kinds.Kind.LATE, "no time left", sent)
            endpoint = self._router.choose(request, stage, now, avoid=tried)
            if endpoint is None:
                reason = f"no endpoint of {stage['service']}"
                return kinds.Failure(kinds.Kind.NO_ENDPOINT, reason, sent)
            tried.add(endpoint.name)
            result = await hedges.first_answer(
                functools.partial(
                    self._call, request, stage, payload, until, endpoint
                ),
                functools.partial(
                    self._other, request, stage, payload, until, tried
                ),
                seconds=self._patience(endpoint, now, repeatable),
            )
            if not isinstance(result, kinds.Failure):
                return result
            sent = sent or result.sent
            if sent and not repeatable:
                break
            if not await self._may_retry(stage, result, attempt, until):
                break
        return result._replace(sent=sent)

    def _patience(self, endpoint, now, repeatable):
        if not repeatable:
            return None
        return self._router.loads.hedge_delay_s(endpoint, now)

    def _other(self, request, stage, payload, until, tried):
        """Return a second attempt beside a slow one, or None."""
        now = self._clock()
        if until - now < LEAST_TIME_S or self._budget.tokens < 1:
            return None
        endpoint = self._router.choose(request, stage, now, avoid=tried)
        if endpoint is None or endpoint.name in tried:
            return None
        self._budget.try_spend()
        tried.add(endpoint.name)
        self._metrics.retries.labels(stage["name"], "hedge").inc()
        return self._call(request, stage, payload, until, endpoint)

    async def _call(self, request, stage, payload, until, endpoint):
        began = self._clock()
        result = await self.attempt(request, stage, payload, until, endpoint)
        if isinstance(result, adapters.StageAnswer):
            self._metrics.count_crossing(request, stage, endpoint, result)
            now = self._clock()
            self._router.loads.observe_first_output(endpoint, now - began, now)
        return result

    async def attempt(self, request, stage, payload, until, endpoint):
        """Send one call to one endpoint, and report its outcome."""
        now = self._clock()
        call = adapters.Call(
            request=request.id,
            stage=stage["name"],
            attempt=uuid.uuid4().hex,
            deadline_ms=(until - now) * 1000,
            payload=payload,
            key=request.key,
            priority=request.priority,
            adapter=stage.get("adapter"),
        )
        self._router.loads.record_start(endpoint)
        result = None
        try:
            result = await self._client.call(
                endpoint, call, timeout=until - now
            )
        except asyncio.CancelledError:
            # The caller went away: without this the endpoint would work
            # on for nobody.
            await adapters.cancel_quietly(self._client, endpoint, call)
            raise
        finally:
            ended = self._clock()
            self._router.record_result(endpoint, call, result, now, ended)
        evidence.report(
            self._membership,
            endpoint,
            result,
            given_s=until - now,
            now=ended,
            seconds=ended - now,
        )
        if isinstance(result, kinds.Failure) and result.sent:
            await adapters.cancel_quietly(self._client, endpoint, call)
        return result

    async def _may_retry(self, stage, failure, attempt, until):
        if attempt + 1 >= MOST_ATTEMPTS:
            return False
        left = until - self._clock() - LEAST_TIME_S
        if left <= 0:
            return False
        if not self._budget.try_spend():
            return False
        self._metrics.retries.labels(stage["name"], failure.kind).inc()
        pause = random.uniform(0, BACKOFF_S * 2**attempt)
        await asyncio.sleep(min(pause, left))
        return True
