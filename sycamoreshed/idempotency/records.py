"""Records of requests that may not be repeated, in the table service."""

import asyncio
import time

import prometheus_client

from sycamoreshed.adapters import table as tables
from sycamoreshed.errors import kinds
from sycamoreshed.idempotency import breaker
from sycamoreshed.idempotency import decide
from sycamoreshed.idempotency import prior_runs
from sycamoreshed.idempotency import settling
from sycamoreshed.idempotency import store as stores
from sycamoreshed.idempotency import trace as traces
from sycamoreshed.kernel import kernel
from sycamoreshed.observe import logs

__all__ = ["Records", "new_record"]

OK = 200
_AGAIN = (decide.Step.CLAIM_AGAIN, decide.Step.TRY_AGAIN)


def new_record(request, body, *, instance, stages=None):
    """Return the record of an attempt that begins.

    Parameters
    ----------
    request : Request
    body : str
        Digest of what it asks for.
    instance : str
    stages : list of str, optional
        See `decide.Record`.
    """
    record = decide.Record(
        state=decide.State.BEGUN,
        attempt=request.id,
        body=body,
        pipeline=request.pipeline,
        config=request.config.version,
        instance=instance,
        at=time.time(),
    )
    if stages is not None:
        record["stages"] = list(stages)
    return record


class Records:
    """Claims records, and completes those of others.

    Parameters
    ----------
    store : Store
    clock : callable
        Returns monotonic seconds.
    settler : Settler
    log : DecisionLog, optional
        One of its own if there is none.
    """

    def __init__(self, *, store, clock, settler, log=None):
        self.store = store
        self.sightings = prior_runs.Sightings()
        self.trace = traces.Trace(log=log or logs.DecisionLog(), clock=clock)
        self._clock = clock
        self.settler = settler

    def refusal(self):
        """Return a failure if nothing can be recorded just now, or None."""
        return self.store.refusal()

    async def read(self, key):
        """Return the row of a record, or a failure."""
        return await self.store.read(key)

    def end_of(self, row, body):
        """Return what a record tells a request that writes nothing.

        Parameters
        ----------
        row : Row or Failure
        body : str
            Digest of what the request asks for.

        Returns
        -------
        Replay, Failure or None
            None unless the key has its answer, or another body.
        """
        step = decide.after_read(row, None, body)
        if step in (decide.Step.REPLAY, decide.Step.CONFLICT):
            return self._conclude(step, row, earlier_may_have_run=False)
        return None

    async def peek(self, key, record):
        """Look for the end of a key before any stage runs.

        Returns
        -------
        Replay, Failure or None
            None when the stages before the claim may run.
        """
        row = await self.store.read(key)
        step = decide.after_read(row, record["attempt"], record["body"])
        if step is decide.Step.WAIT:
            self.sightings.add(key)
            return None
        if step is decide.Step.CLAIM_AGAIN:
            return None
        return self._conclude(step, row, earlier_may_have_run=True)

    async def claim(self, key, record, deadline, *, ask):
        """Record an attempt before anything is sent.

        Parameters
        ----------
        key : str
        record : Record
        deadline : float
            Monotonic seconds.
        ask : coroutine function
            Takes the row of another attempt that has begun; returns the
            row as it is known after endpoints were asked.

        Returns
        -------
        Claim, Replay or Failure
            A failure has ``sent`` false if this attempt did not run and
            never will; ``earlier_may_have_run`` is true if the record did
            not tell whether an earlier one has run.
        """
        version = tables.ABSENT
        is_lost = False
        earlier_may_have_run = True
        away_since = None
        for pause in settling.pauses():
            step, row, lost = await self._try(key, record, version)
            is_lost = is_lost or lost
            if step is decide.Step.WAIT:
                step, row = await self._watch(key, record, deadline, ask, row)
            self.trace.row(
                "claim", row, request=record["attempt"], step=step.value
            )
            if step is decide.Step.SEND:
                return settling.Claim(key, record, row.version)
            if prior_runs.from_record(row) is False:
                earlier_may_have_run = False
            now = self._clock()
            away_since = _since(away_since, now, is_away=self.store.away)
            is_away = away_since is not None and not decide.waits_out(
                now, away_since, self.store.retry_after, is_lost=is_lost
            )
            if step not in _AGAIN or decide.gives_up(now, deadline, is_away):
                break
            if step is decide.Step.CLAIM_AGAIN and row.version != version:
                version = row.version
            else:
                await asyncio.sleep(pause)
        if is_lost:
            self.settler.fence(key, record)
        return self._conclude(
            step, row, earlier_may_have_run=earlier_may_have_run
        )

    async def complete(self, row, answer):
        """Store the answer of an attempt whose instance has not.

        Parameters
        ----------
        row : Row
            Of an attempt that has begun.
        answer : str
            Made from the output an endpoint told.

        Returns
        -------
        Row or None
            The row as it is now, which may be another attempt's; None if
            it is not known.  See `decide.completed`.
        """
        record = settling.done(row.value, answer, OK)
        write = tables.Write(row.key, record, row.version)
        result = await self.store.write(write)
        self.trace.write("complete", write, result)
        return decide.completed(result, write)

    async def _try(self, key, record, version):
        attempt, body = record["attempt"], record["body"]
        result = await self.store.write(tables.Write(key, record, version))
        step = decide.after_write(result, attempt, body)
        if isinstance(result, tables.Written):
            return step, tables.Row(key, record, result.versions[0]), False
        if isinstance(result, tables.Conflict):
            return step, result.rows[0], False
        if step is not decide.Step.READ_BACK:
            return step, None, False
        row = await self.store.read(key)
        step = decide.after_read(row, attempt, body)
        if step is decide.Step.SEND:
            self.store.confirm()
        return step, row, True

    async def _watch(self, key, record, deadline, ask, row):
        attempt, body = record["attempt"], record["body"]
        for pause in settling.pauses():
            row = await ask(row)
            step = decide.after_read(row, attempt, body)
            if step is not decide.Step.WAIT:
                return step, row
            now = self._clock()
            if decide.gives_up(now, deadline, False):
                return step, row
            # The last look is as late as it may be.
            left = deadline - now - decide.MARGIN_S
            await asyncio.sleep(min(pause, left))
            seen = await self.store.read(key)
            if isinstance(seen, kinds.Failure):
                continue
            row = seen
            step = decide.after_read(row, attempt, body)
            if step is not decide.Step.WAIT:
                return step, row

    def _conclude(self, step, row, *, earlier_may_have_run):
        if prior_runs.from_record(row):
            self.sightings.add(row.key)
        if step is decide.Step.REPLAY:
            return settling.replay(row)
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
                sent=True,
            )
        return kinds.Failure(
            kinds.Kind.STORE_AWAY,
            "the request could not be recorded in time",
            retry_after=self.store.retry_after,
            earlier_may_have_run=earlier_may_have_run,
        )


def _since(since, now, *, is_away):
    """Return since when the store is away, or None."""
    if not is_away:
        return None
    return now if since is None else since


@kernel.plugin("records", needs=("decisions", "metrics", "table"))
async def records(core):
    """Provide records of requests that may not be repeated."""
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
    store = stores.Store(
        table=core.part("table"),
        breaker=breaker.Breaker(),
        calls=calls,
        spawn=core.spawn,
        group=core.settings.record_group,
    )
    log = core.part("decisions")
    settler = settling.Settler(
        store=store, clock=core.clock, spawn=core.spawn, log=log
    )
    part = Records(store=store, clock=core.clock, settler=settler, log=log)
    pending.set_function(lambda: settler.pending)
    yield part
    await settler.flush()
