"""How accepted notes reach every instance.

Peers tell each other the version in force with each message; who hears of
a higher one fetches it from that peer at once.  The table is asked often
by a few instances of each zone and seldom by the rest.
"""

import asyncio
import contextlib
import random
import typing

import msgspec

from sycamoreshed.adapters import web
from sycamoreshed.config import state
from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel
from sycamoreshed.membership import rendezvous
from sycamoreshed.notes import notes as following
from sycamoreshed.notes import rows

__all__ = ["ConfigSync"]

POLLERS = 2
OFTEN_S = 1.0
SELDOM_S = 30.0
PULL_S = 2.0
# A starting instance waits this long for a peer's answer before it is
# ready: the table may answer with what was, and a peer knows better.
INITIAL_SYNC_TIMEOUT_S = 2.0


class _Heard(typing.NamedTuple):
    """A version that is fetched, and the peer that told of it."""

    version: int
    peer: str


class ConfigSync:
    """Keeps the configuration in force up to date.

    Parameters
    ----------
    settings : Settings
    notes : Notes
    gossip : Gossip
    session : aiohttp.ClientSession
    metrics : Metrics
    clock : callable
    spawn : callable
    """

    def __init__(
        self, *, settings, notes, gossip, session, metrics, clock, spawn
    ):
        self._settings = settings
        self._notes = notes
        self._gossip = gossip
        self._session = session
        self._bytes = metrics.control_bytes.labels("notes")
        self._clock = clock
        self._spawn = spawn
        self._pulling = False
        self._heard = _Heard(0, "")
        self._told = asyncio.Event()
        notes.on_change(gossip.wake)
        gossip.hang("version", write=self._write, read=self._read)

    async def poll(self):
        """Ask the table again and again."""
        while True:
            seconds = OFTEN_S if self._is_poller() else SELDOM_S
            failure = await self._notes.follow()
            if failure is not None:
                seconds = max(seconds, 2 * OFTEN_S)
            await asyncio.sleep(seconds * random.uniform(0.8, 1.2))

    async def settle(self):
        """Let the instance be ready once a peer was heard, or none is."""
        if self._gossip.has_seeds:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self._told.wait(), INITIAL_SYNC_TIMEOUT_S
                )
        self._notes.settle()

    def _is_poller(self):
        zone = self._settings.zone
        names = [item.name for item in self._gossip.view.near(self._clock())]
        chosen = rendezvous.top(f"poll {zone}", names, POLLERS)
        return self._settings.instance in chosen or not names

    def _write(self, _name, _now):
        return self._notes.config.version

    def _read(self, version, name, _now):
        if version <= self._notes.config.version:
            self._told.set()
            return
        # Who tells it now can be reached; whoever told more before, and
        # could not be fetched from, may be gone.
        if not self._pulling or version > self._heard.version:
            self._heard = _Heard(version, name)
        if not self._pulling:
            self._pulling = True
            self._spawn(self._pull(), name="pull notes")

    async def _pull(self):
        """Fetch what is newer from a peer and bring it into force.

        Notes
        -----
        Of a note that is accepted while an earlier one is fetched one
        may hear meanwhile.  Forgotten then, it would come with the next
        message only, seconds later; so what was heard last is compared
        again after each fetch.
        """
        try:
            while await self._come_closer():
                pass
        finally:
            self._pulling = False
            self._told.set()

    async def _come_closer(self):
        """Fetch once; return whether there is more, and it went well."""
        before = self._notes.config.version
        address = self._gossip.address_of(self._heard.peer)
        if address is None:
            return False
        await self._fetch(address)
        return before < self._notes.config.version < self._heard.version

    async def _fetch(self, address):
        version = self._notes.config.version
        body = await self._get(address, f"/control/notes?after={version}")
        if body is None:
            return
        try:
            if "notes" not in body:
                await self._fetch_whole(address, body["version"])
                return
            accepted = msgspec.convert(body["notes"], list[rows.Accepted])
        except msgspec.ValidationError:
            return
        for number, item in enumerate(accepted, version + 1):
            self._notes.advance(number, item)

    async def _fetch_whole(self, address, version):
        """Fetch a configuration in parts.

        Notes
        -----
        If the peer comes to a newer version in between, its parts are of
        two versions; it then refuses, and its next message starts this
        again.
        """
        parts = []
        while not parts or len(parts) < parts[0]["parts"]:
            path = f"/control/config?version={version}&part={len(parts)}"
            body = await self._get(address, path)
            if body is None:
                return
            parts.append(state.check_part(body))
        self._notes.replace(state.join_parts(parts))

    async def _get(self, address, path):
        reply = await web.fetch(
            self._session, "GET", address, path, timeout=PULL_S
        )
        if isinstance(reply, kinds.Failure) or reply.status != 200:
            return None
        self._bytes.inc(reply.size)
        return reply.body


@kernel.plugin(
    "notes", needs=("gossip", "metrics", "snapshots", "table", "web")
)
async def notes(core):
    """Provide the configuration in force, and follow accepted notes."""
    part = following.Notes(
        table=core.part("table"), snapshots=core.part("snapshots")
    )
    config_sync = ConfigSync(
        settings=core.settings,
        notes=part,
        gossip=core.part("gossip"),
        session=core.part("web"),
        metrics=core.part("metrics"),
        clock=core.clock,
        spawn=core.spawn,
    )
    await part.load()
    core.spawn(config_sync.poll(), name="notes")
    core.spawn(config_sync.settle(), name="settle notes")
    yield part
