"""Tests of accepted notes as the table comes back from an older copy."""

import asyncio

from sycamoreshed.errors import kinds
from sycamoreshed.notes import acceptance
from sycamoreshed.notes import notes
from sycamoreshed.notes import rewriting
from sycamoreshed.notes import rows
from sycamoreshed.notes import snapshots
from sycamoreshed.notes.tests import fakes
from testkit import builders


class Instance:
    """An instance that writes notes again as soon as it hears of an era."""

    def __init__(self, table):
        self.tasks = []
        self.notes = notes.Notes(
            table=table,
            snapshots=snapshots.Snapshots(
                table=table, objects=fakes.FakeObjects()
            ),
        )
        self.acceptor = acceptance.Acceptor(table=table, notes=self.notes)
        rewriting.NoteRewriter(
            table=table, notes=self.notes, spawn=self._spawn
        )

    def _spawn(self, coro, *, name):
        self.tasks.append(asyncio.ensure_future(coro))

    async def accept(self, base, name):
        """Accept a note that adds a team; return the verdict."""
        added = {"teams": {name: {"rate": 5}}}
        return await self.acceptor.accept(builders.note(base, added=added))


async def test_lost_note_is_written_again(monkeypatch):
    """An instance that starts later would have an older configuration."""
    monkeypatch.setattr(rewriting, "RETRY_S", (0.0, 0.0))
    monkeypatch.setattr(rewriting, "CHECKS_S", ())
    table = fakes.FakeTable()
    instance = Instance(table)
    await instance.accept(0, "kept")
    kept = dict(table.rows)
    await instance.accept(1, "lost")
    await instance.accept(2, "lost-too")
    table.restore(kept)
    table.faults = ["down", "ok", "lost", "stale"]
    await asyncio.gather(*instance.tasks)
    later = Instance(table)
    await later.notes.load()
    assert later.notes.config == instance.notes.config
    assert later.notes.config.version == 3
    # Its id is known again as well.
    assert rows.id_key("x") not in table.rows
    assert len(table.rows) == 6


async def test_note_is_written_again_by_one_of_many(monkeypatch):
    """All instances that have the note write it at the same time."""
    monkeypatch.setattr(rewriting, "RETRY_S", (0.0, 0.0))
    monkeypatch.setattr(rewriting, "CHECKS_S", ())
    table = fakes.FakeTable()
    first, second = Instance(table), Instance(table)
    await first.accept(0, "lost")
    await second.notes.catch_up()
    table.restore({})
    await asyncio.gather(*first.tasks, *second.tasks)
    assert len(table.rows) == 2


async def test_no_note_is_accepted_until_lost_ones_are_written_again():
    """An instance that is behind would accept one in place of a lost one."""
    table = fakes.FakeTable()
    behind = Instance(table)

    async def is_restored():
        return False

    behind.acceptor = acceptance.Acceptor(
        table=table, notes=behind.notes, is_restored=is_restored
    )
    verdict = await behind.accept(0, "other")
    assert verdict.failure.kind is kinds.Kind.NOTE_UNKNOWN
    assert not table.rows


async def test_note_whose_write_told_of_the_new_era_is_withdrawn(monkeypatch):
    """It may stand in place of one that was accepted and lost."""
    monkeypatch.setattr(rewriting, "CHECKS_S", ())

    class RestoringTable(fakes.FakeTable):
        async def write(self, *writes):
            if not self.era:
                self.restore({})
            return await super().write(*writes)

    table = RestoringTable()
    instance = Instance(table)
    verdict = await instance.accept(0, "other")
    await asyncio.gather(*instance.tasks)
    assert verdict.failure.kind is kinds.Kind.NOTE_UNKNOWN
    assert instance.notes.config.version == 0
    assert not table.rows


async def test_note_is_not_written_once_a_read_told_of_the_new_era():
    """Another instance took it over before it was withdrawn again."""

    class RestoredTable(fakes.FakeTable):
        async def scan(self, prefix, **options):
            if not self.era:
                self.restore({})
            return await super().scan(prefix, **options)

    table = RestoredTable()
    instance = Instance(table)
    verdict = await instance.accept(0, "other")
    assert verdict.failure.kind is kinds.Kind.NOTE_UNKNOWN
    assert "write" not in table.calls


async def test_note_that_came_into_force_meanwhile_is_written_again(
    monkeypatch,
):
    """It would be in force, but lost with the instances that have it."""
    monkeypatch.setattr(rewriting, "CHECKS_S", (0.0, 0.0))
    table = fakes.FakeTable()
    instance = Instance(table)
    table.restore({})
    taken = {"note": builders.note(0, added={"teams": {"t": {"rate": 5}}})}
    instance.notes.advance(1, {**taken, "at": 0.0})
    await asyncio.gather(*instance.tasks)
    assert rows.note_key(1) in table.rows
