"""Distribution of accepted notes to all instances.

Each gossip message carries the sender's current version; an instance that
receives a higher one fetches it from that peer at once.  A few instances
of each zone poll the table frequently, the others rarely.
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
from sycamoreshed.notes import notes as notes_module
from sycamoreshed.notes import rows

__all__ = ["ConfigSync"]

POLLERS_PER_ZONE = 2
FREQUENT_POLL_S = 1.0
INFREQUENT_POLL_S = 30.0
FETCH_TIMEOUT_S = 2.0
# A starting instance waits up to this long to synchronize with a peer before
# it becomes ready: reads of the table may be stale, and a peer may have a
# newer version.
INITIAL_SYNC_TIMEOUT_S = 2.0


class _Announcement(typing.NamedTuple):
    """The version to fetch, and the peer that announced it."""

    version: int
    peer: str


class ConfigSync:
    """Keeps the configuration of this instance up to date.

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
        self._control_bytes = metrics.control_bytes.labels("notes")
        self._clock = clock
        self._spawn = spawn
        self._is_fetching = False
        self._announcement = _Announcement(0, "")
        self._initial_sync_done = asyncio.Event()
        notes.on_change(gossip.wake)
        gossip.add_field(
            "version", write=self._own_version, read=self._on_version
        )

    async def poll(self):
        """Poll the table for new notes."""
        while True:
            seconds = (
                FREQUENT_POLL_S if self._is_poller() else INFREQUENT_POLL_S
            )
            failure = await self._notes.catch_up()
            if failure is not None:
                # Back off while the table is unavailable.
                seconds = max(seconds, 2 * FREQUENT_POLL_S)
            await asyncio.sleep(seconds * random.uniform(0.8, 1.2))

    async def wait_for_peer(self):
        """Mark as synced after a first sync with a peer, or a timeout."""
        if self._gossip.has_seeds:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self._initial_sync_done.wait(), INITIAL_SYNC_TIMEOUT_S
                )
        self._notes.mark_synced()

    def _is_poller(self):
        zone = self._settings.zone
        names = [
            item.name
            for item in self._gossip.view.alive_in_zone(self._clock())
        ]
        pollers = rendezvous.top(f"poll {zone}", names, POLLERS_PER_ZONE)
        return self._settings.instance in pollers or not names

    def _own_version(self, _name, _now):
        return self._notes.config.version

    def _on_version(self, version, name, _now):
        if version <= self._notes.config.version:
            self._initial_sync_done.set()
            return
        # Without a fetch in progress, even a lower version replaces the
        # last announcement: its sender is reachable, while the earlier
        # peer, from which the fetch failed, may be gone.
        if not self._is_fetching or version > self._announcement.version:
            self._announcement = _Announcement(version, name)
        if not self._is_fetching:
            self._is_fetching = True
            self._spawn(self._fetch_updates(), name="pull notes")

    async def _fetch_updates(self):
        """Fetch newer notes from a peer and apply them.

        Notes
        -----
        A newer version may be announced while an earlier one is being
        fetched.  If it were ignored, it would be fetched only on the next
        message, seconds later; the highest version announced is
        therefore compared again after each fetch.
        """
        try:
            while await self._fetch_once():
                pass
        finally:
            self._is_fetching = False
            self._initial_sync_done.set()

    async def _fetch_once(self):
        """Fetch once; return whether this made progress and more remains."""
        before = self._notes.config.version
        address = self._gossip.address_of(self._announcement.peer)
        if address is None:
            return False
        await self._fetch_notes(address)
        return before < self._notes.config.version < self._announcement.version

    async def _fetch_notes(self, address):
        version = self._notes.config.version
        body = await self._get(address, f"/control/notes?after={version}")
        if body is None:
            return
        try:
            if "notes" not in body:
                await self._fetch_config(address, body["version"])
                return
            accepted = msgspec.convert(body["notes"], list[rows.AcceptedNote])
        except msgspec.ValidationError:
            return
        for new_version, item in enumerate(accepted, version + 1):
            self._notes.advance(new_version, item)

    async def _fetch_config(self, address, version):
        """Fetch a full configuration in parts.

        Notes
        -----
        If the peer moves to a newer version in between, it rejects
        requests for the remaining parts, so that parts of two versions
        are never mixed; its next message starts the fetch again.
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
            self._session, "GET", address, path, timeout=FETCH_TIMEOUT_S
        )
        if isinstance(reply, kinds.Failure) or reply.status != 200:
            return None
        self._control_bytes.inc(reply.size)
        return reply.body


@kernel.plugin(
    "notes", needs=("gossip", "metrics", "snapshots", "table", "web")
)
async def notes(core):
    """Provide the current configuration and keep it up to date."""
    current_notes = notes_module.Notes(
        table=core.part("table"), snapshots=core.part("snapshots")
    )
    config_sync = ConfigSync(
        settings=core.settings,
        notes=current_notes,
        gossip=core.part("gossip"),
        session=core.part("web"),
        metrics=core.part("metrics"),
        clock=core.clock,
        spawn=core.spawn,
    )
    await current_notes.load()
    core.keep_running(config_sync.poll, name="notes")
    core.spawn(config_sync.wait_for_peer(), name="settle notes")
    yield current_notes
