"""Writes that settle the record of an attempt, in the background if slow."""

import asyncio
import random
import typing

from loguru import logger

from sycamoreshed.adapters import positions
from sycamoreshed.adapters import table as tables
from sycamoreshed.errors import kinds
from sycamoreshed.idempotency import decide
from sycamoreshed.idempotency import trace as traces
from sycamoreshed.observe import logs

__all__ = [
    "Claim",
    "Replay",
    "Settler",
    "backoff_pauses",
    "done_record",
    "replay_of",
]

INITIAL_PAUSE_S = 0.03
MAX_PAUSE_S = 1.0
MAX_BACKGROUND_PAUSE_S = 4.0
FLUSH_TIMEOUT_S = 5.0
# An answer is delayed at most this long until its record is written; after
# that it is sent, and the write goes on in the background.
MAX_FINISH_WAIT_S = 0.25


class Claim(typing.NamedTuple):
    """Permission to send the call once.

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
    """The answer for a key: body and HTTP status."""

    answer: str
    status: int


def backoff_pauses(max_s=MAX_PAUSE_S):
    """Yield exponential backoff pauses in seconds, jittered by up to half.

    Notes
    -----
    Without jitter, all that wait for the same record, or for the store to
    recover, would send their requests at the same moments.
    """
    pause = INITIAL_PAUSE_S
    while True:
        yield random.uniform(pause / 2, pause)
        pause = min(pause * 2, max_s)


def done_record(record, answer, status):
    """Return a record as done, with its answer."""
    return {
        **record,
        "state": decide.State.DONE,
        "answer": answer,
        "status": status,
    }


def replay_of(row):
    """Return the recorded answer of a row."""
    return Replay(row.value["answer"], row.value["status"])


def _is_of_later_era(result, version):
    """Return whether a conflict is with a row of a later era."""
    if not isinstance(result, tables.Conflict):
        return False
    era = positions.unpack(result.rows[0].version).era
    return era > positions.unpack(version).era


class Settler:
    """Writes the final state of records, and fences off ended attempts.

    Parameters
    ----------
    store : Store
    clock : callable
        Returns monotonic seconds.
    spawn : callable
        Runs a coroutine in the background.
    log : DecisionLog, optional
        Defaults to a new one.
    """

    def __init__(self, *, store, clock, spawn, log=None):
        self._store = store
        self._trace = traces.Trace(log=log or logs.DecisionLog(), clock=clock)
        self._clock = clock
        self._spawn = spawn
        self._tasks = set()
        self._unstored = {}

    @property
    def pending(self):
        """Number of writes in progress in the background."""
        return len(self._tasks)

    def unstored_record(self, key):
        """Return the record of an answer still being written, or None."""
        return self._unstored.get(key)

    async def finish(self, claim, answer, status, deadline):
        """Store an answer; go on in the background if that takes long.

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
            The answer to send to the caller.
        """
        record = done_record(claim.record, answer, status)
        task = self._spawn_write(self._settle(claim, record))
        self._unstored[claim.key] = record
        task.add_done_callback(lambda _: self._unstored.pop(claim.key, None))
        timeout_s = min(deadline - self._clock(), MAX_FINISH_WAIT_S)
        await asyncio.wait({task}, timeout=max(timeout_s, 0))
        if task.done() and task.result() is not None:
            return task.result()
        return Replay(answer, status)

    async def release(self, claim):
        """Record that the call was not sent and never will be."""
        record = {**claim.record, "state": decide.State.NOT_RUN}
        task = self._spawn_write(self._settle(claim, record))
        await asyncio.wait({task}, timeout=MAX_FINISH_WAIT_S)

    def fence(self, key, record):
        """Start to fence off an attempt with a write of unknown result.

        Parameters
        ----------
        key : str
        record : Record
            Of the attempt, which sent nothing and never will.
        """
        self._spawn_write(self._fence(key, record))

    async def flush(self):
        """Wait for the background writes, for a limited time."""
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=FLUSH_TIMEOUT_S)
        if self._tasks:
            logger.bind(records=len(self._tasks)).warning(
                "records left unsettled"
            )

    async def _settle(self, claim, record):
        version = claim.version
        for pause in backoff_pauses(MAX_BACKGROUND_PAUSE_S):
            write = tables.Write(claim.key, record, version)
            result = await self._store.write(write)
            self._trace.log_write("settle", write, result)
            if isinstance(result, kinds.Failure) and result.sent:
                result = await self._read_back(write, result)
            step = decide.after_finish(
                result,
                record,
                is_row_restored=_is_of_later_era(result, claim.version),
            )
            if step is decide.Step.REPLAY:
                return replay_of(result.rows[0])
            if step is decide.Step.CLAIM_AGAIN:
                version = result.rows[0].version
                continue
            if step is not decide.Step.TRY_AGAIN:
                return None
            await asyncio.sleep(pause)

    async def _read_back(self, write, failure):
        """Return the result of a write whose answer was lost.

        Notes
        -----
        If all answers to writes are lost, repeating the write alone would
        never end, and would keep the breaker open for new requests.
        """
        row = await self._store.read(write.key)
        if isinstance(row, kinds.Failure) or row.version <= write.if_version:
            return failure
        if row.value != write.value:
            return tables.Conflict((row,))
        self._store.report_write_applied()
        self._store.remember(row)
        return tables.Written((row.version,))

    async def _fence(self, key, record):
        not_run = {**record, "state": decide.State.NOT_RUN}
        for pause in backoff_pauses(MAX_BACKGROUND_PAUSE_S):
            row = await self._store.read(key)
            if not isinstance(row, kinds.Failure):
                version = decide.fence_write_version(row, record["attempt"])
                if version is None:
                    return
                write = tables.Write(key, not_run, version)
                result = await self._store.write(write)
                self._trace.log_write("fence", write, result)
                if isinstance(result, tables.Written):
                    return
            await asyncio.sleep(pause)

    def _spawn_write(self, coro):
        task = self._spawn(coro, name="settle record")
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
