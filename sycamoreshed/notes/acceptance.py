"""Acceptance of release notes by a single conditional write."""

import asyncio
import time
import typing

from loguru import logger

from sycamoreshed.adapters import table as tables
from sycamoreshed.config import changes
from sycamoreshed.config import state
from sycamoreshed.errors import kinds
from sycamoreshed import exceptions
from sycamoreshed.kernel import kernel
from sycamoreshed.notes import rewriting
from sycamoreshed.notes import rows

__all__ = ["Acceptor", "Verdict"]

_BEING_RESTORED = kinds.Failure(
    kinds.Kind.STORE_AWAY, "it came back from an older copy"
)
MAX_ATTEMPTS = 3
RETRY_DELAY_S = 0.1


class Verdict(typing.NamedTuple):
    """The outcome of accepting, checking or looking up a note.

    Parameters
    ----------
    version : int or None
        The version that the note created, or would create (`check`).
    failure : Failure or None
    winner : Note or None
        The accepted note that it conflicts with.
    differences : sequence of Difference
        Between the note and the winner.
    """

    version: int | None = None
    failure: kinds.Failure | None = None
    winner: dict | None = None
    differences: tuple = ()


class Acceptor:
    """Validates notes and writes accepted ones to the table.

    Parameters
    ----------
    table : Table
    notes : Notes
        Holds the current configuration; accepted notes are applied to it.
    is_restored : coroutine function, optional
        Returns whether what the table may have lost has been written again.
    """

    def __init__(self, *, table, notes, is_restored=None):
        self._table = table
        self._notes = notes
        self._is_restored = is_restored

    async def accept(self, note):
        """Accept a note if it is based on the latest version.

        Returns
        -------
        Verdict

        Notes
        -----
        Acceptance is idempotent: the note's id is looked up before its
        base version is compared, and the row of the id is written in the
        same transaction as the note.

        After the table came back from an older copy, notes that were accepted
        are written again first: a note in place of a lost one would be a
        second history.
        """
        if self._is_restored is not None and not await self._is_restored():
            return _unknown_verdict(_BEING_RESTORED)
        era = self._table.era
        failure = await self._notes.catch_up()
        if failure is not None:
            return _unknown_verdict(failure)
        earlier = await self._earlier(note)
        if earlier is not None:
            return earlier
        if note["base"] != self._notes.config.version:
            return await self._outdated(note)
        verdict = self.check(note)
        if verdict.failure is not None:
            return verdict
        if self._table.era != era:
            # What was read may lack notes that are to be written again.
            return _unknown_verdict(_BEING_RESTORED)
        return await self._write(note, era)

    def check(self, note):
        """Validate a note against the current configuration.

        Returns
        -------
        Verdict
            With the version that the note would create.
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
        """Look up whether the note with this id was accepted.

        Returns
        -------
        Verdict
            With neither version nor failure if it was not accepted.
        """
        row = await self._table.read(rows.id_key(note_id))
        if isinstance(row, kinds.Failure):
            return _unknown_verdict(row)
        return Verdict(version=row.value and row.value["version"])

    async def _earlier(self, note):
        """Return the verdict on a note whose id is in use, or None.

        If the table cannot be read, the verdict is unknown.
        """
        verdict = await self.find_accepted(note["id"])
        if verdict.version is None:
            return verdict if verdict.failure else None
        row = await self._table.read(rows.note_key(verdict.version))
        if isinstance(row, kinds.Failure):
            return _unknown_verdict(row)
        # A deleted note can no longer be compared.
        if row.value is None or row.value["note"] == note:
            return verdict
        return _conflict_verdict(note, row.value["note"], verdict.version)

    async def _outdated(self, note):
        """Return the verdict on a note whose base version is outdated."""
        version = note["base"] + 1
        row = await self._table.read(rows.note_key(version))
        if isinstance(row, kinds.Failure):
            return _unknown_verdict(row)
        if row.value is None:
            return Verdict(
                failure=kinds.Failure(
                    kinds.Kind.NOTE_CONFLICT,
                    f"written on version {note['base']}, "
                    f"latest is {self._notes.config.version}",
                )
            )
        return _conflict_verdict(note, row.value["note"], version)

    async def _write(self, note, era):
        """Write a note; retry while its outcome is unknown.

        Notes
        -----
        A write whose response is lost may have taken effect already, or
        may do so later.  In the latter case, a read alone would suggest
        that the write had failed.  Unless the read finds the row, the
        same write is therefore sent again, up to `MAX_ATTEMPTS` times in
        all: all are conditional on the same rows, so at most one of them
        succeeds.
        """
        version = note["base"] + 1
        accepted = rows.AcceptedNote(note=note, at=time.time())
        writes = rewriting.accepted_writes(version, accepted)
        failure = None
        for attempt in range(MAX_ATTEMPTS):
            result = await self._table.write(*writes)
            if isinstance(result, tables.Written):
                if self._table.era != era:
                    return await self._withdraw(writes, result)
                self._notes.advance(version, accepted)
                return Verdict(version=version)
            if isinstance(result, tables.Conflict):
                # The conflict may be with an earlier attempt of this note.
                await self._notes.catch_up()
                return await self._earlier(note) or await self._outdated(note)
            failure = result
            earlier = await self._earlier(note)
            if earlier is not None and earlier.failure is None:
                self._notes.advance(version, accepted)
                return earlier
            await asyncio.sleep(RETRY_DELAY_S * (attempt + 1))
        return _unknown_verdict(failure)

    async def _withdraw(self, writes, written):
        """Remove a note that may be in place of one that the table lost."""
        result = await self._table.write(
            *(
                tables.Write(write.key, None, version)
                for write, version in zip(
                    writes, written.versions, strict=True
                )
            )
        )
        if not isinstance(result, tables.Written):
            logger.bind(note=writes[0].value["note"]["id"]).warning(
                "a note may take effect though its outcome is unknown"
            )
        return _unknown_verdict(_BEING_RESTORED)


def _unknown_verdict(failure):
    # Even if only a read failed, an earlier submission of the same note may
    # have been accepted.
    reason = (
        f"the store is away ({failure.reason}); "
        "unknown, ask again with `note status`"
    )
    return Verdict(
        failure=kinds.Failure(kinds.Kind.NOTE_UNKNOWN, reason, sent=True)
    )


def _conflict_verdict(note, winner, version):
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


@kernel.plugin("acceptor", needs=("losses", "note_rewriter", "table"))
async def acceptor(core):
    """Provide the acceptance of notes."""
    yield Acceptor(
        table=core.part("table"),
        notes=core.part("notes"),
        is_restored=core.part("losses").is_restored,
    )
