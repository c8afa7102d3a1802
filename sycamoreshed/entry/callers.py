"""The callers' interface."""

import asyncio

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

__all__ = ["Callers"]

# A caller that sends its body more slowly than this holds a handler, and
# with it the end of a drain, for nothing.
BODY_TIMEOUT_S = 10.0
# Counted in the place of an outcome when the caller went away.
GONE = "gone"


class Callers:
    """Handlers of the callers' interface.

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
        self._metrics = core.part("metrics")
        self._open = 0
        self._taken = 0
        self._runs = set()
        self._latest = 0.0
        self.accepting = True

    @property
    def in_flight(self):
        """Requests taken in and not yet answered.

        Notes
        -----
        More than admission counts: a request whose body is still on its
        way is not admitted yet, and one whose caller went away may still
        run.  A drain that overlooked them would cut them off.
        """
        return self._open + len(self._runs)

    @property
    def latest_deadline(self):
        """Latest deadline of any request taken in, monotonic seconds."""
        return self._latest

    async def wait_until_read(self):
        """Return once the requests that have arrived are read."""
        await backlog.wait_until_read(lambda: self._taken, self._core.clock)

    def routes(self):
        """Return the routes of the interface."""
        return [
            web.post("/v1/pipelines/{pipeline}", self.call),
            web.get("/healthz", self.health),
            web.get("/readyz", self.ready),
            web.get("/metrics", self.metrics),
        ]

    async def call(self, http):
        """Run a pipeline and answer."""
        self._taken += 1
        refusal = self._refusal()
        if refusal is not None:
            return self._refuse_unread(refusal, http)
        start = self._core.clock()
        self._open += 1
        try:
            ask = await self._read(http, start)
            if isinstance(ask, kinds.Failure):
                return self._refuse_unread(ask, http)
            self._latest = max(self._latest, ask.request.deadline)
            return await self._answer(http, ask, start)
        finally:
            self._open -= 1

    async def health(self, _http):
        """Tell that the process runs."""
        return web.json_response({"status": "ok"})

    async def ready(self, _http):
        """Tell whether callers should be sent here."""
        refusal = None
        if self._core.stopping.is_set():
            refusal = kinds.Failure(kinds.Kind.DRAINING, "stopping")
        elif not self._notes.is_ready:
            refusal = kinds.Failure(
                kinds.Kind.NOT_READY, "no configuration is known"
            )
        if refusal is not None:
            return problems.response(refusal)
        version = self._notes.config.version
        return web.json_response({"status": "ready", "version": version})

    async def metrics(self, _http):
        """Return the metrics."""
        return web.Response(
            body=self._metrics.render(),
            headers={"Content-Type": "text/plain; version=0.0.4"},
        )

    def _refusal(self):
        if not self.accepting:
            return kinds.Failure(kinds.Kind.DRAINING, "stopping")
        if not self._notes.is_ready:
            return kinds.Failure(
                kinds.Kind.NOT_READY, "no configuration is known"
            )
        return None

    def _refuse(self, failure, request=None):
        self._metrics.sheds.labels(failure.kind).inc()
        return problems.response(failure, request and request.id)

    def _refuse_unread(self, failure, http):
        in_doubt = parsing.in_doubt(
            http.headers, http.match_info["pipeline"], self._notes.config
        )
        return self._refuse(failure._replace(earlier_may_have_run=in_doubt))

    async def _read(self, http, now):
        try:
            async with asyncio.timeout(BODY_TIMEOUT_S):
                raw = await http.read()
        except TimeoutError:
            return kinds.Failure(
                kinds.Kind.BAD_REQUEST, "body came too slowly"
            )
        except web.HTTPRequestEntityTooLarge:
            limit = self._settings.max_body_bytes
            return kinds.Failure(
                kinds.Kind.TOO_LARGE, f"more than {limit} bytes"
            )
        return parsing.parse(
            http.headers,
            http.match_info["pipeline"],
            raw,
            config=self._notes.config,
            region=self._settings.region,
            now=now,
        )

    async def _answer(self, http, ask, start):
        request = ask.request
        if request.key is not None:
            # Goes on when its caller goes away, so that its outcome gets
            # recorded; until then it holds its slot and holds up a drain.
            run = asyncio.create_task(self._keyed(http, ask, start))
            self._runs.add(run)
            run.add_done_callback(self._runs.discard)
            return await asyncio.shield(run)
        return await self._admitted(http, ask, start)

    async def _keyed(self, http, ask, start):
        request = ask.request
        with self._once.track_in_progress(request):
            try:
                end = await self._once.answer_before_admission(request)
            except Exception as err:
                end = _unforeseen(err)
            if end is None:
                return await self._admitted(http, ask, start)
            if isinstance(end, kinds.Failure):
                return self._turn_away(end, request, start)
            self._count(request, end.headers["Outcome"], start)
            return end

    def _turn_away(self, failure, request, start):
        self._count(request, kinds.answer_for(failure).outcome, start)
        return self._refuse(failure, request)

    async def _admitted(self, http, ask, start):
        request = ask.request
        ticket = await self._admission.acquire(request, self._core.clock())
        if isinstance(ticket, kinds.Failure):
            if request.key is not None:
                ticket = self._once.reject_unread(request, ticket)
            return self._turn_away(ticket, request, start)
        try:
            if ask.stream:
                return await self._stream(http, request, start)
            return await self._whole(request, start)
        except BaseException as err:
            cancelled = isinstance(err, asyncio.CancelledError)
            if cancelled or guard.is_gone(http):
                self._count(request, GONE, start)
            raise
        finally:
            self._admission.release(ticket, self._core.clock())

    async def _whole(self, request, start):
        result = await self._run_to_end(request)
        if isinstance(result, kinds.Failure):
            result = problems.response(result, request.id)
        elif not isinstance(result, web.Response):
            result = answers.response(result)
        outcome = result.headers["Outcome"]
        if outcome == kinds.Outcome.COMPLETE:
            outcome = self._outcome(request)
        self._count(request, outcome, start)
        return result

    async def _run_to_end(self, request):
        if request.key is None:
            result = await self._runner.run(request)
            if not isinstance(result, kinds.Failure):
                result = answers.encode(request, result)
            return result
        try:
            return await self._once.run(request)
        except Exception as err:
            return _unforeseen(err)

    async def _stream(self, http, request, start):
        stream = events.EventStream()
        await stream.prepare(http)
        try:
            result = await self._runner.run(request, emit=stream.token)
        except Exception as err:
            if guard.is_gone(http):
                raise
            logger.opt(exception=err).error("streamed run failed")
            result = guard.internal(err)
        if isinstance(result, kinds.Failure):
            details = problems.document(result, request.id)
            await stream.send("error", details)
            self._count(request, kinds.answer_for(result).outcome, start)
        else:
            data = msgspec.Raw(answers.encode(request, result))
            await stream.send("done", data)
            self._count(request, self._outcome(request), start)
        return await stream.end()

    def _outcome(self, request):
        if self._core.clock() > request.deadline:
            return kinds.Outcome.LATE
        return kinds.Outcome.COMPLETE

    def _count(self, request, outcome, start):
        team = self._metrics.team_label(request.team)
        self._metrics.requests.labels(team, request.pipeline, outcome).inc()
        self._metrics.request_seconds.labels(request.pipeline).observe(
            self._core.clock() - start
        )


def _unforeseen(err):
    # Nobody can tell how far it came, so "failed", which invites a caller
    # to send it again under a new key, would be wrong.
    logger.opt(exception=err).error("run with a key failed")
    return guard.internal(err)._replace(kind=kinds.Kind.OUTCOME_UNKNOWN)


@kernel.plugin(
    "callers",
    needs=("admission", "guard", "metrics", "notes", "once", "runner"),
)
async def callers(core):
    """Provide the callers' interface."""
    part = Callers(core=core)
    core.public.add_routes(part.routes())
    yield part
