"""Release notes: accepted by a conditional write, followed by reading."""

import asyncio

from loguru import logger

from sycamoreshed.adapters import table as tables
from sycamoreshed.config import state
from sycamoreshed.errors import kinds
from sycamoreshed import exceptions
from sycamoreshed.kernel import kernel

__all__ = ["Notes", "note_key"]

POLL_S = 1.0
PREFIX = "notes/"


def note_key(version):
    """Return the row key of the note that makes `version`."""
    return f"{PREFIX}{version:010d}"


class Notes:
    """The configuration in force on this instance.

    Parameters
    ----------
    table : Table
    """

    def __init__(self, *, table):
        self._table = table
        self._config = state.EMPTY
        self._caught_up = False

    @property
    def config(self):
        """The `Config` in force; its version only grows."""
        return self._config

    @property
    def ready(self):
        """Whether any accepted configuration is known."""
        return self._config.version > 0

    async def follow(self):
        """Read notes after the version in force and apply them.

        Returns
        -------
        Failure or None
        """
        rows = await self._table.scan(
            PREFIX, after=note_key(self._config.version)
        )
        if isinstance(rows, kinds.Failure):
            return rows
        for row in rows:
            self._advance(row.value)
        return None

    async def accept(self, note):
        """Accept a note if it is written on the latest version.

        Returns
        -------
        int or Failure
            The new version.
        """
        await self.follow()
        try:
            config = state.apply_note(self._config, note)
        except exceptions.CheckError as err:
            return kinds.Failure(kinds.Kind.NOTE_INVALID, str(err))
        key = note_key(note["base"] + 1)
        if note["base"] != self._config.version:
            return await self._explain_conflict(key, note)
        write = tables.Write(key, note, tables.ABSENT)
        result = await self._table.write(write)
        if isinstance(result, tables.Written):
            self._advance(note)
            return config.version
        return await self._explain_conflict(key, note)

    async def _explain_conflict(self, key, note):
        row = await self._table.read(key)
        if isinstance(row, kinds.Failure):
            return kinds.Failure(
                kinds.Kind.NOTE_UNKNOWN,
                "the store is away; ask again with `note status`",
                sent=True,
            )
        if row.value is None:
            return kinds.Failure(
                kinds.Kind.NOTE_CONFLICT,
                f"written on version {note['base']}, latest is "
                f"{self._config.version}",
            )
        if row.value["id"] == note["id"]:
            return note["base"] + 1
        return kinds.Failure(
            kinds.Kind.NOTE_CONFLICT,
            f"version {note['base'] + 1} is note {row.value['id']} "
            f"of {row.value['author']}",
        )

    def _advance(self, note):
        if note["base"] != self._config.version:
            return
        self._config = state.apply_note(self._config, note)
        logger.bind(version=self._config.version, note=note["id"]).info(
            "configuration in force"
        )


async def _poll(notes):
    while True:
        await notes.follow()
        await asyncio.sleep(POLL_S)


@kernel.plugin("notes", needs=("table",))
async def notes(core):
    """Provide the configuration in force, and follow accepted notes."""
    part = Notes(table=core.part("table"))
    await part.follow()
    core.spawn(_poll(part), name="notes")
    yield part
