"""The callers' interface."""

from aiohttp import web
import msgspec

from sycamoreshed.entry import answers
from sycamoreshed.entry import events
from sycamoreshed.entry import parsing
from sycamoreshed.entry import problems
from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel

__all__ = ["Callers"]


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
        self.accepting = True

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
        pipeline = http.match_info["pipeline"]
        refusal = self._refusal()
        if refusal is not None:
            return problems.response(refusal)
        try:
            raw = await http.read()
        except web.HTTPRequestEntityTooLarge:
            limit = self._settings.max_body_bytes
            return problems.response(
                kinds.Failure(kinds.Kind.TOO_LARGE, f"more than {limit} bytes")
            )
        ask = parsing.parse(
            http.headers,
            pipeline,
            raw,
            config=self._notes.config,
            region=self._settings.region,
            now=self._core.clock(),
        )
        if isinstance(ask, kinds.Failure):
            return problems.response(ask)
        return await self._admitted(http, ask)

    async def health(self, _http):
        """Tell that the process runs."""
        return web.json_response({"status": "ok"})

    async def ready(self, _http):
        """Tell whether callers should be sent here."""
        refusal = None
        if self._core.stopping.is_set():
            refusal = kinds.Failure(kinds.Kind.DRAINING, "stopping")
        elif not self._notes.ready:
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
        if not self._notes.ready:
            return kinds.Failure(
                kinds.Kind.NOT_READY, "no configuration is known"
            )
        return None

    async def _admitted(self, http, ask):
        request = ask.request
        ticket = await self._admission.enter(request, self._core.clock())
        if isinstance(ticket, kinds.Failure):
            self._count(request, kinds.answer_for(ticket).outcome)
            return problems.response(ticket, request.id)
        try:
            if ask.stream:
                return await self._stream(http, request)
            return await self._whole(request)
        finally:
            self._admission.leave(ticket, self._core.clock())

    async def _whole(self, request):
        if request.key is not None:
            result = await self._once.run(request)
            if isinstance(result, web.Response):
                self._count(request, result.headers["Outcome"])
                return result
        else:
            result = await self._runner.run(request)
            if not isinstance(result, kinds.Failure):
                result = answers.encode(request, result)
        if isinstance(result, kinds.Failure):
            self._count(request, kinds.answer_for(result).outcome)
            return problems.response(result, request.id)
        self._count(request, self._outcome(request))
        return answers.response(result)

    async def _stream(self, http, request):
        stream = events.EventStream()
        await stream.prepare(http)

        async def emit(offset, token):
            await stream.send("token", token, number=offset)

        result = await self._runner.run(request, emit=emit)
        if isinstance(result, kinds.Failure):
            details = problems.document(result, request.id)
            await stream.send("error", msgspec.json.encode(details).decode())
            self._count(request, kinds.answer_for(result).outcome)
        else:
            data = answers.encode(request, result).decode()
            await stream.send("done", data)
            self._count(request, self._outcome(request))
        return await stream.end()

    def _outcome(self, request):
        if self._core.clock() > request.deadline:
            return kinds.Outcome.LATE
        return kinds.Outcome.COMPLETE

    def _count(self, request, outcome):
        team = self._metrics.team_label(request.team)
        self._metrics.requests.labels(team, request.pipeline, outcome).inc()


@kernel.plugin(
    "callers",
    needs=("admission", "metrics", "notes", "once", "runner"),
)
async def callers(core):
    """Provide the callers' interface."""
    part = Callers(core=core)
    core.public.add_routes(part.routes())
    yield part
