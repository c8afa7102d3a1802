"""Run an admitted request through the stages of its pipeline."""

import functools

from sycamoreshed.admission import budget as budgets
from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel
from sycamoreshed.pipeline import deadlines
from sycamoreshed.pipeline import requests
from sycamoreshed.pipeline import stops
from sycamoreshed.pipeline import streamed
from sycamoreshed.pipeline import unary

__all__ = ["Runner", "unrepeatable_stage"]


def unrepeatable_stage(config, pipeline):
    """Return the first stage that must not be repeated, or None."""
    services = config.sections["services"]
    for stage in config.sections["pipelines"][pipeline]["stages"]:
        if not services[stage["service"]].get("repeatable", True):
            return stage
    return None


class Runner:
    """Run the stages of pipelines.

    Parameters
    ----------
    clock : callable
    unary_stage : UnaryStage
    streamed_stage : StreamedStage
    metrics : Metrics
    stop_limit : StopLimit
    """

    def __init__(
        self, *, clock, unary_stage, streamed_stage, metrics, stop_limit
    ):
        self._clock = clock
        self._unary = unary_stage
        self._streamed = streamed_stage
        self._metrics = metrics
        self._stop_limit = stop_limit
        self._stage_times = deadlines.StageTimes()

    async def run(self, request, *, emit=None, gate=None):
        """Run all stages in order.

        Parameters
        ----------
        request : Request
        emit : coroutine function, optional
            Receives offset and token of each token of the last stage, if
            that is streamed.
        gate : object, optional
            Hooks around the stage that must not be repeated.  The
            coroutine ``before()`` returns None, or a result that ends the
            run; the coroutine ``after(result)`` returns the result to
            continue with.

        Returns
        -------
        Complete or Failure
            The result of ``gate.before()`` if that ends the run.  The
            ``sent`` of a failure of a stage tells whether the stage that
            must not be repeated may have run, or, if the pipeline has no
            such stage, whether any stage may have run.
        """
        spans = []
        result = None
        try:
            result = await self._run(request, spans, emit, gate)
        finally:
            is_whole = isinstance(result, requests.Complete)
            for span in spans:
                span.end(self._clock(), has_ended=is_whole)
        return result

    async def _run(self, request, spans, emit, gate):
        """Run all stages; add a span for each one that is begun."""
        stages = request.spec["stages"]
        unrepeatable = unrepeatable_stage(request.config, request.pipeline)
        payload = request.body
        sent = False
        for index, stage in enumerate(stages):
            now = self._clock()
            # Not before the first stage: a streamed answer has begun by then,
            # so that it has been decided before.
            if index and not self._stop_limit.allows(request, index, now):
                return _of_stage(stage, stops.STOPPING, sent=sent)
            spans.append(self._stop_limit.measure(request, index, now))
            is_last = index + 1 == len(stages)
            is_gated = gate is not None and stage is unrepeatable
            if is_gated:
                early_result = await gate.before()
                if early_result is not None:
                    return early_result
            result = await self._run_stage(
                request, index, payload, emit if is_last else None
            )
            if is_gated:
                result = await gate.after(result)
            if isinstance(result, kinds.Failure):
                is_relevant = unrepeatable in (None, stage)
                sent = sent or (result.sent and is_relevant)
                return _of_stage(stage, result, sent=sent)
            sent = sent or unrepeatable in (None, stage)
            payload = result.output
        names = tuple(stage["name"] for stage in stages)
        return requests.Complete(payload, names)

    async def _run_stage(self, request, index, payload, emit):
        now = self._clock()
        stages = request.spec["stages"]
        stage = stages[index]
        timing = (request.pipeline, stages, index, request.deadline, now)
        # Not before the first stage: there, admission has decided whether the
        # remaining time suffices.
        if index and self._stage_times.cannot_finish(*timing):
            return kinds.Failure(
                kinds.Kind.LATE, "less time left than it takes"
            )
        budget_s = self._stage_times.budget(*timing)
        may_repeat = functools.partial(self._stop_limit.allows, request, index)
        service = request.config.entry("services", stage["service"])
        histogram = self._metrics.stage_seconds.labels(
            request.pipeline, stage["name"]
        )
        try:
            # No timeout here: it would cancel the stage, and only the
            # stage can tell whether a call was sent.  Both kinds of stage
            # end by their deadline.
            if service["kind"] == "engine":
                result = await self._streamed.run(
                    request,
                    stage,
                    payload,
                    now + budget_s,
                    emit=emit,
                    may_repeat=may_repeat,
                )
            else:
                result = await self._unary.run(
                    request,
                    stage,
                    payload,
                    now + budget_s,
                    repeatable=service.get("repeatable", True),
                    may_repeat=may_repeat,
                )
        finally:
            ended_at = self._clock()
            histogram.observe(ended_at - now)
        if not isinstance(result, kinds.Failure):
            self._stage_times.add(
                request.pipeline, stage["name"], ended_at - now, ended_at
            )
        return result


def _of_stage(stage, failure, *, sent):
    """Return a failure that names its stage."""
    reason = f"stage {stage['name']}: {failure.reason}"
    return failure._replace(reason=reason, sent=sent)


@kernel.plugin(
    "runner",
    needs=("endpoints", "membership", "metrics", "router", "stop_limit"),
)
async def runner(core):
    """Provide the pipeline runner."""
    parts = {
        "clock": core.clock,
        "client": core.part("endpoints"),
        "router": core.part("router"),
        "membership": core.part("membership"),
        "budget": budgets.RetryBudget(share=core.settings.retry_share),
        "metrics": core.part("metrics"),
    }
    yield Runner(
        clock=core.clock,
        unary_stage=unary.UnaryStage(**parts),
        streamed_stage=streamed.StreamedStage(**parts),
        metrics=core.part("metrics"),
        stop_limit=core.part("stop_limit"),
    )
