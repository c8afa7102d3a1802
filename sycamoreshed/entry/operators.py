"""HTTP interface for operators, on the control address."""

from aiohttp import web

from sycamoreshed.kernel import kernel

__all__ = ["Operators"]


class Operators:
    """HTTP handlers for operators."""

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
        ]

    async def status(self, _http):
        """Return identity, version and load of this instance."""
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
        """Start a graceful shutdown and announce it to peers at once."""
        self._gossip.leave()
        self._core.stopping.set()
        return web.json_response({"stopping": True})


@kernel.plugin(
    "operators", needs=("admission", "gossip", "membership", "notes")
)
async def operators(core):
    """Provide the HTTP interface for operators."""
    part = Operators(core=core)
    core.control.add_routes(part.routes())
    yield part
