"""Records of requests that may not be repeated, in the table service."""

import asyncio
import time
import typing
import uuid

import msgspec
import xxhash

from sycamoreshed.adapters import table as tables
from sycamoreshed.errors import kinds
from sycamoreshed.idempotency import decide
from sycamoreshed.kernel import kernel

__all__ = ["Claim", "Records", "Replay", "record_key"]

PREFIX = "once/"
POLL_S = 0.1
FINISH_RETRY_S = 0.5


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


def record_key(team, pipeline, key):
    """Return the row key of a record."""
    return f"{PREFIX}{team}/{pipeline}/{key}"


def digest(body):
    """Return a digest of a request's body."""
    raw = msgspec.json.encode(body, order="deterministic")
    return xxhash.xxh3_128_hexdigest(raw)


class Records:
    """Claims, finishes and looks up records.

    Parameters
    ----------
    table : Table
    instance : str
    clock : callable
    spawn : callable
        Runs a coroutine in the background.
    """

    def __init__(self, *, table, instance, clock, spawn):
        self._table = table
        self._instance = instance
        self._clock = clock
        self._spawn = spawn

    async def claim(self, request):
        """Record this attempt before anything is sent.

        Returns
        -------
        Claim, Replay or Failure
        """
        key = record_key(request.team, request.pipeline, request.key)
        record = decide.Record(
            state=decide.State.BEGUN,
            attempt=uuid.uuid4().hex,
            body=digest(request.body),
            instance=self._instance,
            at=time.time(),
        )
        if_version = tables.ABSENT
        while self._clock() < request.deadline:
            result = await self._table.write(
                tables.Write(key, record, if_version)
            )
            step, row = await self._settle(result, key, record)
            if step is decide.Step.SEND:
                return Claim(key, record, row.version)
            if step is decide.Step.CLAIM_AGAIN:
                if_version = row.version
                continue
            if step is decide.Step.WAIT:
                return await self._wait(key, record, request.deadline)
            return self._conclude(step, row)
        return kinds.Failure(kinds.Kind.STORE_AWAY, "no time to record")

    async def finish(self, claim, answer):
        """Store the answer; in the background if the store is away.

        Parameters
        ----------
        claim : Claim
        answer : str
            The body given to the caller.
        """
        record = {
            **claim.record,
            "state": decide.State.DONE,
            "answer": answer,
        }
        write = tables.Write(claim.key, record, claim.version)
        result = await self._table.write(write)
        if isinstance(result, kinds.Failure):
            self._spawn(self._finish_later(write), name="finish record")

    async def release(self, claim):
        """Store that the call was not sent and never will be."""
        record = {**claim.record, "state": decide.State.NOT_RUN}
        write = tables.Write(claim.key, record, claim.version)
        result = await self._table.write(write)
        if isinstance(result, kinds.Failure):
            self._spawn(self._finish_later(write), name="release record")

    async def look_up(self, team, pipeline, key):
        """Return what is recorded.

        Returns
        -------
        Record, None or Failure
        """
        row = await self._table.read(record_key(team, pipeline, key))
        if isinstance(row, kinds.Failure):
            return row
        return row.value

    async def _settle(self, result, key, record):
        step = decide.after_write(result, record["attempt"], record["body"])
        if step is decide.Step.SEND:
            return step, tables.Row(key, record, result.versions[0])
        if step is not decide.Step.READ_BACK:
            row = None
            if isinstance(result, tables.Conflict):
                row = result.rows[0]
            return step, row
        row = await self._table.read(key)
        step = decide.after_read(row, record["attempt"], record["body"])
        return step, row

    async def _wait(self, key, record, deadline):
        while self._clock() + POLL_S < deadline:
            await asyncio.sleep(POLL_S)
            row = await self._table.read(key)
            step = decide.after_read(row, record["attempt"], record["body"])
            if step is decide.Step.REPLAY:
                return Replay(row.value["answer"])
        return kinds.Failure(
            kinds.Kind.OUTCOME_UNKNOWN,
            "another attempt with this key has begun; its end is not known",
            sent=True,
        )

    def _conclude(self, step, row):
        if step is decide.Step.REPLAY:
            return Replay(row.value["answer"])
        if step is decide.Step.CONFLICT:
            return kinds.Failure(
                kinds.Kind.KEY_CONFLICT, "the key was used with another body"
            )
        return kinds.Failure(
            kinds.Kind.STORE_AWAY, "the attempt could not be recorded"
        )

    async def _finish_later(self, write):
        while True:
            await asyncio.sleep(FINISH_RETRY_S)
            result = await self._table.write(write)
            if not isinstance(result, kinds.Failure):
                return


@kernel.plugin("records", needs=("table",))
async def records(core):
    """Provide records of requests that may not be repeated."""
    yield Records(
        table=core.part("table"),
        instance=core.settings.instance,
        clock=core.clock,
        spawn=core.spawn,
    )
