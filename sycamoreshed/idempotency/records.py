"""Records of requests that may not be repeated, in the table service."""

import asyncio
import random
import time
import typing

from loguru import logger
import prometheus_client

from sycamoreshed.adapters import table as tables
from sycamoreshed.errors import kinds
from sycamoreshed.idempotency import breaker
from sycamoreshed.idempotency import decide
from sycamoreshed.idempotency import store as stores
from sycamoreshed.kernel import kernel

__all__ = ["Claim", "Records", "Replay", "new_record", "pauses"]

FIRST_PAUSE_S = 0.03
LONGEST_PAUSE_S = 1.0
LONGEST_LATER_S = 4.0
FLUSH_S = 5.0
# The answer waits this long for its record; then it goes out and the
# record is written in the background.
FINISH_WAIT_S = 0.25
OK = 200
_AGAIN = (decide.Step.CLAIM_AGAIN, decide.Step.TRY_AGAIN)


class Claim(typing.NamedTuple):
    """Leave to send the call, once.

    Parameters
    ----------
    key : str
        Row key of the record.
    record : Record
    version : int
        Version of the row.
    """

    key: str
    record: decide.Record
    version: int


class Replay(typing.NamedTuple):
    """The first answer, as it was given."""

    answer: str
    status: int


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


def pauses(longest=LONGEST_PAUSE_S):
    """Yield growing pauses in seconds, each drawn from its upper half.

    Notes
    -----
    Many that wait for the same record, or for the store to come back,
    would otherwise ask in step.
    """
    pause = FIRST_PAUSE_S
    while True:
        yield random.uniform(pause / 2, pause)
        pause = min(pause * 2, longest)


class Records:
    """Claims, finishes, releases and fences off records.

    Parameters
    ----------
    store : Store
    clock : callable
        Returns monotonic seconds.
    spawn : callable
        Runs a coroutine in the background.
    """

    def __init__(self, *, store, clock, spawn):
        self.store = store
        self._clock = clock
        self._spawn = spawn
        self._later = set()

    @property
    def pending(self):
        """Number of writes that go on in the background."""
        return len(self._later)

    async def read(self, key):
        """Return the row of a record, or a failure."""
        return await self.store.read(key)

    async def peek(self, key, record):
        """Look for the end of a key before any stage runs.

        Returns
        -------
        Replay, Failure or None
            None when the stages before the claim may run.
        """
        row = await self.store.read(key)
        step = decide.after_read(row, record["attempt"], record["body"])
        if step in (decide.Step.CLAIM_AGAIN, decide.Step.WAIT):
            return None
        return self._conclude(step, row)

    async def claim(self, key, record, deadline, *, ask):
        """Record an attempt before anything is sent.

        Parameters
        ----------
        key : str
        record : Record
        deadline : float
            Monotonic seconds.
        ask : coroutine function
            Takes the row of another attempt that has begun; returns its
            row as it is once its end was learnt, or None.

        Returns
        -------
        Claim, Replay or Failure
            A failure has ``sent`` false if this attempt did not run and
            never will.
        """
        version = tables.ABSENT
        in_doubt = False
        for pause in pauses():
            step, row, lost = await self._try(key, record, version)
            in_doubt = in_doubt or lost
            if step is decide.Step.WAIT:
                step, row = await self._watch(key, record, deadline, ask, row)
            if step is decide.Step.SEND:
                return Claim(key, record, row.version)
            now = self._clock()
            if step not in _AGAIN or decide.gives_up(
                now, deadline, self.store.away
            ):
                break
            if step is decide.Step.CLAIM_AGAIN and row.version != version:
                version = row.version
            else:
                await asyncio.sleep(pause)
        if in_doubt:
            self._go_on(self._fence(key, record))
        return self._conclude(step, row)

    async def finish(self, claim, answer, status, deadline):
        """Store an answer; in the background if that takes long.

        Parameters
        ----------
        claim : Claim
        answer : str
        status : int
        deadline : float
            Monotonic seconds.

        Returns
        -------
        Replay
            What the caller is to be given.
        """
        record = _done(claim.record, answer, status)
        task = self._go_on(self._settle(claim, record))
        seconds = min(deadline - self._clock(), FINISH_WAIT_S)
        await asyncio.wait({task}, timeout=max(seconds, 0))
        if task.done() and task.result() is not None:
            return task.result()
        return Replay(answer, status)

    async def release(self, claim):
        """Store that the call was not sent and never will be."""
        record = {**claim.record, "state": decide.State.NOT_RUN}
        task = self._go_on(self._settle(claim, record))
        await asyncio.wait({task}, timeout=FINISH_WAIT_S)

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
        Row
            With the answer, whether it could be stored or not: it is the
            same for whoever makes it.
        """
        record = _done(row.value, answer, OK)
        result = await self.store.write(
            tables.Write(row.key, record, row.version)
        )
        if isinstance(result, tables.Conflict):
            now = result.rows[0]
            if now.value and now.value["state"] == decide.State.DONE:
                return now
        return tables.Row(row.key, record, row.version)

    async def flush(self):
        """Wait a while for what goes on in the background."""
        if self._later:
            await asyncio.wait(set(self._later), timeout=FLUSH_S)
        if self._later:
            logger.bind(records=len(self._later)).warning(
                "records left unsettled"
            )

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
        return decide.after_read(row, attempt, body), row, True

    async def _watch(self, key, record, deadline, ask, row):
        step = decide.Step.WAIT
        for pause in pauses():
            told = await ask(row)
            if told is not None:
                return decide.Step.REPLAY, told
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
            step = decide.after_read(row, record["attempt"], record["body"])
            if step is not decide.Step.WAIT:
                return step, row

    async def _settle(self, claim, record):
        version = claim.version
        for pause in pauses(LONGEST_LATER_S):
            result = await self.store.write(
                tables.Write(claim.key, record, version)
            )
            step = decide.after_finish(result, record["attempt"])
            if step is decide.Step.REPLAY:
                return _replay(result.rows[0])
            if step is decide.Step.CLAIM_AGAIN:
                version = result.rows[0].version
                continue
            if step is not decide.Step.TRY_AGAIN:
                return None
            await asyncio.sleep(pause)

    async def _fence(self, key, record):
        gone = {**record, "state": decide.State.NOT_RUN}
        for pause in pauses(LONGEST_LATER_S):
            row = await self.store.read(key)
            if not isinstance(row, kinds.Failure):
                version = decide.fence_version(row, record["attempt"])
                if version is None:
                    return
                result = await self.store.write(
                    tables.Write(key, gone, version)
                )
                if isinstance(result, tables.Written):
                    return
            await asyncio.sleep(pause)

    def _go_on(self, coro):
        task = self._spawn(coro, name="settle record")
        self._later.add(task)
        task.add_done_callback(self._later.discard)
        return task

    def _conclude(self, step, row):
        if step is decide.Step.REPLAY:
            return _replay(row)
        if step is decide.Step.CONFLICT:
            first = row.value["pipeline"]
            return kinds.Failure(
                kinds.Kind.KEY_CONFLICT,
                f"the key was used with another body (pipeline {first!r})",
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
        )


def _done(record, answer, status):
    return {
        **record,
        "state": decide.State.DONE,
        "answer": answer,
        "status": status,
    }


def _replay(row):
    return Replay(row.value["answer"], row.value["status"])


@kernel.plugin("records", needs=("metrics", "table"))
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
        clock=core.clock,
        calls=calls,
        spawn=core.spawn,
        group=core.settings.record_group,
    )
    part = Records(store=store, clock=core.clock, spawn=core.spawn)
    pending.set_function(lambda: part.pending)
    yield part
    await part.flush()
