"""The operators' and peers' interface to release notes."""

import asyncio

from aiohttp import web
import msgspec

from sycamoreshed.adapters import web as client
from sycamoreshed.config import schema
from sycamoreshed.config import state
from sycamoreshed.entry import problems
from sycamoreshed.errors import kinds
from sycamoreshed import exceptions
from sycamoreshed.kernel import kernel
from sycamoreshed.settings import checking

__all__ = ["NoteRoutes"]

ASK_S = 1.0
ASKED_AT_ONCE = 32
MOST_HISTORY = 1000


class NoteRoutes:
    """Handlers for release notes on the control address."""

    def __init__(self, *, core):
        self._core = core
        self._settings = core.settings
        self._notes = core.part("notes")
        self._acceptor = core.part("acceptor")
        self._history = core.part("note_history")
        self._snapshots = core.part("snapshots")
        self._gossip = core.part("gossip")
        self._session = core.part("web")

    def routes(self):
        """Return the routes of the interface."""
        return [
            web.get("/control/notes", self.since),
            web.post("/control/notes", self.apply),
            web.post("/control/notes/check", self.check),
            web.get("/control/notes/history", self.history),
            web.get("/control/notes/show", self.show),
            web.get("/control/notes/status", self.status),
            web.get("/control/config", self.part),
            web.get("/control/version", self.version),
        ]

    async def since(self, http):
        """Give a peer the notes after its version, or all of it."""
        after = int(http.query.get("after", "0"))
        return _json(self._notes.updates_since(after))

    async def part(self, http):
        """Give a peer one part of the configuration in force."""
        config = self._notes.config
        number = int(http.query["part"])
        is_there = 0 <= number < state.count_parts(config)
        if int(http.query["version"]) != config.version or not is_there:
            raise web.HTTPConflict(text="another version is in force")
        return _json(state.document_part(config, number))

    async def version(self, _http):
        """Tell the version in force here."""
        return _json({"version": self._notes.config.version})

    async def apply(self, http):
        """Accept a release note."""
        note = await _read(http)
        if isinstance(note, kinds.Failure):
            return problems.response(note)
        verdict = await self._acceptor.accept(note)
        if verdict.failure is not None:
            return _refuse(verdict)
        self._core.spawn(
            self._snapshots.maybe_store(self._notes.config),
            name="store snapshot",
        )
        return _json({"accepted": note["id"], "version": verdict.version})

    async def check(self, http):
        """Check a release note against the configuration in force."""
        note = await _read(http)
        if isinstance(note, kinds.Failure):
            return problems.response(note)
        verdict = self._acceptor.check(note)
        if verdict.failure is not None:
            return _refuse(verdict)
        return _json({"valid": note["id"], "would_make": verdict.version})

    async def history(self, http):
        """Tell the last accepted notes."""
        limit = min(int(http.query.get("limit", "20")), MOST_HISTORY)
        found = await self._history.latest(limit)
        if isinstance(found, kinds.Failure):
            return problems.response(found)
        return _json({"notes": found})

    async def show(self, http):
        """Give the configuration of a version."""
        current = self._notes.config
        version = int(http.query.get("at", current.version))
        config = await self._history.config_at(version)
        if isinstance(config, kinds.Failure):
            return problems.response(config)
        return _json(state.document(config))

    async def status(self, http):
        """Tell which version is in force where, and what became of a note.

        Notes
        -----
        Instances are asked when an operator asks.  Telling each version
        of 410 instances to all of them with every note would take more
        bytes than all other messages.
        """
        body = {"version": self._notes.config.version}
        note_id = http.query.get("id")
        if note_id is not None:
            verdict = await self._acceptor.find_accepted(note_id)
            if verdict.failure is not None:
                return _refuse(verdict)
            accepted = verdict.version is not None
            body["note"] = note_id
            body["outcome"] = "accepted" if accepted else "not accepted"
            body["accepted_as"] = verdict.version
        return _json({**body, **await self._versions()})

    async def _versions(self):
        alive = self._gossip.view.alive(self._core.clock())
        names = {item.name for item in alive}
        gate = asyncio.Semaphore(ASKED_AT_ONCE)
        found = await asyncio.gather(*[self._ask(gate, i) for i in alive])
        regions = {}
        for member, version in zip(alive, found, strict=True):
            zones = regions.setdefault(member.region, {})
            zones.setdefault(member.zone, {})[member.name] = version
        lost = [
            item.name
            for item in self._gossip.view.known()
            if item.name not in names
        ]
        return {"regions": regions, "out_of_reach": sorted(lost)}

    async def _ask(self, gate, member):
        """Return the version in force on an instance, None if unknown."""
        if member.name == self._settings.instance:
            return self._notes.config.version
        async with gate:
            reply = await client.fetch(
                self._session,
                "GET",
                member.address,
                "/control/version",
                timeout=ASK_S,
            )
        if isinstance(reply, kinds.Failure) or reply.status != 200:
            return None
        return reply.body["version"]


async def _read(http):
    """Return the note of a request, or Failure."""
    raw = await http.read()
    try:
        # A note of 35,000 teams takes long to check; requests go on
        # meanwhile.
        return await asyncio.to_thread(
            checking.decode, raw, schema.Note, source="note"
        )
    except exceptions.CheckError as err:
        return kinds.Failure(kinds.Kind.NOTE_INVALID, str(err))


def _json(body):
    return web.Response(
        body=msgspec.json.encode(body), content_type="application/json"
    )


def _refuse(verdict):
    """Return the answer of a refusal; it names the winner if any."""
    details = problems.document(verdict.failure)
    if verdict.winner is not None:
        details["winner"] = {
            "id": verdict.winner["id"],
            "author": verdict.winner["author"],
        }
        details["differs"] = [item._asdict() for item in verdict.differences]
    return web.Response(
        status=details["status"],
        body=msgspec.json.encode(details),
        content_type="application/problem+json",
        headers=problems.headers(verdict.failure),
    )


@kernel.plugin(
    "note_routes",
    needs=("acceptor", "gossip", "note_history", "notes", "snapshots", "web"),
)
async def note_routes(core):
    """Provide the interface to release notes."""
    part = NoteRoutes(core=core)
    core.control.add_routes(part.routes())
    yield part
