"""Fetching notes from peers, without a network."""

import asyncio

from sycamoreshed.adapters import web
from sycamoreshed.notes import notes as following
from sycamoreshed.notes import rows
from sycamoreshed.notes import sync
from sycamoreshed.notes.tests import test_acceptance
from sycamoreshed.observe import metrics
from testkit import virtualtime

FETCH_S = 0.2


class Peers:
    """Stands in for the exchange; `hear` tells of a version."""

    has_seeds = True

    def __init__(self):
        self.hear = None

    def hang(self, _name, *, write, read):
        """Take in who reads the versions that peers tell."""
        self.hear = read

    def wake(self):
        """Do nothing: nobody is told."""

    def address_of(self, name):
        """Return the address of a peer."""
        return None if name == "gone" else f"{name}:1"


def accepted(version):
    """Return the note that makes a version, as a peer sends it."""
    note = test_acceptance.team_note(version - 1, f"t{version}")
    return rows.Accepted(note=note, at=0.0)


async def told(monkeypatch, events, *, seconds):
    """Hear of versions; return the version in force at the end.

    Parameters
    ----------
    events : list of (float, int, str)
        When which version is told, by whom.  A peer has each version
        from the moment on at which it is told.
    """
    loop = asyncio.get_running_loop()
    notes = following.Notes(table=None, snapshots=None)
    peers = Peers()
    sync.ConfigSync(
        settings=None,
        notes=notes,
        gossip=peers,
        session=None,
        metrics=metrics.Metrics(),
        clock=loop.time,
        spawn=lambda coro, name: asyncio.create_task(coro, name=name),
    )

    async def fetch(_session, _method, _address, path, *, timeout):
        own = int(path.rpartition("=")[2])
        newest = max(v for at, v, _ in events if at <= loop.time())
        await asyncio.sleep(FETCH_S)
        found = [accepted(v) for v in range(own + 1, newest + 1)]
        return web.Reply(200, {"version": newest, "notes": found}, 100)

    monkeypatch.setattr(web, "fetch", fetch)
    for at, version, peer in events:
        loop.call_at(at, peers.hear, version, peer, at)
    await asyncio.sleep(seconds)
    return notes.config.version


def test_what_is_heard_during_a_fetch_is_fetched_too(monkeypatch):
    """Two notes are accepted one just after the other.

    An instance hears of the second while it fetches the first.  It forgot
    about it until the next message, seconds later, and routed to an
    endpoint that the second note had withdrawn.
    """
    events = [(1.0, 1, "near"), (1.1, 2, "near")]
    seconds = 1.0 + 2 * FETCH_S + 0.1
    version = virtualtime.run(told(monkeypatch, events, seconds=seconds))
    assert version == 2


def test_who_tells_last_is_asked(monkeypatch):
    """The peer that told of the newest version is gone when it is asked."""
    events = [(1.0, 2, "gone"), (1.2, 2, "near")]
    version = virtualtime.run(told(monkeypatch, events, seconds=1.5))
    assert version == 2
