"""Accepting a release note: one conditional write decides."""

import asyncio
import time
import typing

from sycamoreshed.adapters import table as tables
from sycamoreshed.config import changes
from sycamoreshed.config import state
from sycamoreshed.errors import kinds
from sycamoreshed import exceptions
from sycamoreshed.kernel import kernel
from sycamoreshed.notes import rows

__all__ = ["Acceptor", "Verdict"]

ATTEMPTS = 3
PAUSE_S = 0.1


class Verdict(typing.NamedTuple):
    """What became of a note.

    Parameters
    ----------
    version : int or None
        The version it made, if it was accepted.
    failure : Failure or None
    winner : Note or None
        The note that was accepted instead.
    differences : list of Difference
        Between the note and the winner.
    """

    version: int | None = None
    failure: kinds.Failure | None = None
    winner: dict | None = None
    differences: tuple = ()


class Acceptor:
    """Writes notes to the table.

    Parameters
    ----------
    table : Table
    notes : Notes
        Is told of every accepted note this learns.
    """

    def __init__(self, *, table, notes):
        self._table = table
        self._notes = notes

    async def accept(self, note):
        """Accept a note if it is written on the latest version.

        Returns
        -------
        Verdict

        Notes
        -----
        Applying a note again is harmless: its id is looked up first, and
        the id's row is written in the same transaction as the note.
        """
        failure = await self._notes.follow()
        if failure is not None:
            return _unknown(failure)
        earlier = await self._earlier(note)
        if earlier is not None:
            return earlier
        if note["base"] != self._notes.config.version:
            return await self._lost(note)
        verdict = self.check(note)
        if verdict.failure is not None:
            return verdict
        return await self._write(note)

    def check(self, note):
        """Check a note against the configuration in force.

        Returns
        -------
        Verdict
            With the version it would make.
        """
        config = self._notes.config
        if note["base"] != config.version:
            failure = kinds.Failure(
                kinds.Kind.NOTE_CONFLICT,
                f"written on version {note['base']}, "
                f"latest is {config.version}",
            )
            return Verdict(failure=failure)
        try:
            version = state.apply_note(config, note).version
        except exceptions.CheckError as err:
            return Verdict(
                failure=kinds.Failure(kinds.Kind.NOTE_INVALID, str(err))
            )
        return Verdict(version=version)

    async def find_accepted(self, note_id):
        """Tell what became of the note with this id.

        Returns
        -------
        Verdict
            With neither version nor failure if it was not accepted.
        """
        row = await self._table.read(rows.id_key(note_id))
        if isinstance(row, kinds.Failure):
            return _unknown(row)
        return Verdict(version=row.value and row.value["version"])

    async def _earlier(self, note):
        """Return the verdict on a note whose id is taken, or None."""
        verdict = await self.find_accepted(note["id"])
        if verdict.version is None:
            return verdict if verdict.failure else None
        row = await self._table.read(rows.note_key(verdict.version))
        if isinstance(row, kinds.Failure):
            return _unknown(row)
        if row.value is None or row.value["note"] == note:
            return verdict
        return _conflict(note, row.value["note"], verdict.version)

    async def _lost(self, note):
        version = note["base"] + 1
        row = await self._table.read(rows.note_key(version))
        if isinstance(row, kinds.Failure):
            return _unknown(row)
        if row.value is None:
            return Verdict(
                failure=kinds.Failure(
                    kinds.Kind.NOTE_CONFLICT,
                    f"written on version {note['base']}, "
                    f"latest is {self._notes.config.version}",
                )
            )
        return _conflict(note, row.value["note"], version)

    async def _write(self, note):
        """Write until it is certain what became of the note.

        Notes
        -----
        The answer to a write can be lost after the write took effect, or
        before it will.  Reading back alone would take the second for a
        refusal; so when nothing is found the same write is sent again:
        both are conditional on the same rows, and at most one holds.
        """
        version = note["base"] + 1
        accepted = rows.Accepted(note=note, at=time.time())
        writes = (
            tables.Write(rows.note_key(version), accepted, tables.ABSENT),
            tables.Write(
                rows.id_key(note["id"]), {"version": version}, tables.ABSENT
            ),
        )
        failure = None
        for attempt in range(ATTEMPTS):
            result = await self._table.write(*writes)
            if isinstance(result, tables.Written):
                self._notes.advance(version, accepted)
                return Verdict(version=version)
            if isinstance(result, tables.Conflict):
                await self._notes.follow()
                return await self._earlier(note) or await self._lost(note)
            failure = result
            earlier = await self._earlier(note)
            if earlier is not None and earlier.failure is None:
                self._notes.advance(version, accepted)
                return earlier
            await asyncio.sleep(PAUSE_S * (attempt + 1))
        return _unknown(failure)


def _unknown(failure):
    reason = (
        f"the store is away ({failure.reason}); "
        "unknown, ask again with `note status`"
    )
    return Verdict(
        failure=kinds.Failure(kinds.Kind.NOTE_UNKNOWN, reason, sent=True)
    )


def _conflict(note, winner, version):
    reason = (
        f"version {version} is note {winner['id']!r} of {winner['author']!r}"
    )
    if winner["id"] == note["id"]:
        reason += ", which has this id and another content"
    return Verdict(
        failure=kinds.Failure(kinds.Kind.NOTE_CONFLICT, reason),
        winner=winner,
        differences=changes.differences(note, winner),
    )


@kernel.plugin("acceptor", needs=("notes", "table"))
async def acceptor(core):
    """Provide the acceptance of notes."""
    yield Acceptor(table=core.part("table"), notes=core.part("notes"))
