"""Runs an admitted request through the stages of its pipeline."""

from sycamoreshed.admission import budget as budgets
from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel
from sycamoreshed.pipeline import deadlines
from sycamoreshed.pipeline import requests
from sycamoreshed.pipeline import streamed
from sycamoreshed.pipeline import unary

__all__ = ["Runner", "unrepeatable_stage"]


def unrepeatable_stage(config, pipeline):
    """Return the stage of a pipeline that may not be repeated, or None."""
    services = config.sections["services"]
    for stage in config.sections["pipelines"][pipeline]["stages"]:
        if not services[stage["service"]].get("repeatable", True):
            return stage
    return None


class Runner:
    """Runs pipelines.

    Parameters
    ----------
    clock : callable
    unary_stage : UnaryStage
    streamed_stage : StreamedStage
    metrics : Metrics
    """

    def __init__(self, *, clock, unary_stage, streamed_stage, metrics):
        self._clock = clock
        self._unary = unary_stage
        self._streamed = streamed_stage
        self._metrics = metrics
        self._times = deadlines.StageTimes()

    async def run(self, request, *, emit=None, gate=None):
        """Run all stages in order.

        Parameters
        ----------
        request : Request
        emit : coroutine function, optional
            Takes offset and token of the last stage.
        gate : object, optional
            Stands before the stage that may not be repeated.  Its
            coroutine ``before()`` returns None, or what ends the run;
            ``after(result)`` returns the result to go on with.

        Returns
        -------
        Complete or Failure
            A failure's ``sent`` tells whether the stage that may not be
            repeated may have run, if there is one; else whether any did.
        """
        stages = request.spec["stages"]
        critical = unrepeatable_stage(request.config, request.pipeline)
        payload = request.body
        sent = False
        for index, stage in enumerate(stages):
            last = index + 1 == len(stages)
            guarded = gate is not None and stage is critical
            if guarded:
                end = await gate.before()
                if end is not None:
                    return end
            result = await self._run_stage(
                request, index, payload, emit if last else None
            )
            if guarded:
                result = await gate.after(result)
            if isinstance(result, kinds.Failure):
                counts = critical in (None, stage)
                sent = sent or (result.sent and counts)
                reason = f"stage {stage['name']}: {result.reason}"
                return result._replace(reason=reason, sent=sent)
            sent = sent or critical in (None, stage)
            payload = result.output
        names = tuple(stage["name"] for stage in stages)
        return requests.Complete(payload, names)

    async def _run_stage(self, request, index, payload, emit):
        now = self._clock()
        stages = request.spec["stages"]
        stage = stages[index]
        ends = (request.pipeline, stages, index, request.deadline, now)
        if index and self._times.hopeless(*ends):
            return kinds.Failure(
                kinds.Kind.LATE, "less time left than it takes"
            )
        seconds = self._times.budget(*ends)
        service = request.config.entry("services", stage["service"])
        timer = self._metrics.stage_seconds.labels(
            request.pipeline, stage["name"]
        )
        try:
            # No timeout here: it would cut off the stage where only the
            # stage knows whether a call was sent.  Both kinds of stage
            # end by the time they are given.
            if service["kind"] == "engine":
                result = await self._streamed.run(
                    request, stage, payload, now + seconds, emit=emit
                )
            else:
                result = await self._unary.run(
                    request,
                    stage,
                    payload,
                    now + seconds,
                    repeatable=service.get("repeatable", True),
                )
        finally:
            ended = self._clock()
            timer.observe(ended - now)
        if not isinstance(result, kinds.Failure):
            self._times.add(
                request.pipeline, stage["name"], ended - now, ended
            )
        return result


@kernel.plugin(
    "runner", needs=("endpoints", "membership", "metrics", "router")
)
async def runner(core):
    """Provide the runner of pipelines."""
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
    )
