"""HTTP interface to release notes, for operators and peers."""

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

VERSION_TIMEOUT_S = 1.0
MAX_CONCURRENT_QUERIES = 32
MAX_HISTORY = 1000


class NoteRoutes:
    """HTTP handlers for release notes on the control address."""

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
            web.get("/control/notes", self.updates),
            web.post("/control/notes", self.apply),
            web.post("/control/notes/check", self.check),
            web.get("/control/notes/history", self.history),
            web.get("/control/notes/show", self.show),
            web.get("/control/notes/status", self.status),
            web.get("/control/config", self.config_part),
            web.get("/control/version", self.version),
        ]

    async def updates(self, http):
        """Return the notes after a peer's version, or the full state."""
        after = int(http.query.get("after", "0"))
        return _json(self._notes.updates_since(after))

    async def config_part(self, http):
        """Return one part of the configuration in force to a peer."""
        config = self._notes.config
        number = int(http.query["part"])
        is_valid = 0 <= number < state.count_parts(config)
        if int(http.query["version"]) != config.version or not is_valid:
            raise web.HTTPConflict(text="another version is in force")
        return _json(state.document_part(config, number))

    async def version(self, _http):
        """Return the version in force on this instance."""
        return _json({"version": self._notes.config.version})

    async def apply(self, http):
        """Accept a release note."""
        note = await _read(http)
        if isinstance(note, kinds.Failure):
            return problems.response(note)
        verdict = await self._acceptor.accept(note)
        if verdict.failure is not None:
            return _rejection(verdict)
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
            return _rejection(verdict)
        return _json({"valid": note["id"], "would_make": verdict.version})

    async def history(self, http):
        """Return the most recently accepted notes."""
        limit = min(int(http.query.get("limit", "20")), MAX_HISTORY)
        notes = await self._history.latest(limit)
        if isinstance(notes, kinds.Failure):
            return problems.response(notes)
        return _json({"notes": notes})

    async def show(self, http):
        """Return the configuration of a version."""
        current = self._notes.config
        version = int(http.query.get("at", current.version))
        config = await self._history.config_at(version)
        if isinstance(config, kinds.Failure):
            return problems.response(config)
        return _json(state.document(config))

    async def status(self, http):
        """Return the version on each instance, and the outcome of a note.

        Notes
        -----
        Instances are queried on request.  Sending the versions of 410
        instances to all of them with every note would take more bytes
        than all other messages.
        """
        body = {"version": self._notes.config.version}
        note_id = http.query.get("id")
        if note_id is not None:
            verdict = await self._acceptor.find_accepted(note_id)
            if verdict.failure is not None:
                return _rejection(verdict)
            accepted = verdict.version is not None
            body["note"] = note_id
            body["outcome"] = "accepted" if accepted else "not accepted"
            body["accepted_as"] = verdict.version
        return _json({**body, **await self._fetch_versions()})

    async def _fetch_versions(self):
        alive = self._gossip.view.alive(self._core.clock())
        alive_names = {item.name for item in alive}
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_QUERIES)
        versions = await asyncio.gather(
            *[self._fetch_version(semaphore, i) for i in alive]
        )
        regions = {}
        for member, version in zip(alive, versions, strict=True):
            zones = regions.setdefault(member.region, {})
            zones.setdefault(member.zone, {})[member.name] = version
        unreachable = [
            item.name
            for item in self._gossip.view.known()
            if item.name not in alive_names
        ]
        return {"regions": regions, "out_of_reach": sorted(unreachable)}

    async def _fetch_version(self, semaphore, member):
        """Return the version in force on an instance, or None if unknown."""
        if member.name == self._settings.instance:
            return self._notes.config.version
        async with semaphore:
            reply = await client.fetch(
                self._session,
                "GET",
                member.address,
                "/control/version",
                timeout=VERSION_TIMEOUT_S,
            )
        if isinstance(reply, kinds.Failure) or reply.status != 200:
            return None
        return reply.body["version"]


async def _read(http):
    """Return the note in a request body, or Failure."""
    raw = await http.read()
    try:
        # In a thread, so that requests are served meanwhile: a note with
        # 35,000 teams takes long to check.
        return await asyncio.to_thread(
            checking.decode, raw, schema.Note, source="note"
        )
    except exceptions.CheckError as err:
        return kinds.Failure(kinds.Kind.NOTE_INVALID, str(err))


def _json(body):
    return web.Response(
        body=msgspec.json.encode(body), content_type="application/json"
    )


def _rejection(verdict):
    """Return the answer for a rejected note, with what it conflicts with."""
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
    """Provide the HTTP interface to release notes."""
    part = NoteRoutes(core=core)
    core.control.add_routes(part.routes())
    yield part
