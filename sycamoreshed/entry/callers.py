"""HTTP interface for callers."""

import asyncio
import functools

from aiohttp import web
from loguru import logger
import msgspec

from sycamoreshed.entry import answers
from sycamoreshed.entry import backlog
from sycamoreshed.entry import events
from sycamoreshed.entry import guard
from sycamoreshed.entry import parsing
from sycamoreshed.entry import problems
from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel
from sycamoreshed.pipeline import stops

__all__ = ["Callers"]

# A caller that takes longer to send its body would occupy a handler and
# delay the end of a drain to no purpose.
BODY_TIMEOUT_S = 10.0
# Metric label in place of an outcome for an admitted run that is cancelled,
# or that raises after its caller disconnected.
DISCONNECTED = "gone"
# Of a run that may have taken effect.
GIVEN_UP = kinds.Failure(
    kinds.Kind.DRAINING, "stopped before its end", sent=True
)
UNKNOWN = GIVEN_UP._replace(kind=kinds.Kind.OUTCOME_UNKNOWN)


class Callers:
    """HTTP handlers for callers.

    Parameters
    ----------
    core : Kernel
    """

    def __init__(self, *, core):
        self._core = core
        self._settings = core.settings
        self._notes = core.part("notes")
        self._admission = core.part("admission")
        self._runner = core.part("runner")
        self._once = core.part("once")
        self._stop_limit = core.part("stop_limit")
        self._metrics = core.part("metrics")
        self._open_requests = 0
        self._received = 0
        self._keyed_runs = set()
        # Of the open requests that are parsed, and of the runs with a key.
        self._deadlines = {}
        # Timers of the bodies that are arriving.
        self._body_timers = set()
        self._is_reading_over = False
        self.accepting = True

    @property
    def in_flight(self):
        """Open requests plus runs with a key; zero if nothing is left to do.

        Notes
        -----
        A request is open until its answer is written.  A run with a key
        counts twice while its caller is connected.
        Includes more than admission counts: a request whose body is still
        arriving is not admitted yet, and one whose caller disconnected may
        still run.  A drain that ignored them would abort them.
        """
        return self._open_requests + len(self._keyed_runs)

    @property
    def latest_deadline(self):
        """Latest deadline of the parsed requests in flight.

        Monotonic seconds; zero without such a request.
        """
        return max(self._deadlines.values(), default=0.0)

    async def wait_until_read(self):
        """Wait until the requests that have arrived are read."""
        await backlog.wait_until_read(lambda: self._received, self._core.clock)

    def end_reading(self):
        """Reject the requests whose bodies are still arriving."""
        self._is_reading_over = True
        now = asyncio.get_running_loop().time()
        for timer in self._body_timers:
            if not timer.expired():
                timer.reschedule(now)

    def routes(self):
        """Return the routes of the interface."""
        return [
            web.post("/v1/pipelines/{pipeline}", self.call),
            web.get("/healthz", self.health),
            web.get("/readyz", self.ready),
            web.get("/metrics", self.metrics),
        ]

    async def call(self, http):
        """Run a pipeline and return its answer."""
        self._received += 1
        failure = self._check_accepting()
        if failure is not None:
            return self._reject_unparsed(failure, http)
        started_at = self._core.clock()
        self._open_requests += 1
        try:
            parsed = await self._read(http, started_at)
            if isinstance(parsed, kinds.Failure):
                return self._reject_unparsed(parsed, http)
            return await self._serve(http, parsed, started_at)
        finally:
            self._open_requests -= 1

    async def health(self, _http):
        """Report that the process is alive."""
        return web.json_response({"status": "ok"})

    async def ready(self, _http):
        """Report whether callers should be sent to this instance."""
        failure = None
        if self._core.stopping.is_set():
            failure = stops.STOPPING
        elif not self._notes.is_ready:
            failure = kinds.Failure(
                kinds.Kind.NOT_READY, "no configuration is known"
            )
        if failure is not None:
            return problems.response(failure)
        version = self._notes.config.version
        return web.json_response({"status": "ready", "version": version})

    async def metrics(self, _http):
        """Return the metrics."""
        return web.Response(
            body=self._metrics.render(),
            headers={"Content-Type": "text/plain; version=0.0.4"},
        )

    def _check_accepting(self):
        if not self.accepting:
            return stops.STOPPING
        if not self._notes.is_ready:
            return kinds.Failure(
                kinds.Kind.NOT_READY, "no configuration is known"
            )
        return None

    def _reject(self, failure, request=None):
        self._metrics.sheds.labels(failure.kind).inc()
        return problems.response(failure, request and request.id)

    def _reject_unparsed(self, failure, http):
        may_have_run = parsing.earlier_may_have_run(
            http.headers, http.match_info["pipeline"], self._notes.config
        )
        return self._reject(
            failure._replace(earlier_may_have_run=may_have_run)
        )

    async def _serve(self, http, parsed, started_at):
        request = parsed.request
        self._deadlines[request.id] = request.deadline
        try:
            response = await self._answer(http, parsed, started_at)
            # Otherwise the HTTP library would write it, unknown to a drain.
            await response.prepare(http)
            await response.write_eof()
            return response
        finally:
            del self._deadlines[request.id]

    async def _read(self, http, now):
        try:
            body = await self._read_body(http)
        except TimeoutError:
            if self._is_reading_over:
                return stops.STOPPING
            return kinds.Failure(
                kinds.Kind.BAD_REQUEST, "body came too slowly"
            )
        except web.HTTPRequestEntityTooLarge:
            limit = self._settings.max_body_bytes
            return kinds.Failure(
                kinds.Kind.TOO_LARGE, f"more than {limit} bytes"
            )
        if self._is_reading_over:
            return stops.STOPPING
        return parsing.parse(
            http.headers,
            http.match_info["pipeline"],
            body,
            config=self._notes.config,
            region=self._settings.region,
            now=now,
        )

    async def _read_body(self, http):
        async with asyncio.timeout(BODY_TIMEOUT_S) as timer:
            self._body_timers.add(timer)
            try:
                return await http.read()
            finally:
                self._body_timers.discard(timer)

    async def _answer(self, http, parsed, started_at):
        request = parsed.request
        if request.key is not None:
            # Continues if its caller disconnects, so that its outcome is
            # recorded.  It occupies its slot and delays a drain until it
            # ends.
            task = asyncio.create_task(
                self._run_keyed(http, parsed, started_at)
            )
            self._keyed_runs.add(task)
            self._deadlines[task] = request.deadline
            task.add_done_callback(self._on_keyed_run_done)
            result = await self._stop_limit.run_to_end(
                asyncio.shield(task), UNKNOWN
            )
            if result is UNKNOWN:
                result = problems.response(result, request.id)
            return result
        return await self._admit_and_run(http, parsed, started_at)

    def _on_keyed_run_done(self, task):
        self._keyed_runs.discard(task)
        del self._deadlines[task]

    async def _run_keyed(self, http, parsed, started_at):
        request = parsed.request
        with self._once.track_in_progress(request):
            try:
                early_answer = await self._once.answer_before_admission(
                    request
                )
            except Exception as err:
                early_answer = _unknown_outcome(err)
            if early_answer is None:
                return await self._admit_and_run(http, parsed, started_at)
            if isinstance(early_answer, kinds.Failure):
                return self._reject_parsed(early_answer, request, started_at)
            self._count(request, early_answer.headers["Outcome"], started_at)
            return early_answer

    def _reject_parsed(self, failure, request, started_at):
        self._count(request, kinds.answer_for(failure).outcome, started_at)
        return self._reject(failure, request)

    async def _admit_and_run(self, http, parsed, started_at):
        request = parsed.request
        ticket = await self._stop_limit.wait_to_begin(
            self._admission.acquire(request, self._core.clock()),
            request,
            functools.partial(self._admission.expected_wait_s, request),
        )
        if isinstance(ticket, kinds.Failure):
            if request.key is not None:
                ticket = self._once.reject_unread(request, ticket)
            return self._reject_parsed(ticket, request, started_at)
        try:
            if parsed.stream:
                return await self._respond_streamed(http, request, started_at)
            return await self._respond(request, started_at)
        except BaseException as err:
            cancelled = isinstance(err, asyncio.CancelledError)
            if cancelled or guard.is_disconnected(http):
                self._count(request, DISCONNECTED, started_at)
            raise
        finally:
            self._admission.release(ticket, self._core.clock())

    async def _respond(self, request, started_at):
        result = await self._run(request)
        if isinstance(result, kinds.Failure):
            result = problems.response(result, request.id)
        elif not isinstance(result, web.Response):
            result = answers.response(result)
        outcome = result.headers["Outcome"]
        if outcome == kinds.Outcome.COMPLETE:
            outcome = self._counted_outcome(request)
        self._count(request, outcome, started_at)
        return result

    async def _run(self, request):
        if request.key is None:
            result = await self._stop_limit.run_to_end(
                self._runner.run(request), GIVEN_UP
            )
            if not isinstance(result, kinds.Failure):
                result = answers.encode(request, result)
            return result
        try:
            return await self._once.run(request)
        except Exception as err:
            return _unknown_outcome(err)

    async def _respond_streamed(self, http, request, started_at):
        stream = events.EventStream()
        await stream.prepare(http)
        try:
            result = await self._stop_limit.run_to_end(
                self._runner.run(request, emit=stream.send_token), GIVEN_UP
            )
        except Exception as err:
            if guard.is_disconnected(http):
                raise
            logger.opt(exception=err).error("streamed run failed")
            result = guard.internal_failure(err)
        if isinstance(result, kinds.Failure):
            details = problems.document(result, request.id)
            await stream.send("error", details)
            self._count(request, kinds.answer_for(result).outcome, started_at)
        else:
            data = msgspec.Raw(answers.encode(request, result))
            await stream.send("done", data)
            self._count(request, self._counted_outcome(request), started_at)
        return await stream.end()

    def _counted_outcome(self, request):
        """Return the outcome to count for a complete answer."""
        if self._core.clock() > request.deadline:
            return kinds.Outcome.LATE
        return kinds.Outcome.COMPLETE

    def _count(self, request, outcome, started_at):
        team = self._metrics.team_label(request.team)
        self._metrics.requests.labels(team, request.pipeline, outcome).inc()
        self._metrics.request_seconds.labels(request.pipeline).observe(
            self._core.clock() - started_at
        )


def _unknown_outcome(err):
    # This request, or an earlier one with its key, may have run.  The outcome
    # "failed" would be wrong: it invites the caller to send the request again
    # under a new key.
    logger.opt(exception=err).error("run with a key failed")
    return guard.internal_failure(err)._replace(
        kind=kinds.Kind.OUTCOME_UNKNOWN
    )


@kernel.plugin(
    "callers",
    needs=(
        "admission",
        "guard",
        "metrics",
        "notes",
        "once",
        "runner",
        "stop_limit",
    ),
)
async def callers(core):
    """Provide the HTTP interface for callers."""
    part = Callers(core=core)
    core.public.add_routes(part.routes())
    yield part
