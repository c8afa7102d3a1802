"""The operators' interface, on the control address."""

from aiohttp import web
import msgspec

from sycamoreshed.config import schema
from sycamoreshed.entry import problems
from sycamoreshed.errors import kinds
from sycamoreshed import exceptions
from sycamoreshed.kernel import kernel
from sycamoreshed.settings import checking

__all__ = ["Operators"]


class Operators:
    """Handlers of the operators' interface."""

    def __init__(self, *, core):
        self._core = core
        self._notes = core.part("notes")
        self._admission = core.part("admission")
        self._gossip = core.part("gossip")
        self._membership = core.part("membership")

    def routes(self):
        """Return the routes of the interface."""
        return [
            web.get("/control/status", self.status),
            web.post("/control/drain", self.drain),
            web.post("/control/notes", self.accept),
        ]

    async def status(self, _http):
        """Tell what this instance is and runs."""
        settings = self._core.settings
        live = self._membership.live_instances(self._core.clock())
        return web.json_response(
            {
                "instance": settings.instance,
                "region": settings.region,
                "zone": settings.zone,
                "version": self._notes.config.version,
                "in_flight": self._admission.in_flight,
                "stopping": self._core.stopping.is_set(),
                "live": live._asdict(),
            }
        )

    async def drain(self, _http):
        """Begin a graceful shutdown; peers hear of it at once."""
        self._gossip.leave()
        self._core.stopping.set()
        return web.json_response({"stopping": True})

    async def accept(self, http):
        """Accept a release note."""
        raw = await http.read()
        try:
            document = msgspec.json.decode(raw)
            note = checking.convert(document, schema.Note, source="note")
        except (exceptions.CheckError, msgspec.DecodeError) as err:
            failure = kinds.Failure(kinds.Kind.NOTE_INVALID, str(err))
            return problems.response(failure)
        result = await self._notes.accept(note)
        if isinstance(result, kinds.Failure):
            return problems.response(result)
        return web.json_response({"accepted": note["id"], "version": result})


@kernel.plugin(
    "operators", needs=("admission", "gossip", "membership", "notes")
)
async def operators(core):
    """Provide the operators' interface."""
    part = Operators(core=core)
    core.control.add_routes(part.routes())
    yield part
