"""Idempotency records of non-repeatable requests, in the table service."""

import asyncio
import time

import prometheus_client

from sycamoreshed.adapters import table as tables
from sycamoreshed.errors import kinds
from sycamoreshed.idempotency import breaker
from sycamoreshed.idempotency import decide
from sycamoreshed.idempotency import prior_runs
from sycamoreshed.idempotency import rewriting
from sycamoreshed.idempotency import settling
from sycamoreshed.idempotency import store as stores
from sycamoreshed.idempotency import trace as traces
from sycamoreshed.kernel import kernel
from sycamoreshed.observe import logs

__all__ = ["Records", "new_record"]

OK = 200
_RETRY_STEPS = (decide.Step.CLAIM_AGAIN, decide.Step.TRY_AGAIN)


def new_record(request, body_digest, *, instance, stages=None):
    """Return the record of an attempt that has just begun.

    Parameters
    ----------
    request : Request
    body_digest : str
        Digest of its pipeline and input.
    instance : str
    stages : list of str, optional
        See `decide.Record`.
    """
    record = decide.Record(
        state=decide.State.BEGUN,
        attempt=request.id,
        body=body_digest,
        pipeline=request.pipeline,
        config=request.config.version,
        instance=instance,
        at=time.time(),
    )
    if stages is not None:
        record["stages"] = list(stages)
    return record


class Records:
    """Claims records, and completes those of other attempts.

    Parameters
    ----------
    store : Store
    clock : callable
        Returns monotonic seconds.
    settler : Settler
    log : DecisionLog, optional
        Defaults to a new one.
    losses : Losses, optional
    """

    def __init__(self, *, store, clock, settler, log=None, losses=None):
        self.store = store
        self.losses = losses
        self.prior_runs = prior_runs.PriorRuns()
        self.trace = traces.Trace(log=log or logs.DecisionLog(), clock=clock)
        self._clock = clock
        self.settler = settler

    @property
    def clock(self):
        """Returns monotonic seconds."""
        return self._clock

    def reject_if_unavailable(self):
        """Return a failure while writes are rejected, else None."""
        return self.store.reject_if_unavailable()

    async def read(self, key):
        """Return the row of a record, or a failure."""
        return await self.store.read(key)

    def recorded_result(self, row, body_digest):
        """Return the result that a record holds for a request, if any.

        Parameters
        ----------
        row : Row or Failure
        body_digest : str
            Digest of the request's pipeline and input.

        Returns
        -------
        Replay, Failure or None
            A replay if the answer is recorded, a failure if the key was
            used with another body, else None.
        """
        step = decide.after_read(row, None, body_digest)
        if step in (decide.Step.REPLAY, decide.Step.CONFLICT):
            return self._result_of(step, row, earlier_may_have_run=False)
        return None

    async def peek(self, key, record):
        """Look for a recorded result of a key before any stage runs.

        Returns
        -------
        Replay, Failure or None
            None when the stages before the claim may run.
        """
        row = await self.store.read(key)
        step = decide.after_read(row, record["attempt"], record["body"])
        if step is decide.Step.WAIT:
            self.prior_runs.add(key)
            return None
        if step is decide.Step.CLAIM_AGAIN:
            return None
        return self._result_of(step, row, earlier_may_have_run=True)

    async def claim(
        self,
        key,
        record,
        deadline,
        *,
        complete_from_endpoints,
        check_loss=lambda: None,
    ):
        """Claim a key for an attempt before anything is sent.

        Parameters
        ----------
        key : str
        record : Record
        deadline : float
            Monotonic seconds.
        complete_from_endpoints : coroutine function
            Takes the row of another attempt that has begun.  Completes the
            record if an endpoint reports that the call ran; returns the
            current row, as far as known.
        check_loss : callable
            Returns a failure if the key cannot be claimed without a
            record, as that may be lost; else None.

        Returns
        -------
        Claim, Replay or Failure
            A failure has ``sent`` false if this attempt did not run and
            never will; then its ``earlier_may_have_run`` is true unless the
            record showed that no earlier attempt may have run.  It has
            ``sent`` true if an earlier attempt has begun and its outcome is
            unknown.
        """
        version = tables.ABSENT
        may_be_written = False
        earlier_may_have_run = True
        unavailable_since = None
        for pause in settling.backoff_pauses():
            era = self.store.era
            loss = check_loss()
            if loss is not None:
                if may_be_written:
                    self.settler.fence(key, record)
                return await self._result_despite_loss(
                    key, record, deadline, complete_from_endpoints, loss
                )
            step, row, is_answer_lost = await self._try_claim(
                key, record, version
            )
            may_be_written = may_be_written or is_answer_lost
            if step is decide.Step.WAIT:
                step, row = await self._wait_for_owner(
                    key, record, deadline, complete_from_endpoints, row
                )
            self.trace.log_row(
                "claim", row, request=record["attempt"], step=step.value
            )
            if step is decide.Step.SEND:
                claim = settling.Claim(key, record, row.version)
                loss = None if era == self.store.era else check_loss()
                if loss is None:
                    return claim
                # The answer told of a new era: the row may have been free
                # only because an earlier record is lost.
                await self.settler.release(claim)
                return loss
            if prior_runs.from_record(row) is False:
                earlier_may_have_run = False
            now = self._clock()
            unavailable_since = _unavailable_since(
                unavailable_since,
                now,
                is_unavailable=self.store.is_unavailable,
            )
            is_unavailable = (
                unavailable_since is not None
                and not decide.can_wait_for_store(
                    now,
                    unavailable_since,
                    self.store.retry_after,
                    may_be_written=may_be_written,
                )
            )
            if step not in _RETRY_STEPS or decide.is_claiming_over(
                now, deadline, is_unavailable
            ):
                break
            if step is decide.Step.CLAIM_AGAIN and row.version != version:
                version = row.version
            else:
                await asyncio.sleep(pause)
        if may_be_written:
            self.settler.fence(key, record)
        return self._result_of(
            step, row, earlier_may_have_run=earlier_may_have_run
        )

    async def complete(self, row, answer):
        """Store the answer of an attempt whose own instance has not done so.

        Parameters
        ----------
        row : Row
            Of an attempt that has begun.
        answer : str
            Built from the output that an endpoint reported.

        Returns
        -------
        Row or None
            The current row, which may belong to another attempt; None if
            unknown.  See `decide.row_after_completion`.
        """
        record = settling.done_record(row.value, answer, OK)
        write = tables.Write(row.key, record, row.version)
        result = await self.store.write(write)
        self.trace.log_write("complete", write, result)
        return decide.row_after_completion(result, write)

    async def _result_despite_loss(
        self, key, record, deadline, complete_from_endpoints, loss
    ):
        """Return what the record of a key tells, or `loss` without one."""
        row = await self.store.read(key)
        step = decide.after_read(row, record["attempt"], record["body"])
        if step is decide.Step.WAIT:
            step, row = await self._wait_for_owner(
                key, record, deadline, complete_from_endpoints, row
            )
        if step in (*_RETRY_STEPS, decide.Step.SEND):
            return loss
        return self._result_of(step, row, earlier_may_have_run=True)

    async def _try_claim(self, key, record, version):
        attempt, body_digest = record["attempt"], record["body"]
        result = await self.store.write(tables.Write(key, record, version))
        step = decide.after_write(result, attempt, body_digest)
        if isinstance(result, tables.Written):
            return step, tables.Row(key, record, result.versions[0]), False
        if isinstance(result, tables.Conflict):
            return step, result.rows[0], False
        if step is not decide.Step.READ_BACK:
            return step, None, False
        row = await self.store.read(key)
        step = decide.after_read(row, attempt, body_digest)
        if step is decide.Step.SEND:
            self.store.report_write_applied()
            self.store.remember(row)
        return step, row, True

    async def _wait_for_owner(
        self, key, record, deadline, complete_from_endpoints, row
    ):
        attempt, body_digest = record["attempt"], record["body"]
        for pause in settling.backoff_pauses():
            row = await complete_from_endpoints(row)
            step = decide.after_read(row, attempt, body_digest)
            if step is not decide.Step.WAIT:
                return step, row
            now = self._clock()
            if decide.is_claiming_over(now, deadline, False):
                return step, row
            # The last read is as late as the deadline allows.
            remaining_s = deadline - now - decide.DEADLINE_MARGIN_S
            await asyncio.sleep(min(pause, remaining_s))
            current = await self.store.read(key)
            if isinstance(current, kinds.Failure):
                continue
            row = current
            step = decide.after_read(row, attempt, body_digest)
            if step is not decide.Step.WAIT:
                return step, row

    def _result_of(self, step, row, *, earlier_may_have_run):
        if prior_runs.from_record(row):
            self.prior_runs.add(row.key)
        if step is decide.Step.REPLAY:
            return settling.replay_of(row)
        if step is decide.Step.CONFLICT:
            first = row.value["pipeline"]
            return kinds.Failure(
                kinds.Kind.KEY_CONFLICT,
                f"the key was used with another body (pipeline {first!r})",
                earlier_may_have_run=prior_runs.from_record(row),
            )
        if step is decide.Step.WAIT:
            return kinds.Failure(
                kinds.Kind.OUTCOME_UNKNOWN,
                f"request {row.value['attempt']} has begun with this key"
                " and its end is not known",
                # Of the earlier attempt.
                sent=True,
            )
        return kinds.Failure(
            kinds.Kind.STORE_AWAY,
            "the request could not be recorded in time",
            retry_after=self.store.retry_after,
            earlier_may_have_run=earlier_may_have_run,
        )


def _unavailable_since(previous, now, *, is_unavailable):
    """Return the time since which the store is unavailable, or None."""
    if not is_unavailable:
        return None
    return now if previous is None else previous


@kernel.plugin("records", needs=("decisions", "losses", "metrics", "table"))
async def records(core):
    """Provide the idempotency records of non-repeatable requests."""
    registry = core.part("metrics").registry
    calls = prometheus_client.Counter(
        "sycamoreshed_record_calls",
        "Calls of the table service for records, by result.",
        ["result"],
        registry=registry,
    )
    pending = prometheus_client.Gauge(
        "sycamoreshed_records_pending",
        "Writes of records that go on in the background.",
        registry=registry,
    )
    recent = rewriting.RecentRecords()
    store = stores.Store(
        table=core.part("table"),
        breaker=breaker.Breaker(),
        calls=calls,
        spawn=core.spawn,
        max_group_size=core.settings.record_group,
        recent=recent,
        clock=core.clock,
    )
    rewriting.Rewriter(
        table=core.part("table"),
        store=store,
        recent=recent,
        clock=core.clock,
        spawn=core.spawn,
    )
    log = core.part("decisions")
    settler = settling.Settler(
        store=store, clock=core.clock, spawn=core.spawn, log=log
    )
    part = Records(
        store=store,
        clock=core.clock,
        settler=settler,
        log=log,
        losses=core.part("losses"),
    )
    pending.set_function(lambda: settler.pending)
    yield part
    await settler.flush()
