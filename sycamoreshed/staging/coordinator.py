"""Runs jobs through all their stages, with the endpoints of one zone."""

import asyncio
import typing

from sycamoreshed.errors import kinds
from sycamoreshed.kernel import timeouts
from sycamoreshed.retries import repeats
from sycamoreshed.staging import pieces
from sycamoreshed.staging import scheduling
from sycamoreshed.stopping import deadline

__all__ = ["Coordinator"]

# Attempts at the pieces of a stage.  All pieces of a request that are sent
# once more to a stage together are one repeat, see `repeats.Repeats`.
MAX_ATTEMPTS = 3
# Time that a job may take beyond its deadline.
GRACE_S = 0.1
# Added to the time after which a rejected job could meet its target if no more
# jobs arrived: callers usually retry once, and a retry into the same burst
# would be rejected for good.
RETRY_EXTRA_S = 1.6
# Allowance for the transfer of a result to where it is needed, subtracted from
# the deadline of its piece.
FETCH_S = 0.02
# A job whose limit is later than the end of this instance is run if this many
# times its expected duration is left.
STOP_FACTOR = 2.0


class _Run(typing.NamedTuple):
    """A running job, with a future of each stage's results."""

    admitted: typing.Any
    specs: dict
    results: list
    origin: typing.Any


class Coordinator:
    """Runs the stages of jobs in one zone.

    Parameters
    ----------
    zone : str
    find_service : callable
        Takes a name, returns the `Service` if it processes pieces.
    endpoints : callable
        Takes the name of a service and the time, returns the endpoints
        that may get calls.
    make_batcher : callable
        Takes `Service`, endpoints and `Scheduler`, returns a `Batcher`.
    crashes : CrashDetector
    budget : RetrySpending
    stop_deadline : StopDeadline
    journal : Journal
    clock : callable
    """

    def __init__(
        self,
        *,
        zone,
        find_service,
        endpoints,
        make_batcher,
        crashes,
        budget,
        stop_deadline,
        journal,
        clock,
    ):
        self._zone = zone
        self._find_service = find_service
        self._endpoints = endpoints
        self._make_batcher = make_batcher
        self._crashes = crashes
        self._budget = budget
        self._stop_deadline = stop_deadline
        self._journal = journal
        self._clock = clock
        self._batchers = {}
        self._scheduler = scheduling.Scheduler(
            find_spec=self._find_spec,
            concurrency=self._concurrency,
            stored_bytes=self._stored_bytes,
        )

    async def run(self, job, origin=pieces.NO_ORIGIN):
        """Run a job.

        Parameters
        ----------
        job : Job
        origin : Origin

        Returns
        -------
        JobOutcome or Failure
            A failure if this instance stops before the job would be done, so
            that another one has to run it.
        """
        now = self._clock()
        names = {s.service for s in job.stages if s.count}
        if not all(map(self._find_service, names)):
            return self._failed_outcome("a service takes no pieces", False)
        fitting = self._fit(job, now)
        if fitting is None:
            self._log_stop(job)
            return deadline.TOO_SOON
        try:
            async with self._stop_deadline.time_limit():
                outcome = await self._run(fitting, origin, now)
        except TimeoutError:
            self._log_stop(job)
            return deadline.TOO_SOON
        if not isinstance(outcome, kinds.Failure):
            is_shortened = fitting is not job
            if not is_shortened or not outcome.is_late:
                return outcome
        self._log_stop(job)
        return deadline.TOO_SOON

    def _fit(self, job, now):
        """Return a job that ends before this instance does, or None."""
        left_s = self._stop_deadline.ends_at - now
        min_s = pieces.min_job_s(job.stages, self._find_spec)
        if pieces.time_limit_s(job, min_s) + GRACE_S <= left_s:
            return job
        if STOP_FACTOR * self._scheduler.expected_s(job, now) > left_s:
            return None
        return job._replace(hard_limit_s=left_s - GRACE_S)

    def _log_stop(self, job):
        self._journal.write(
            "stage_stopped",
            request=job.request,
            zone=self._zone,
            left_s=round(self._stop_deadline.ends_at - self._clock(), 3),
            expected_s=round(
                self._scheduler.expected_s(job, self._clock()), 3
            ),
        )

    async def _run(self, job, origin, now):
        admitted = self._scheduler.admit(job, now)
        self._log_admission(job, admitted)
        if admitted is None:
            # Rejected at once, the caller can retry or do without the
            # answer, instead of waiting for its deadline.
            wait_s = self._scheduler.expected_lateness(job, now)
            rejected = self._failed_outcome(
                "stages are busy for too long", True
            )
            return rejected._replace(retry_s=round(RETRY_EXTRA_S + wait_s, 3))
        try:
            # A call that started before the deadline may end a little
            # later; the caller does not wait much longer than that.
            async with timeouts.time_limit(admitted.deadline - now + GRACE_S):
                result = await self._run_stages(admitted, origin)
            if not isinstance(result, kinds.Failure):
                self._scheduler.record_completion(admitted, self._clock())
        except TimeoutError:
            result = kinds.Failure(kinds.Kind.HOPELESS, "results are late")
        finally:
            self._scheduler.remove(admitted)
            for batcher in self._batchers.values():
                batcher.wake()
        if result is deadline.TOO_SOON:
            return result
        if isinstance(result, kinds.Failure):
            late = result.kind is kinds.Kind.HOPELESS
            return self._failed_outcome(result.reason, late)
        return pieces.JobOutcome(
            result, None, False, self._scheduler.backlog()
        )

    def free(self, results):
        """Free results.

        Parameters
        ----------
        results : list of (str, ResultRef)
            With the service that computed each.
        """
        by_service = {}
        for service, ref in results:
            by_service.setdefault(service, []).append(ref)
        for name, refs in by_service.items():
            if self._find_service(name) is not None:
                self._batcher(name).free(refs)

    def _failed_outcome(self, reason, is_late):
        return pieces.JobOutcome(
            None, reason, is_late, self._scheduler.backlog()
        )

    def _log_admission(self, job, admitted):
        self._journal.write(
            "staged",
            request=job.request,
            zone=self._zone,
            pieces=[stage.count for stage in job.stages],
            aim_s=round(job.target_s, 3),
            until_s=round(job.soft_limit_s, 3),
            is_late=admitted is None or admitted.will_miss_target,
            backlog_s={
                name: round(each, 3)
                for name, each in self._scheduler.backlog().items()
            },
        )

    async def _run_stages(self, admitted, origin):
        loop = asyncio.get_running_loop()
        stages = admitted.job.stages
        run = _Run(
            admitted,
            {s.service: self._find_spec(s.service) for s in stages if s.count},
            [loop.create_future() for _ in stages],
            origin,
        )
        tasks = [
            asyncio.create_task(self._run_stage(run, index))
            for index in range(len(stages))
        ]
        is_complete = False
        try:
            for finished in asyncio.as_completed(tasks):
                result = await finished
                if isinstance(result, kinds.Failure):
                    return result
            is_complete = True
            final = pieces.final_stages(stages)
            return [ref for i in final for ref in run.results[i].result()]
        finally:
            for task in tasks:
                task.cancel()
            if not is_complete:
                self._free_all(run)

    def _free_all(self, run):
        for index, stage in enumerate(run.admitted.job.stages):
            future = run.results[index]
            # Cancelling a task also cancels the future it awaits.
            if stage.count and future.done() and not future.cancelled():
                self._batcher(stage.service).free(future.result())

    async def _run_stage(self, run, index):
        job = run.admitted.job
        stage = job.stages[index]
        inputs = []
        for before in stage.after:
            inputs += await run.results[before]
        refs = []
        if stage.count:
            refs = await self._run_pieces(run, index, inputs)
            if isinstance(refs, kinds.Failure):
                return refs
        run.results[index].set_result(refs)
        self._free_inputs(run, index)
        return None

    def _free_inputs(self, run, index):
        """Free the inputs of a stage that no unfinished stage needs."""
        stages = run.admitted.job.stages
        for before in stages[index].after:
            followers = [
                later
                for later, stage in enumerate(stages)
                if before in stage.after
            ]
            if all(run.results[later].done() for later in followers):
                service = stages[before].service
                if stages[before].count:
                    self._batcher(service).free(run.results[before].result())

    async def _run_pieces(self, run, index, inputs):
        """Process the pieces of a stage; return its results or a failure."""
        stage = run.admitted.job.stages[index]
        refs = [None] * stage.count
        is_complete = False
        try:
            failure = await self._attempt_pieces(run, index, inputs, refs)
            is_complete = failure is None
        finally:
            if not is_complete:
                self._batcher(stage.service).free(list(filter(None, refs)))
        return refs if is_complete else failure

    async def _attempt_pieces(self, run, index, inputs, refs):
        """Fill `refs` with the results of a stage, or return a `Failure`."""
        stage = run.admitted.job.stages[index]
        self._budget.record_requests(stage.service)
        sends = repeats.Repeats(service=stage.service, spending=self._budget)
        for attempt in range(1, MAX_ATTEMPTS + 1):
            if not self._ends_in_time(run, index):
                return deadline.TOO_SOON
            missing = self._missing_pieces(run, index, inputs, refs)
            outcomes = await self._batcher(stage.service).run_pieces(
                run.admitted, missing, stage.result_bytes
            )
            sends.record_send(
                has_arrived=any(each.has_arrived for each in outcomes)
            )
            for piece, outcome in zip(missing, outcomes, strict=True):
                refs[piece.index] = outcome.ref
            failure = _stage_failure(outcomes)
            if failure is None:
                return None
            if attempt == MAX_ATTEMPTS or not await self._may_retry(
                run, stage, failure, sends
            ):
                return failure

    def _ends_in_time(self, run, index):
        """Return whether a stage that begins now may end before a stop."""
        stages = run.admitted.job.stages
        stage = stages[index]
        needed_s = pieces.stage_s(
            stage, run.specs[stage.service]
        ) + pieces.min_remaining_s(stages, index, run.specs)
        return self._clock() + needed_s <= self._stop_deadline.ends_at

    def _missing_pieces(self, run, index, inputs, refs):
        job = run.admitted.job
        remaining_s = (
            pieces.min_remaining_s(job.stages, index, run.specs) + FETCH_S
        )
        return [
            pieces.Piece(
                request=job.request,
                stage=index,
                index=number,
                deadline=run.admitted.deadline - remaining_s,
                key=None if inputs else job.key,
                inputs=tuple(each.handle for each in inputs),
                origin=run.origin,
            )
            for number, ref in enumerate(refs)
            if ref is None
        ]

    async def _may_retry(self, run, stage, failure, sends):
        if failure.kind is kinds.Kind.HOPELESS:
            return False
        why = None
        if failure.reason == "gone":
            # A retry would have the same inputs, which are no longer stored.
            why = "inputs gone"
        elif self._crashes.is_rejected(run.origin.fingerprint, self._clock()):
            why = "crashes endpoints"
        else:
            why = await sends.admit()
        self._journal.write(
            "retry" if why is None else "no_retry",
            request=run.admitted.job.request,
            attempt=None,
            why=f"{stage.service}: {why or failure.reason}",
            arrivals=sends.arrivals,
            budget=round(self._budget.remaining(stage.service), 1),
        )
        return why is None

    def _find_spec(self, name):
        service = self._find_service(name)
        return None if service is None else service.pieces

    def _concurrency(self, name):
        return (
            self._batcher(name).concurrency if self._find_service(name) else 0
        )

    def _stored_bytes(self, name):
        batcher = self._batchers.get(name)
        return 0 if batcher is None else batcher.stored_bytes

    def _batcher(self, name):
        service = self._find_service(name)
        batcher = self._batchers.get(name)
        if batcher is None or batcher.service.pieces != service.pieces:
            self._batchers[name] = self._make_batcher(
                service,
                lambda now: self._endpoints(name, now),
                self._scheduler,
            )
        return self._batchers[name]


def _stage_failure(outcomes):
    """Return the failure of a stage's pieces, or None if there is none."""
    failed = [each for each in outcomes if each.ref is None]
    if not failed:
        return None
    sent = any(each.sent for each in failed)
    kind = kinds.Kind.STAGE_FAILED
    if all(each.reason == "late" for each in failed):
        kind = kinds.Kind.HOPELESS
    return kinds.Failure(kind, str(failed[0].reason), sent)
