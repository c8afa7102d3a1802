"""Runs requests that may not be repeated, and tells what became of them."""

import time

from aiohttp import web

from sycamoreshed.adapters import table as tables
from sycamoreshed.entry import answers
from sycamoreshed.entry import problems
from sycamoreshed.errors import kinds
from sycamoreshed.idempotency import decide
from sycamoreshed.idempotency import keys
from sycamoreshed.idempotency import lookups  # noqa: F401
from sycamoreshed.idempotency import records
from sycamoreshed.idempotency import rejections
from sycamoreshed.idempotency import responses
from sycamoreshed.idempotency import settling
from sycamoreshed.idempotency import sweep  # noqa: F401
from sycamoreshed.kernel import kernel
from sycamoreshed.pipeline import runner as runners

__all__ = ["Once"]

TEAM = "Team"


class _Gate:
    """Stands before and after the stage that may not be repeated.

    Parameters
    ----------
    claim : coroutine function
        Returns a `Claim`, `Replay` or `Failure`.
    ask : coroutine function
        Returns the `StageAnswer` endpoints know of, or None.
    """

    def __init__(self, *, claim, ask):
        self._claim = claim
        self._ask = ask
        self.claimed = None
        self.answer = None

    async def before(self):
        """Record the attempt; return None if the stage may be sent."""
        result = await self._claim()
        if not isinstance(result, settling.Claim):
            return result
        self.claimed = result
        return None

    async def after(self, result):
        """Ask what became of the call if its answer did not come."""
        if isinstance(result, kinds.Failure) and result.sent:
            result = await self._ask() or result
        if not isinstance(result, kinds.Failure):
            self.answer = result
        return result


class Once:
    """Runs a pipeline at most once for each key.

    Parameters
    ----------
    records : Records
    runner : Runner
    asker : Asker
    notes : Notes
    instance : str
    ttl_s : float
        How long records are kept.
    """

    def __init__(self, *, records, runner, asker, notes, instance, ttl_s):
        self._records = records
        self._runner = runner
        self._asker = asker
        self._notes = notes
        self._instance = instance
        self._ttl_s = ttl_s
        self._refuser = rejections.Refuser(
            sightings=records.sightings, asker=asker, trace=records.trace
        )

    def track_in_progress(self, request):
        """Return a context in which others know of a request's key."""
        return self._records.sightings.under_way(keys.names_of(request).row)

    def reject_unread(self, request, failure):
        """Return a refusal before the record was read, as it may be told."""
        return self._refuser.refuse_at_once(request, failure)

    async def answer_before_admission(self, request):
        """Answer a request that need not or cannot run, or return None.

        Returns
        -------
        Response, Failure or None

        Notes
        -----
        Asked before admission: a request that only waited for a slot to
        hear that the store is away would keep it from those that can run.
        """
        refusal = keys.fault(request.key, time.time(), self._ttl_s)
        if refusal is not None:
            return refusal
        refusal = _two_stages(request)
        if refusal is not None:
            return self.reject_unread(request, refusal)
        row_key = keys.names_of(request).row
        held = self._records.settler.held(row_key)
        refusal = self._records.refusal()
        if held is not None:
            row = tables.Row(row_key, held, tables.ABSENT)
        elif refusal is not None:
            row = await self._records.read(row_key)
        else:
            return None
        end = self._records.end_of(row, keys.digest_of(request))
        if end is None:
            end = await self._refuser.refuse_by_record(request, refusal, row)
        return responses.respond(end)

    async def run(self, request):
        """Run a request, or return the first answer to its key.

        Returns
        -------
        Response or Failure

        Notes
        -----
        Not to be cancelled when the caller goes away: a write or a call
        would be left without anybody who settles its record.
        """
        stages = request.spec["stages"]
        names = [stage["name"] for stage in stages]
        critical = runners.unrepeatable_stage(request.config, request.pipeline)
        row_key, service, known_as = keys.names_of(request)
        record = records.new_record(
            request,
            keys.digest_of(request),
            instance=self._instance,
            stages=names if critical is stages[-1] else None,
        )
        if critical is not stages[0]:
            end = await self._records.peek(row_key, record)
            if end is not None:
                return await self._unclaimed(request, end)

        async def learn(row):
            return await self._learn(row, service, known_as)

        async def claim():
            return await self._records.claim(
                row_key, record, request.deadline, ask=learn
            )

        async def ask():
            return await self._asker.ask(request.config, service, known_as)

        gate = _Gate(claim=claim, ask=ask)
        sent = request._replace(key=known_as)
        result = await self._runner.run(sent, gate=gate)
        if gate.claimed is None:
            return await self._unclaimed(request, result)
        return await self._end(request, critical, gate, result)

    async def look_up(self, http):
        """Tell a caller what became of a request with a key."""
        team = http.headers.get(TEAM, "")
        key = http.match_info["key"]
        service = self._service_of(http.match_info)
        if isinstance(service, kinds.Failure):
            return problems.response(service)
        row_key = keys.record_key(team, service, key)
        held = self._records.settler.held(row_key)
        if held is not None:
            return responses.tell(held)
        row = await self._records.read(row_key)
        if isinstance(row, kinds.Failure):
            # Not "not run", which is what a store that is away means to
            # a request: this one was sent earlier and may have run.
            unknown = row._replace(kind=kinds.Kind.OUTCOME_UNKNOWN, sent=True)
            return problems.response(unknown)
        known_as = keys.endpoint_key(team, key)
        row = await self._learn(row, service, known_as)
        if row.value is None:
            return problems.response(
                kinds.Failure(kinds.Kind.KEY_UNKNOWN, "nothing is recorded")
            )
        return responses.tell(row.value)

    def _service_of(self, match):
        if "service" in match:
            return match["service"]
        config, pipeline = self._notes.config, match["pipeline"]
        stage = None
        if config.entry("pipelines", pipeline) is not None:
            stage = runners.unrepeatable_stage(config, pipeline)
        if stage is None:
            return kinds.Failure(
                kinds.Kind.UNKNOWN_PIPELINE,
                f"no pipeline {pipeline!r} with keys",
            )
        return stage["service"]

    async def _unclaimed(self, request, result):
        """Return what a request is told that has sent nothing."""
        if not isinstance(result, kinds.Failure) or result.sent:
            return responses.respond(result)
        return await self._refuser.refuse_after_claim(
            request, responses.unsent(result)
        )

    async def _end(self, request, critical, gate, result):
        failure = result if isinstance(result, kinds.Failure) else None
        end = decide.after_run(failure, gate.answer is not None)
        if end is decide.End.RELEASE:
            await self._records.settler.release(gate.claimed)
            return await self._refuser.refuse_after_claim(
                request, responses.unsent(failure)
            )
        self._records.sightings.add(gate.claimed.key)
        if end is decide.End.LEAVE:
            path = f"/v1/pipelines/{request.pipeline}/keys/{request.key}"
            return failure._replace(
                kind=kinds.Kind.OUTCOME_UNKNOWN,
                reason=f"{failure.reason}; ask later: GET {path}",
            )
        if failure is None:
            raw, status = answers.encode(request, result), responses.OK
        else:
            raw, status = responses.ran_document(
                request, critical, gate.answer.output, failure
            )
        replay = await self._records.settler.finish(
            gate.claimed, raw.decode(), status, request.deadline
        )
        return responses.respond(replay)

    async def _learn(self, row, service, known_as):
        """Return the row as it is known after endpoints were asked."""
        record = row.value
        if record is None or record["state"] != decide.State.BEGUN:
            return row
        if "stages" not in record:
            return row
        answer = await self._asker.ask(self._notes.config, service, known_as)
        if answer is None:
            return row
        raw = answers.encode_parts(
            record["attempt"],
            record["config"],
            answer.output,
            record["stages"],
        )
        return await self._records.complete(row, raw.decode()) or row


def _two_stages(request):
    """Return a failure if two stages may not be repeated, or None.

    Notes
    -----
    One record cannot tell of two calls: were the first done and the
    answer of the second lost, no outcome would be true of both.
    """
    services = request.config.sections["services"]
    names = [
        stage["name"]
        for stage in request.spec["stages"]
        if not services[stage["service"]].get("repeatable", True)
    ]
    if len(names) < 2:
        return None
    return kinds.Failure(
        kinds.Kind.BAD_REQUEST,
        f"stages {names} may not be repeated; a pipeline may have one",
    )


@kernel.plugin("once", needs=("asker", "notes", "records", "runner"))
async def once(core):
    """Provide at-most-once execution, and look-ups by key."""
    part = Once(
        records=core.part("records"),
        runner=core.part("runner"),
        asker=core.part("asker"),
        notes=core.part("notes"),
        instance=core.settings.instance,
        ttl_s=core.settings.record_ttl_s,
    )
    core.public.add_routes(
        [
            web.get("/v1/pipelines/{pipeline}/keys/{key}", part.look_up),
            web.get("/v1/services/{service}/keys/{key}", part.look_up),
        ]
    )
    yield part
