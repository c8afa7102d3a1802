"""Fetching of notes from peers, without a network."""

import asyncio

from sycamoreshed.adapters import web
from sycamoreshed.notes import notes as notes_module
from sycamoreshed.notes import rows
from sycamoreshed.notes import sync
from sycamoreshed.notes.tests import test_acceptance
from sycamoreshed.observe import metrics
from testkit import virtualtime

FETCH_S = 0.2


class FakeGossip:
    """Fake of the gossip service; `announce` delivers a version."""

    has_seeds = True

    def __init__(self):
        self.announce = None

    def add_field(self, _name, *, write, read):
        """Store the callback for the versions that peers announce."""
        self.announce = read

    def wake(self):
        """Do nothing; there are no peers to notify."""

    def address_of(self, name):
        """Return the address of a peer."""
        return None if name == "gone" else f"{name}:1"


def accepted(version):
    """Return the accepted note that creates a version, as a peer sends it."""
    note = test_acceptance.team_note(version - 1, f"t{version}")
    return rows.AcceptedNote(note=note, at=0.0)


async def final_version(monkeypatch, events, *, seconds):
    """Deliver announcements and return the final version.

    Parameters
    ----------
    events : list of (float, int, str)
        Time, version and peer of each announcement.  Peers have a
        version from the time of its announcement on.
    """
    loop = asyncio.get_running_loop()
    notes = notes_module.Notes(table=None, snapshots=None)
    gossip = FakeGossip()
    sync.ConfigSync(
        settings=None,
        notes=notes,
        gossip=gossip,
        session=None,
        metrics=metrics.Metrics(),
        clock=loop.time,
        spawn=lambda coro, name: asyncio.create_task(coro, name=name),
    )

    async def fetch(_session, _method, _address, path, *, timeout):
        after = int(path.rpartition("=")[2])
        newest = max(v for at, v, _ in events if at <= loop.time())
        await asyncio.sleep(FETCH_S)
        updates = [accepted(v) for v in range(after + 1, newest + 1)]
        return web.Reply(200, {"version": newest, "notes": updates}, 100)

    monkeypatch.setattr(web, "fetch", fetch)
    for at, version, peer in events:
        loop.call_at(at, gossip.announce, version, peer, at)
    await asyncio.sleep(seconds)
    return notes.config.version


def test_version_announced_during_a_fetch_is_fetched_too(monkeypatch):
    """Two notes are accepted in quick succession.

    The second is announced while the first is being fetched.  If that
    announcement is dropped, the instance learns of the note only with the
    next message, seconds later, and meanwhile routes to an endpoint that
    the note has withdrawn.
    """
    events = [(1.0, 1, "near"), (1.1, 2, "near")]
    seconds = 1.0 + 2 * FETCH_S + 0.1
    version = virtualtime.run(
        final_version(monkeypatch, events, seconds=seconds)
    )
    assert version == 2


def test_fetch_uses_the_last_peer_to_announce(monkeypatch):
    """The first peer to announce the version is gone when it is asked."""
    events = [(1.0, 2, "gone"), (1.2, 2, "near")]
    version = virtualtime.run(final_version(monkeypatch, events, seconds=1.5))
    assert version == 2
