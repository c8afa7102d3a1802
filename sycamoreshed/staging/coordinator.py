"""Takes jobs through all their stages, with the endpoints of one zone."""

import asyncio
import typing

from sycamoreshed.errors import kinds
from sycamoreshed.kernel import limits
from sycamoreshed.staging import pieces
from sycamoreshed.staging import planning

__all__ = ["Coordinator"]

# Attempts at the pieces of a stage; each after the first is taken from
# the budget of repeats.
MOST_ATTEMPTS = 3
GRACE_S = 0.1
# Added to the time after which a refused job would be in time if nothing new
# came: a caller that returns into the same burst is refused for good.
RETRY_EXTRA_S = 1.6
# Results take a moment to be fetched by whoever takes them as inputs.
FETCH_S = 0.02


class _Run(typing.NamedTuple):
    """A job under way: futures of each stage's results."""

    plan: typing.Any
    specs: dict
    stages: list


class Coordinator:
    """Runs the stages of jobs in one zone.

    Parameters
    ----------
    zone : str
    services : callable
        Takes a name, returns the `Service` if it works on pieces.
    endpoints : callable
        Takes the name of a service and the time, returns the endpoints
        that may get calls.
    make_batcher : callable
        Takes `Service`, endpoints and `Plans`, returns a `Batcher`.
    budget : RetryBudget
    instances : callable
        Returns how many instances share the budget.
    journal : Journal
    clock : callable
    """

    def __init__(
        self,
        *,
        zone,
        services,
        endpoints,
        make_batcher,
        budget,
        instances,
        journal,
        clock,
    ):
        self._zone = zone
        self._services = services
        self._endpoints = endpoints
        self._make_batcher = make_batcher
        self._budget = budget
        self._instances = instances
        self._journal = journal
        self._clock = clock
        self._batchers = {}
        self._plans = planning.Plans(
            specs=self._spec, places=self._places, held=self._held
        )

    async def run(self, job):
        """Run a job; return `Done`."""
        now = self._clock()
        names = {s.service for s in job.stages if s.count}
        if not all(map(self._services, names)):
            return self._none("a service takes no pieces", False)
        plan = self._plans.admit(job, now)
        self._tell(job, plan)
        if plan is None:
            # Known now, so told now: the caller can come back or do
            # without, instead of waiting for its deadline.
            wait = self._plans.excess(job, now)
            refused = self._none("stages are busy for too long", True)
            return refused._replace(retry_s=round(RETRY_EXTRA_S + wait, 3))
        try:
            # A call that began in time may end a little later; who asked
            # waits no longer than that either.
            async with limits.limit(plan.deadline - now + GRACE_S):
                result = await self._run(plan)
            if not isinstance(result, kinds.Failure):
                self._plans.done(plan, self._clock())
        except TimeoutError:
            result = kinds.Failure(kinds.Kind.HOPELESS, "results are late")
        finally:
            self._plans.drop(plan)
            for batcher in self._batchers.values():
                batcher.wake()
        if isinstance(result, kinds.Failure):
            late = result.kind is kinds.Kind.HOPELESS
            return self._none(result.reason, late)
        return pieces.Done(result, None, False, self._plans.backlog())

    def free(self, results):
        """Give up results.

        Parameters
        ----------
        results : list of (str, Held)
            With the service that made each.
        """
        by_service = {}
        for service, held in results:
            by_service.setdefault(service, []).append(held)
        for name, helds in by_service.items():
            if self._services(name) is not None:
                self._batcher(name).free(helds)

    def _none(self, why, is_late):
        return pieces.Done(None, why, is_late, self._plans.backlog())

    def _tell(self, job, plan):
        self._journal.write(
            "staged",
            request=job.request,
            zone=self._zone,
            pieces=[stage.count for stage in job.stages],
            aim_s=round(job.target_s, 3),
            until_s=round(job.soft_limit_s, 3),
            is_late=plan is None or plan.is_late,
            backlog_s={
                name: round(each, 3)
                for name, each in self._plans.backlog().items()
            },
        )

    async def _run(self, plan):
        loop = asyncio.get_running_loop()
        stages = plan.job.stages
        run = _Run(
            plan,
            {s.service: self._spec(s.service) for s in stages if s.count},
            [loop.create_future() for _ in stages],
        )
        tasks = [
            asyncio.create_task(self._stage(run, index))
            for index in range(len(stages))
        ]
        whole = False
        try:
            for finished in asyncio.as_completed(tasks):
                result = await finished
                if isinstance(result, kinds.Failure):
                    return result
            whole = True
            final = pieces.final_stages(stages)
            return [h for i in final for h in run.stages[i].result()]
        finally:
            for task in tasks:
                task.cancel()
            if not whole:
                self._free_all(run)

    def _free_all(self, run):
        for index, stage in enumerate(run.plan.job.stages):
            future = run.stages[index]
            # Futures are cancelled with a task that waits for them.
            if stage.count and future.done() and not future.cancelled():
                self._batcher(stage.service).free(future.result())

    async def _stage(self, run, index):
        job = run.plan.job
        stage = job.stages[index]
        inputs = []
        for before in stage.after:
            inputs += await run.stages[before]
        results = []
        if stage.count:
            results = await self._make(run, index, inputs)
            if isinstance(results, kinds.Failure):
                return results
        run.stages[index].set_result(results)
        self._free_inputs(run, index)
        return None

    def _free_inputs(self, run, index):
        """Free what only stages that are done by now took as inputs."""
        stages = run.plan.job.stages
        for before in stages[index].after:
            takers = [
                later
                for later, stage in enumerate(stages)
                if before in stage.after
            ]
            if all(run.stages[later].done() for later in takers):
                service = stages[before].service
                if stages[before].count:
                    self._batcher(service).free(run.stages[before].result())

    async def _make(self, run, index, inputs):
        """Have the pieces of a stage made; return results or a failure."""
        stage = run.plan.job.stages[index]
        held = [None] * stage.count
        self._budget.record_requests(stage.service, self._clock())
        for attempt in range(1, MOST_ATTEMPTS + 1):
            wanted = self._wanted(run, index, inputs, held)
            made = await self._batcher(stage.service).make(
                run.plan, wanted, stage.size
            )
            for piece, result in zip(wanted, made, strict=True):
                held[piece.index] = result.held
            failure = _failure(made)
            if failure is None:
                return held
            if attempt == MOST_ATTEMPTS or not self._may_repeat(
                run, stage, failure, attempt
            ):
                self._batcher(stage.service).free(list(filter(None, held)))
                return failure

    def _wanted(self, run, index, inputs, held):
        job = run.plan.job
        after = pieces.time_after(job.stages, index, run.specs) + FETCH_S
        return [
            pieces.Piece(
                request=job.request,
                stage=index,
                index=number,
                deadline=run.plan.deadline - after,
                key=None if inputs else job.key,
                inputs=tuple(each.handle for each in inputs),
            )
            for number, result in enumerate(held)
            if result is None
        ]

    def _may_repeat(self, run, stage, failure, attempt):
        if failure.kind is kinds.Kind.HOPELESS:
            return False
        # Asked for again with the same inputs, it would be gone again.
        allowed = failure.reason != "gone"
        if allowed and failure.sent:
            allowed = self._budget.try_spend(
                stage.service, self._clock(), self._instances()
            )
        self._journal.write(
            "retry" if allowed else "no_retry",
            request=run.plan.job.request,
            attempt=attempt + 1,
            why=f"{stage.service}: {failure.reason}",
            budget=None,
        )
        return allowed

    def _spec(self, name):
        service = self._services(name)
        return None if service is None else service.pieces

    def _places(self, name):
        return self._batcher(name).places if self._services(name) else 0

    def _held(self, name):
        batcher = self._batchers.get(name)
        return 0 if batcher is None else batcher.held_bytes

    def _batcher(self, name):
        service = self._services(name)
        held = self._batchers.get(name)
        if held is None or held.service.pieces != service.pieces:
            self._batchers[name] = self._make_batcher(
                service,
                lambda now: self._endpoints(name, now),
                self._plans,
            )
        return self._batchers[name]


def _failure(made):
    """Return the failure of a stage's pieces, or None if all are there."""
    bad = [each for each in made if each.held is None]
    if not bad:
        return None
    sent = any(each.sent for each in bad)
    kind = kinds.Kind.STAGE_FAILED
    if all(each.why == "late" for each in bad):
        kind = kinds.Kind.HOPELESS
    return kinds.Failure(kind, str(bad[0].why), sent)
