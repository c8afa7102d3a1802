"""Handlers of the control address, for other instances and operators."""

import msgspec

from aiohttp import web
from sycamoreshed.adapters import bodies
from sycamoreshed.adapters import decoding
from sycamoreshed.adapters import positions
from sycamoreshed.catalog import following
from sycamoreshed.catalog import relay
from sycamoreshed.catalog import updates
from sycamoreshed.engineload import messages as load_messages
from sycamoreshed.errors import kinds
from sycamoreshed.findings import exchange as exchanges
from sycamoreshed.forwarding import limiting
from sycamoreshed.forwarding import permits
from sycamoreshed.kernel import kernel
from sycamoreshed.links import indirect
from sycamoreshed.resumption import lookup
from sycamoreshed.resumption import origins
from sycamoreshed.resumption import replication
from sycamoreshed.resumption import stored
from sycamoreshed.staging import delegation
from sycamoreshed.staging import pieces

__all__ = ["ControlHandlers"]


class ControlHandlers:
    """Handles requests from other instances and from operators.

    Parameters
    ----------
    catalog : Catalog
    watch_server : WatchServer
    exchange : Exchange
    limiter : Limiter
    stages : StageRunner
    call_server : CallServer
    finder : Finder
    replicator : Replicator
    stored_origins : StoredOrigins
    load_sharing : LoadSharing
    metrics : GatewayMetrics
    clock : callable
    status : callable
        Returns the content of `sycamoreshed status`.
    """

    def __init__(
        self,
        *,
        catalog,
        watch_server,
        exchange,
        limiter,
        stages,
        call_server,
        finder,
        replicator,
        stored_origins,
        load_sharing,
        metrics,
        clock,
        status,
    ):
        self._catalog = catalog
        self._watch_server = watch_server
        self._exchange = exchange
        self._limiter = limiter
        self._stages = stages
        self._call_server = call_server
        self._finder = finder
        self._replicator = replicator
        self._stored_origins = stored_origins
        self._load_sharing = load_sharing
        self._metrics = metrics
        self._clock = clock
        self._status = status
        self.in_flight = 0

    async def table_update(self, http):
        """Return what is newer than the requester's copy of a table."""
        table = _query(http, "table")
        if table not in self._catalog.tables:
            raise web.HTTPBadRequest(text=f"no table {table[:80]!r}")
        try:
            after = positions.parse(_query(http, "after"))
        except ValueError as err:
            # An instance of another version of the program may ask so.
            raise web.HTTPBadRequest(text=str(err)) from err
        return _json(
            updates.table_update(self._catalog, table, after, self._clock())
        )

    async def watch(self, http):
        """Return the tables once one has changed or the wait is over."""
        request = decoding.decode(await http.read(), updates.WatchRequest)
        return _json(await self._watch_server.answer(request))

    async def findings(self, http):
        """Accept findings of another instance."""
        message = decoding.decode(await http.read(), exchanges.Message)
        self._exchange.receive(message)
        return web.Response(status=204)

    async def compare_findings(self, http):
        """Return the findings of this instance if the digest differs."""
        digest = decoding.decode(await http.read(), int)
        return _json(self._exchange.compare(digest))

    async def permit(self, http):
        """Issue a permit to send a request to an endpoint with a limit."""
        request = decoding.decode(await http.read(), permits.PermitRequest)
        return _json(self._limiter.issue(request))

    async def run(self, http):
        """Run the stages of a job on the endpoints of a zone."""
        job = decoding.decode(await http.read(), pieces.Job)
        self.in_flight += 1
        try:
            outcome = await self._stages.run_locally(
                job,
                _query(http, "zone"),
                delegation.decode_origin(http.query),
            )
        finally:
            self.in_flight -= 1
        if isinstance(outcome, kinds.Failure):
            return web.Response(
                status=503, headers={delegation.STOPPING_HEADER: "1"}
            )
        return _json(outcome)

    async def call(self, http):
        """Send a call to an endpoint for an instance that cannot."""
        self.in_flight += 1
        try:
            return await self._call_server.handle(http)
        finally:
            self.in_flight -= 1

    async def free(self, http):
        """Free results of stages in a zone."""
        freed = decoding.decode(
            await http.read(), list[delegation.FreedResult]
        )
        self._stages.free_locally(_query(http, "zone"), freed)
        return web.Response(status=204)

    async def origins(self, http):
        """Accept what began streams of another instance."""
        entries = decoding.decode(await http.read(), list[origins.Entry])
        self._replicator.receive(entries)
        return _json(None)

    async def stored_origins(self, http):
        """Write what began streams of another instance of the zone."""
        groups = decoding.decode(await http.read(), list[stored.Group])
        self._stored_origins.receive(groups)
        return _json(None)

    async def origin(self, http):
        """Return what this instance knows of the origin of a stream."""
        question = decoding.decode(await http.read(), lookup.Question)
        return _json(self._finder.answer(question))

    async def engine_load(self, http):
        """Accept what another instance has at engines; return the others'."""
        return _json(self._load_sharing.receive(await http.read()))

    async def metrics(self, _http):
        """Return all metrics."""
        return web.Response(
            body=self._metrics.render(), content_type="text/plain"
        )

    async def status(self, _http):
        """Return the status of this instance."""
        return _json(self._status())


@web.middleware
async def reject_malformed(http, handler):
    """Answer 400 to what is no message of another instance."""
    try:
        return await handler(http)
    except (msgspec.MsgspecError, web.RequestPayloadError) as err:
        raise web.HTTPBadRequest(text="malformed message") from err
    except bodies.BodyTooLargeError as err:
        raise web.HTTPRequestEntityTooLarge(
            bodies.MAX_BODY_BYTES, http.content_length
        ) from err


def _query(http, name):
    """Return a parameter of a request's address."""
    try:
        return http.query[name]
    except KeyError as err:
        raise web.HTTPBadRequest(text=f"no {name!r} in the query") from err


def _json(document):
    return web.Response(
        body=msgspec.json.encode(document), content_type="application/json"
    )


def _export_gauges(core):
    """Export the ages of tables and the number of dropped log lines."""
    catalog = core.part("catalog")
    metrics = core.part("gateway_metrics")
    for table in catalog.tables:
        metrics.export_age(
            table, lambda table=table: catalog.age(table, core.clock())
        )
    metrics.export_store_era(lambda: catalog.store_era)
    for zone in core.settings.zones:
        metrics.export_evacuation(
            zone,
            lambda zone=zone: catalog.evacuations.ages(core.clock()).get(
                zone, 0.0
            ),
        )
    metrics.export_cold_endpoints(lambda: catalog.count_cold(core.clock()))
    reachability = core.part("reachability")
    metrics.export_unreached_endpoints(
        lambda: len(reachability.unreached(core.clock()))
    )
    metrics.export_cut_off(lambda: reachability.is_cut_off)
    dropped = core.part("journal").dropped
    metrics.export_dropped(lambda: sum(dropped.values()))


@kernel.plugin(
    "inner",
    needs=(
        "buffers",
        "call_server",
        "catalog",
        "stages",
        "gateway_metrics",
        "findings",
        "following",
        "handler",
        "journal",
        "limiter",
        "link_checker",
        "load_sharing",
        "peers",
        "reachability",
        "reading",
        "registering",
        "relay",
        "resumption",
        "staleness",
    ),
)
async def control(core):
    """Add the handlers to the control address."""

    def status():
        catalog = core.part("catalog")
        load_sharing = core.part("load_sharing")
        configuration = catalog.configuration
        now = core.clock()
        return {
            "instance": core.settings.instance,
            "version": configuration.version if configuration else None,
            "ready": catalog.is_ready
            and not core.tasks.failing(now)
            and not core.stopping.is_set(),
            "failing_tasks": sorted(core.tasks.failing(now)),
            "in_flight": core.part("handler").in_flight,
            "held_bytes": core.part("buffers").sizes(),
            "peers": sorted(catalog.peers),
            "evacuated_s": {
                zone: round(age_s, 2)
                for zone, age_s in catalog.evacuations.ages(now).items()
            },
            "reader": core.part("reading").reader(now),
            "store_era": catalog.store_era,
            "engine_load_collector": load_sharing.collector(now),
            "engine_load_age_s": round(min(1e6, load_sharing.age_s(now)), 2),
            "settings_age_s": round(min(1e6, catalog.age("settings", now)), 2),
            "endpoints_age_s": round(
                min(1e6, catalog.age("endpoints", now)), 2
            ),
        }

    handlers = ControlHandlers(
        catalog=core.part("catalog"),
        watch_server=core.part("relay"),
        exchange=core.part("findings"),
        limiter=core.part("limiter"),
        stages=core.part("stages"),
        call_server=core.part("call_server"),
        finder=core.part("resumption").finder,
        replicator=core.part("resumption").replicator,
        stored_origins=core.part("resumption").stored_origins,
        load_sharing=core.part("load_sharing"),
        metrics=core.part("gateway_metrics"),
        clock=core.clock,
        status=status,
    )
    _export_gauges(core)
    core.control.middlewares.append(reject_malformed)
    core.control.router.add_get(following.PATH, handlers.table_update)
    core.control.router.add_post(relay.PATH, handlers.watch)
    core.control.router.add_post(exchanges.PATH, handlers.findings)
    core.control.router.add_post(
        exchanges.COMPARE_PATH, handlers.compare_findings
    )
    core.control.router.add_post(limiting.PATH, handlers.permit)
    core.control.router.add_post(indirect.PATH, handlers.call)
    core.control.router.add_post(delegation.RUN_PATH, handlers.run)
    core.control.router.add_post(delegation.FREE_PATH, handlers.free)
    core.control.router.add_post(replication.PATH, handlers.origins)
    core.control.router.add_post(lookup.PATH, handlers.origin)
    core.control.router.add_post(stored.PATH, handlers.stored_origins)
    core.control.router.add_post(load_messages.PATH, handlers.engine_load)
    core.control.router.add_get("/metrics", handlers.metrics)
    core.control.router.add_get("/control/status", handlers.status)
    yield handlers
