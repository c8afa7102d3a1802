"""Writes accepted notes again that the table service has lost."""

import asyncio
import random

from loguru import logger

from sycamoreshed.adapters import table as tables
from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel
from sycamoreshed.notes import notes as notes_module
from sycamoreshed.notes import rows

__all__ = ["NoteRewriter", "accepted_writes"]

RETRY_S = (0.2, 1.0)
# Delays between further checks: a note may have come into force meanwhile
# that was withdrawn, or written before its writer heard of the new era.
CHECKS_S = (2.0, 4.0)


def accepted_writes(version, accepted):
    """Return the writes that record an accepted note.

    Parameters
    ----------
    version : int
        The version that the note creates.
    accepted : AcceptedNote
    """
    note_id = accepted["note"]["id"]
    return (
        tables.Write(rows.note_key(version), accepted, tables.ABSENT),
        tables.Write(
            rows.id_key(note_id), {"version": version}, tables.ABSENT
        ),
    )


class NoteRewriter:
    """Writes the notes that this instance has and the table lacks.

    All instances do so; a note that another one has written is left as it
    is.

    Parameters
    ----------
    table : Table
    notes : Notes
    spawn : callable
        Runs a coroutine in the background.
    """

    def __init__(self, *, table, notes, spawn):
        self._table = table
        self._notes = notes
        self._spawn = spawn
        self._is_running = False
        table.on_restored(self._on_restored)

    def _on_restored(self):
        if not self._is_running:
            self._is_running = True
            self._spawn(self._run(), name="write notes again")

    async def _run(self):
        try:
            for delay_s in (0.0, *CHECKS_S):
                await asyncio.sleep(delay_s)
                while not await self._write_missing():
                    await asyncio.sleep(random.uniform(*RETRY_S))
        finally:
            self._is_running = False

    async def _write_missing(self):
        """Write what is missing; return whether that is all."""
        recent = dict(self._notes.recent)
        if not recent:
            return True
        page = await self._table.scan(
            rows.NOTE_PREFIX,
            after=rows.note_key(min(recent) - 1),
            limit=notes_module.PAGE_SIZE,
        )
        if isinstance(page, kinds.Failure):
            return False
        present = {rows.version_of(row.key) for row in page}
        for version in sorted(recent.keys() - present):
            result = await self._table.write(
                *accepted_writes(version, recent[version])
            )
            if isinstance(result, kinds.Failure):
                return False
            if isinstance(result, tables.Conflict):
                self._log_conflict(version, recent[version], result)
                continue
            logger.bind(version=version).warning("note written again")
        return True

    def _log_conflict(self, version, accepted, conflict):
        """Log a conflict unless another instance wrote the same note."""
        for row in conflict.rows:
            is_same = row.value in (accepted, {"version": version}, None)
            if not is_same:
                logger.bind(version=version, key=row.key).error(
                    "an accepted note is lost: its row holds another one"
                )


@kernel.plugin("note_rewriter", needs=("notes", "table"))
async def note_rewriter(core):
    """Write notes again that the table service loses."""
    yield NoteRewriter(
        table=core.part("table"), notes=core.part("notes"), spawn=core.spawn
    )
