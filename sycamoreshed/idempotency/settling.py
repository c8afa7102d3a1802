"""Writing how an attempt ended, in the background if need be."""

import asyncio
import random
import typing

from loguru import logger

from sycamoreshed.adapters import table as tables
from sycamoreshed.errors import kinds
from sycamoreshed.idempotency import decide
from sycamoreshed.idempotency import trace as traces
from sycamoreshed.observe import logs

__all__ = ["Claim", "Replay", "Settler", "done", "pauses", "replay"]

FIRST_PAUSE_S = 0.03
LONGEST_PAUSE_S = 1.0
LONGEST_LATER_S = 4.0
FLUSH_S = 5.0
# The answer waits this long for its record; then it goes out and the
# record is written in the background.
FINISH_WAIT_S = 0.25


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


def done(record, answer, status):
    """Return a record with its answer."""
    return {
        **record,
        "state": decide.State.DONE,
        "answer": answer,
        "status": status,
    }


def replay(row):
    """Return the recorded answer of a row."""
    return Replay(row.value["answer"], row.value["status"])


class Settler:
    """Finishes, releases and fences off records.

    Parameters
    ----------
    store : Store
    clock : callable
        Returns monotonic seconds.
    spawn : callable
        Runs a coroutine in the background.
    log : DecisionLog, optional
        One of its own if there is none.
    """

    def __init__(self, *, store, clock, spawn, log=None):
        self._store = store
        self._trace = traces.Trace(log=log or logs.DecisionLog(), clock=clock)
        self._clock = clock
        self._spawn = spawn
        self._later = set()
        self._held = {}

    @property
    def pending(self):
        """Number of writes that go on in the background."""
        return len(self._later)

    def held(self, key):
        """Return the record of an answer that is not stored yet, or None."""
        return self._held.get(key)

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
        record = done(claim.record, answer, status)
        task = self._go_on(self._settle(claim, record))
        self._held[claim.key] = record
        task.add_done_callback(lambda _: self._held.pop(claim.key, None))
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

    def fence(self, key, record):
        """Begin to fence off an attempt that ended in doubt.

        Parameters
        ----------
        key : str
        record : Record
            Of the attempt, which sent nothing and never will.
        """
        self._go_on(self._fence(key, record))

    async def flush(self):
        """Wait a while for what goes on in the background."""
        if self._later:
            await asyncio.wait(set(self._later), timeout=FLUSH_S)
        if self._later:
            logger.bind(records=len(self._later)).warning(
                "records left unsettled"
            )

    async def _settle(self, claim, record):
        version = claim.version
        for pause in pauses(LONGEST_LATER_S):
            write = tables.Write(claim.key, record, version)
            result = await self._store.write(write)
            self._trace.write("settle", write, result)
            if isinstance(result, kinds.Failure) and result.sent:
                result = await self._read_back(write, result)
            step = decide.after_finish(result, record["attempt"])
            if step is decide.Step.REPLAY:
                return replay(result.rows[0])
            if step is decide.Step.CLAIM_AGAIN:
                version = result.rows[0].version
                continue
            if step is not decide.Step.TRY_AGAIN:
                return None
            await asyncio.sleep(pause)

    async def _read_back(self, write, lost):
        """Return what came of a write whose answer was lost.

        Notes
        -----
        Where all answers to writes are lost, a write that is only sent
        again never ends, and keeps the breaker open for new requests.
        """
        row = await self._store.read(write.key)
        if isinstance(row, kinds.Failure) or row.version <= write.if_version:
            return lost
        if row.value != write.value:
            return tables.Conflict((row,))
        self._store.confirm()
        return tables.Written((row.version,))

    async def _fence(self, key, record):
        gone = {**record, "state": decide.State.NOT_RUN}
        for pause in pauses(LONGEST_LATER_S):
            row = await self._store.read(key)
            if not isinstance(row, kinds.Failure):
                version = decide.fence_version(row, record["attempt"])
                if version is None:
                    return
                write = tables.Write(key, gone, version)
                result = await self._store.write(write)
                self._trace.write("fence", write, result)
                if isinstance(result, tables.Written):
                    return
            await asyncio.sleep(pause)

    def _go_on(self, coro):
        task = self._spawn(coro, name="settle record")
        self._later.add(task)
        task.add_done_callback(self._later.discard)
        return task
