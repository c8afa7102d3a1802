"""Run a unary stage: attempts, retries, hedges and their outcomes."""

import asyncio
import functools
import random
import uuid

from sycamoreshed.adapters import endpoints as adapters
from sycamoreshed.errors import kinds
from sycamoreshed.pipeline import evidence
from sycamoreshed.pipeline import hedges

__all__ = ["UnaryStage"]

MAX_ATTEMPTS = 3
# Upper limit of the random pause before the first retry, doubled for each
# further one: a call whose endpoint fails at once is retried elsewhere with
# little delay.
BACKOFF_S = 0.02
# With less time than this a call cannot end in time and would only load the
# endpoint.
MIN_TIME_S = 0.005


class UnaryStage:
    """Run the unary calls of stages.

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
        repeatable,
        may_repeat=hedges.allow,
    ):
        """Run a stage by `deadline` (monotonic seconds).

        Parameters
        ----------
        request : Request
        stage : StageSpec
        payload : object
        deadline : float
        repeatable : bool
        may_repeat : callable
            Takes the time; whether a further attempt may begin.

        Returns
        -------
        StageAnswer or Failure
        """
        self._budget.record_first_attempt()
        tried = set()
        sent = False
        for attempt in range(MAX_ATTEMPTS):
            now = self._clock()
            if deadline - now < MIN_TIME_S:
                return kinds.Failure(kinds.Kind.LATE, "no time left", sent)
            endpoint = self._router.choose(request, stage, now, avoid=tried)
            if endpoint is None:
                reason = f"no endpoint of {stage['service']}"
                return kinds.Failure(kinds.Kind.NO_ENDPOINT, reason, sent)
            tried.add(endpoint.name)
            result = await hedges.first_answer(
                functools.partial(
                    self._measured_attempt,
                    request,
                    stage,
                    payload,
                    deadline,
                    endpoint,
                ),
                functools.partial(
                    self._hedge,
                    request,
                    stage,
                    payload,
                    deadline,
                    tried,
                    may_repeat,
                ),
                delay_s=self._hedge_delay_s(endpoint, now, repeatable),
            )
            if not isinstance(result, kinds.Failure):
                return result
            sent = sent or result.sent
            if sent and not repeatable:
                break
            if not may_repeat(self._clock()):
                break
            if not await self._may_retry(stage, result, attempt, deadline):
                break
        return result._replace(sent=sent)

    def _hedge_delay_s(self, endpoint, now, repeatable):
        if not repeatable:
            return None
        return self._router.loads.hedge_delay_s(endpoint, now)

    def _hedge(self, request, stage, payload, deadline, tried, may_repeat):
        """Return a second attempt, paid for by the budget, or None."""
        now = self._clock()
        if not may_repeat(now):
            return None
        if deadline - now < MIN_TIME_S or self._budget.tokens < 1:
            return None
        endpoint = self._router.choose(request, stage, now, avoid=tried)
        if endpoint is None or endpoint.name in tried:
            return None
        self._budget.try_spend()
        tried.add(endpoint.name)
        self._metrics.retries.labels(stage["name"], "hedge").inc()
        return self._measured_attempt(
            request, stage, payload, deadline, endpoint
        )

    async def _measured_attempt(
        self, request, stage, payload, deadline, endpoint
    ):
        started_at = self._clock()
        result = await self.attempt(
            request, stage, payload, deadline, endpoint
        )
        if isinstance(result, adapters.StageAnswer):
            self._metrics.count_cross_region(request, stage, endpoint, result)
            now = self._clock()
            self._router.loads.observe_first_output(
                endpoint, now - started_at, now
            )
        return result

    async def attempt(self, request, stage, payload, deadline, endpoint):
        """Send one call to one endpoint and report its outcome."""
        now = self._clock()
        call = adapters.Call(
            request=request.id,
            stage=stage["name"],
            attempt=uuid.uuid4().hex,
            deadline_ms=(deadline - now) * 1000,
            payload=payload,
            key=request.key,
            priority=request.priority,
            adapter=stage.get("adapter"),
        )
        self._router.loads.record_start(endpoint)
        result = None
        try:
            result = await self._client.call(
                endpoint, call, timeout=deadline - now
            )
        except asyncio.CancelledError:
            # The caller disconnected, or another attempt was faster.
            # Without the cancel the endpoint would keep working on a
            # result that nobody reads.
            await adapters.cancel_in_background(self._client, endpoint, call)
            raise
        finally:
            ended_at = self._clock()
            self._router.record_result(endpoint, call, result, now, ended_at)
        evidence.report(
            self._membership,
            endpoint,
            result,
            limit_s=deadline - now,
            now=ended_at,
            seconds=ended_at - now,
        )
        if isinstance(result, kinds.Failure) and result.sent:
            await adapters.cancel_in_background(self._client, endpoint, call)
        return result

    async def _may_retry(self, stage, failure, attempt, deadline):
        if attempt + 1 >= MAX_ATTEMPTS:
            return False
        remaining_s = deadline - self._clock() - MIN_TIME_S
        if remaining_s <= 0:
            return False
        if not self._budget.try_spend():
            return False
        self._metrics.retries.labels(stage["name"], failure.kind).inc()
        pause_s = random.uniform(0, BACKOFF_S * 2**attempt)
        await asyncio.sleep(min(pause_s, remaining_s))
        return True
