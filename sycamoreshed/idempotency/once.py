"""At-most-once execution of keyed requests, and look-ups of their outcome."""

import time

from aiohttp import web

from sycamoreshed.adapters import table as tables
from sycamoreshed.entry import answers
from sycamoreshed.entry import problems
from sycamoreshed.errors import kinds
from sycamoreshed.idempotency import decide
from sycamoreshed.idempotency import keys
from sycamoreshed.idempotency import lookups  # noqa: F401
from sycamoreshed.idempotency import losses  # noqa: F401
from sycamoreshed.idempotency import prior_runs
from sycamoreshed.idempotency import records
from sycamoreshed.idempotency import rejections
from sycamoreshed.idempotency import responses
from sycamoreshed.idempotency import settling
from sycamoreshed.idempotency import sweep  # noqa: F401
from sycamoreshed.kernel import kernel
from sycamoreshed.pipeline import runner as runners

__all__ = ["AtMostOnce"]

TEAM = "Team"


class _ClaimGate:
    """Runner hooks around the non-repeatable stage.

    Parameters
    ----------
    request_claim : coroutine function
        Returns a `Claim`, `Replay` or `Failure`.
    find_answer : coroutine function
        Returns the `StageAnswer` that endpoints report, or None.
    """

    def __init__(self, *, request_claim, find_answer):
        self._request_claim = request_claim
        self._find_answer = find_answer
        self.claim = None
        self.stage_answer = None

    async def before(self):
        """Claim the key; return None if the stage may be sent."""
        result = await self._request_claim()
        if not isinstance(result, settling.Claim):
            return result
        self.claim = result
        return None

    async def after(self, result):
        """Look up the outcome of the call if its answer was lost."""
        if isinstance(result, kinds.Failure) and result.sent:
            result = await self._find_answer() or result
        if not isinstance(result, kinds.Failure):
            self.stage_answer = result
        return result


class AtMostOnce:
    """Runs pipelines with a stage that is sent at most once for each key.

    Parameters
    ----------
    records : Records
    runner : Runner
    endpoint_lookups : EndpointLookups
    notes : Notes
    instance : str
    ttl_s : float
        Seconds for which records are kept.
    """

    def __init__(
        self, *, records, runner, endpoint_lookups, notes, instance, ttl_s
    ):
        self._records = records
        self._runner = runner
        self._lookups = endpoint_lookups
        self._notes = notes
        self._instance = instance
        self._ttl_s = ttl_s
        self._rejecter = rejections.Rejecter(
            prior_runs=records.prior_runs,
            lookups=endpoint_lookups,
            trace=records.trace,
        )

    def track_in_progress(self, request):
        """Return a context in which a request's key counts as in progress."""
        return self._records.prior_runs.track_in_progress(
            keys.request_keys(request).record_key
        )

    def reject_unread(self, request, failure):
        """Return a rejection of a request whose record was not read.

        It says "not run" only if no earlier request may have run.
        """
        return self._rejecter.reject_unread(request, failure)

    async def answer_before_admission(self, request):
        """Answer a request that need not or cannot run, or return None.

        Returns
        -------
        Response, Failure or None

        Notes
        -----
        Called before admission, so that requests that fail because the
        store is unavailable take no slot from requests that can run.
        """
        failure = keys.check_key(request.key, time.time(), self._ttl_s)
        if failure is not None:
            return failure
        failure = _check_single_unrepeatable(request)
        if failure is not None:
            return self.reject_unread(request, failure)
        row_key = keys.request_keys(request).record_key
        unstored = self._records.settler.unstored_record(row_key)
        failure = self._records.reject_if_unavailable()
        if unstored is not None:
            # Always done, so that `recorded_result` is not None; its version
            # is not used.
            row = tables.Row(row_key, unstored, tables.ABSENT)
        elif failure is not None:
            row = await self._records.read(row_key)
            loss = self._check_loss(request.key, request.repeat)
            if loss is not None and not prior_runs.from_record(row):
                # The record of an earlier request may be lost.
                row = loss
        else:
            return None
        result = self._records.recorded_result(
            row, keys.request_digest(request)
        )
        if result is None:
            result = await self._rejecter.reject_by_record(
                request, failure, row
            )
        return responses.replay_response(result)

    async def run(self, request):
        """Run a request, or return the recorded answer for its key.

        Returns
        -------
        Response or Failure

        Notes
        -----
        Must not be cancelled when the caller disconnects: the record of a
        write or call in progress would never be settled.
        """
        stages = request.spec["stages"]
        names = [stage["name"] for stage in stages]
        unrepeatable = runners.unrepeatable_stage(
            request.config, request.pipeline
        )
        row_key, service, endpoint_key = keys.request_keys(request)
        record = records.new_record(
            request,
            keys.request_digest(request),
            instance=self._instance,
            stages=names if unrepeatable is stages[-1] else None,
        )

        def check_loss():
            return self._check_loss(request.key, request.repeat)

        if unrepeatable is not stages[0]:
            prior_result = await self._records.peek(row_key, record)
            if prior_result is not None:
                return await self._respond_unclaimed(request, prior_result)

        async def complete_from_endpoints(row):
            return await self._complete_from_endpoints(
                row, service, endpoint_key
            )

        async def request_claim():
            return await self._records.claim(
                row_key,
                record,
                request.deadline,
                complete_from_endpoints=complete_from_endpoints,
                check_loss=check_loss,
            )

        async def find_answer():
            return await self._lookups.find_answer(
                request.config, service, endpoint_key
            )

        gate = _ClaimGate(request_claim=request_claim, find_answer=find_answer)
        forwarded = request._replace(key=endpoint_key)
        result = await self._runner.run(forwarded, gate=gate)
        if gate.claim is None:
            return await self._respond_unclaimed(request, result)
        return await self._settle_and_respond(
            request, unrepeatable, gate, result
        )

    async def look_up(self, http):
        """Handle a caller's look-up of the outcome recorded for a key."""
        team = http.headers.get(TEAM, "")
        key = http.match_info["key"]
        service = self._service_of(http.match_info)
        if isinstance(service, kinds.Failure):
            return problems.response(service)
        row_key = keys.record_key(team, service, key)
        unstored = self._records.settler.unstored_record(row_key)
        if unstored is not None:
            return responses.record_response(unstored)
        row = await self._records.read(row_key)
        if isinstance(row, kinds.Failure):
            # For a new request, an unavailable store means "not run"; the
            # request that is looked up was sent earlier and may have run.
            unknown = row._replace(kind=kinds.Kind.OUTCOME_UNKNOWN, sent=True)
            return problems.response(unknown)
        endpoint_key = keys.endpoint_key(team, key)
        row = await self._complete_from_endpoints(row, service, endpoint_key)
        loss = self._check_loss(key, None)
        if loss is not None and not prior_runs.from_record(row):
            unknown = loss._replace(kind=kinds.Kind.OUTCOME_UNKNOWN, sent=True)
            return problems.response(unknown)
        if row.value is None:
            return problems.response(
                kinds.Failure(kinds.Kind.KEY_UNKNOWN, "nothing is recorded")
            )
        return responses.record_response(row.value)

    def _check_loss(self, key, repeat):
        if self._records.losses is None:
            return None
        return self._records.losses.check(
            key, repeat, self._records.clock(), time.time()
        )

    def _service_of(self, match_info):
        if "service" in match_info:
            return match_info["service"]
        config, pipeline = self._notes.config, match_info["pipeline"]
        stage = None
        if config.entry("pipelines", pipeline) is not None:
            stage = runners.unrepeatable_stage(config, pipeline)
        if stage is None:
            return kinds.Failure(
                kinds.Kind.UNKNOWN_PIPELINE,
                f"no pipeline {pipeline!r} with keys",
            )
        return stage["service"]

    async def _respond_unclaimed(self, request, result):
        """Return the answer to a request that has claimed nothing."""
        if not isinstance(result, kinds.Failure) or result.sent:
            return responses.replay_response(result)
        return await self._rejecter.reject_unsent(
            request, responses.with_unsent_kind(result)
        )

    async def _settle_and_respond(self, request, unrepeatable, gate, result):
        failure = result if isinstance(result, kinds.Failure) else None
        end = decide.after_run(failure, gate.stage_answer is not None)
        if end is decide.RunEnd.RELEASE:
            await self._records.settler.release(gate.claim)
            return await self._rejecter.reject_unsent(
                request, responses.with_unsent_kind(failure)
            )
        self._records.prior_runs.add(gate.claim.key)
        if end is decide.RunEnd.LEAVE:
            path = f"/v1/pipelines/{request.pipeline}/keys/{request.key}"
            return failure._replace(
                kind=kinds.Kind.OUTCOME_UNKNOWN,
                reason=f"{failure.reason}; ask later: GET {path}",
            )
        if failure is None:
            raw, status = answers.encode(request, result), responses.OK
        else:
            raw, status = responses.ran_problem(
                request, unrepeatable, gate.stage_answer.output, failure
            )
        replay = await self._records.settler.finish(
            gate.claim, raw.decode(), status, request.deadline
        )
        return responses.replay_response(replay)

    async def _complete_from_endpoints(self, row, service, endpoint_key):
        """Complete a begun record if an endpoint reports that its call ran.

        Returns the current row, as far as known.
        """
        record = row.value
        if record is None or record["state"] != decide.State.BEGUN:
            return row
        if "stages" not in record:
            return row
        answer = await self._lookups.find_answer(
            self._notes.config, service, endpoint_key
        )
        if answer is None:
            return row
        raw = answers.encode_parts(
            record["attempt"],
            record["config"],
            answer.output,
            record["stages"],
        )
        return await self._records.complete(row, raw.decode()) or row


def _check_single_unrepeatable(request):
    """Return a failure if several stages are non-repeatable, else None.

    Notes
    -----
    One record cannot hold the outcome of two calls: if the first is done
    and the answer of the second is lost, no outcome holds for both.
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
    part = AtMostOnce(
        records=core.part("records"),
        runner=core.part("runner"),
        endpoint_lookups=core.part("asker"),
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
