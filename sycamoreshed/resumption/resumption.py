"""Decides which engines may go on with a stream that a caller takes up."""

import functools

from sycamoreshed.adapters import web
from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel
from sycamoreshed.resumption import holders
from sycamoreshed.resumption import lookup
from sycamoreshed.resumption import origins
from sycamoreshed.resumption import replication
from sycamoreshed.resumption import stored
from sycamoreshed.resumption import versions

__all__ = ["Resumption"]

# Labels of what knew an origin: this instance, another one, the store, or
# nobody.
OWN = "own"
PEER = "peer"
ONLY_VERSION = "only version"
UNKNOWN = "unknown"


class Resumption:
    """Binds requests that go on with a stream to what began it.

    Parameters
    ----------
    own : str
        Name of this instance.
    catalog : Catalog
    history : VersionHistory
    finder : Finder
    replicator : Replicator
    stored_origins : StoredOrigins
    confirmation : Confirmation
        Of the copies that name software versions.
    metrics : GatewayMetrics
    journal : Journal
    clock : callable

    Attributes
    ----------
    finder : Finder
    replicator : Replicator
    stored_origins : StoredOrigins
        Answer and accept what other instances ask for and tell.
    """

    def __init__(
        self,
        *,
        own,
        catalog,
        history,
        finder,
        replicator,
        stored_origins,
        confirmation,
        metrics,
        journal,
        clock,
    ):
        self._own = own
        self._catalog = catalog
        self._history = history
        self._confirmation = confirmation
        self._metrics = metrics
        self.finder = finder
        self.replicator = replicator
        self.stored_origins = stored_origins
        self._journal = journal
        self._clock = clock

    def preferred_versions(self, request, now):
        """Return the software versions at which a stream should begin.

        Parameters
        ----------
        request : Request
        now : float

        Returns
        -------
        list of str
            Empty if it may begin at any, or the request begins none.
        """
        if not request.route.resumable or _goes_on(request):
            return []
        listed = self._history.stored(request.service, now)
        stream = origins.stream_key(request.id)
        if len(listed) > 1 and not self.replicator.can_record(stream, now):
            return listed[:1]
        serving = self._catalog.software_versions(request.service, now)
        return [] if serving.issubset(listed) else listed

    async def record_first_event(self, request, origin):
        """Record what began a stream, if its caller may take it up.

        Returns
        -------
        bool
            Whether the event may be passed on.
        """
        if not request.route.resumable:
            return True
        stream = request.head.resumes if _goes_on(request) else request.id
        if stream is None:
            return True
        return await self.replicator.record(
            origins.stream_key(stream),
            origin,
            is_ambiguous=len(request.route.services) > 1,
            is_new=not _goes_on(request),
        )

    async def bind(self, request):
        """Return a request that only the right engines get, or a `Failure`.

        Parameters
        ----------
        request : Request

        Returns
        -------
        Request or Failure
            The same request if it begins a stream or is none.  A failure if
            nobody knows what began the stream, and more than one version or
            service could have: a guess could join what two versions wrote.
        """
        head, route = request.head, request.route
        if not route.streaming or not _goes_on(request):
            return request
        service = None
        if len(self._services(route)) == 1 == len(route.services):
            service = request.service
        found = kinds.Failure(kinds.Kind.REFUSED, "no request is named")
        if head.resumes is not None:
            found = await self.finder.find(
                lookup.Question(origins.stream_key(head.resumes), service)
            )
        if (
            isinstance(found, kinds.Failure)
            and found.kind is kinds.Kind.REFUSED
            and service is not None
        ):
            found = await self._only_origin(service, found)
        self._record(request, found)
        if isinstance(found, kinds.Failure):
            return _rejected(
                f"what began the stream is not known: {found.reason}"
            )
        origin = found.origin
        if origin.service not in {name for name, _ in self._services(route)}:
            return _rejected(f"the route left the service {origin.service}")
        return request._replace(service=origin.service, origin=origin)

    def _services(self, route):
        """Return services and weights by the configuration in force."""
        current = self._catalog.routes.named(route.name)
        return (current or route).services

    async def _only_origin(self, service, failure):
        """Return the only origin that a stream can have, or the failure.

        An instance that reaches no others may have missed that engines of
        another version came, at which one of them began the stream.
        """
        if not await self._confirmation.confirm():
            return failure
        self._history.load()
        listed = self._history.of_service(service, self._clock())
        if len(listed) != 1:
            return failure
        (version,) = listed
        return lookup.Found(origins.Origin(service, version), ONLY_VERSION)

    def _record(self, request, found):
        self._metrics.record_taken_up(self._label(found))
        is_known = isinstance(found, lookup.Found)
        self._journal.write(
            "taken_up",
            request=request.id,
            resumes=request.head.resumes,
            after=request.head.last_event_id,
            service=found.origin.service if is_known else None,
            software_version=found.origin.software_version
            if is_known
            else None,
            source=found.source if is_known else found.reason,
        )

    def _label(self, found):
        if isinstance(found, kinds.Failure):
            return UNKNOWN
        if found.source in (lookup.MAJORITY, ONLY_VERSION):
            return found.source
        return OWN if found.source == self._own else PEER


def _goes_on(request):
    """Return whether a request goes on with an earlier one's stream."""
    return request.head.last_event_id is not None


def _rejected(reason):
    return kinds.Failure(
        kinds.Kind.NO_ENDPOINT,
        reason,
        sent=False,
        retry_after=kinds.ANSWERS[kinds.Kind.NO_ENDPOINT].retry_after,
    )


async def _send(core, control, path, body, timeout):
    reply = await web.fetch(
        core.part("web"), "POST", control, path, timeout=timeout, body=body
    )
    if isinstance(reply, kinds.Failure) or reply.status == 200:
        return reply
    return kinds.Failure(
        kinds.Kind.REFUSED, f"instance answered {reply.status}"
    )


async def _hand_over_on_stop(core, replicator):
    await core.stopping.wait()
    await replicator.hand_over()


@kernel.plugin(
    "version_history",
    needs=(
        "board",
        "catalog",
        "findings",
        "following",
        "journal",
        "peers",
        "stored_findings",
    ),
)
async def version_history(core):
    """Provide the `VersionHistory` of all services."""
    history = versions.VersionHistory(
        own=core.settings.instance,
        board=core.part("board"),
        catalog=core.part("catalog"),
        peers=core.part("peers"),
        publish=core.part("findings").publish,
        load=core.part("stored_findings").load,
        journal=core.part("journal"),
    )
    core.part("stored_findings").on_saved(
        versions.VERSIONS.name,
        lambda service, listed: history.record_stored(
            service, listed, core.clock(), core.unix_ms()
        ),
    )
    core.keep_running(
        functools.partial(history.run, core.clock, core.unix_ms),
        name="list software versions",
    )
    yield history


@kernel.plugin(
    "resumption",
    needs=(
        "catalog",
        "confirmation",
        "gateway_metrics",
        "journal",
        "peers",
        "platform",
        "version_history",
        "web",
    ),
)
async def resumption(core):
    """Provide the `Resumption` of streams."""
    own = core.settings.instance
    catalog = core.part("catalog")
    shared = {
        "own": own,
        "table": origins.OriginTable(),
        "history": core.part("version_history"),
        "holders": holders.Holders(own=own, catalog=catalog),
        "send": functools.partial(_send, core),
        "journal": core.part("journal"),
        "clock": core.clock,
    }
    stored_origins = stored.StoredOrigins(
        own=own,
        zone=core.settings.zone,
        table=shared["table"],
        history=shared["history"],
        peers=core.part("peers"),
        send=shared["send"],
        store=core.part("platform").store,
        store_table=core.part("platform").origins_table,
        journal=shared["journal"],
        clock=core.clock,
        unix_ms=core.unix_ms,
    )
    replicator = replication.Replicator(
        **shared,
        catalog=catalog,
        peers=core.part("peers"),
        stored=stored_origins,
        tasks=core.tasks,
    )
    core.keep_running(replicator.run, name="copy origins of streams")
    core.keep_running(stored_origins.run_sending, name="send origins to write")
    core.keep_running(stored_origins.run_writing, name="write origins")
    core.spawn(stored_origins.load_after_start(), name="read origins")
    core.spawn(_hand_over_on_stop(core, replicator), name="hand over origins")
    yield Resumption(
        own=own,
        catalog=catalog,
        history=shared["history"],
        finder=lookup.Finder(**shared),
        replicator=replicator,
        stored_origins=stored_origins,
        confirmation=core.part("confirmation"),
        metrics=core.part("gateway_metrics"),
        journal=shared["journal"],
        clock=core.clock,
    )
