"""History of accepted notes: their authors and past configurations."""

from sycamoreshed.config import changes
from sycamoreshed.config import state
from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel
from sycamoreshed.notes import rows

__all__ = ["History"]

PAGE_SIZE = 500


class History:
    """Reads accepted notes from the table.

    Parameters
    ----------
    table : Table
    snapshots : Snapshots
    notes : Notes
    """

    def __init__(self, *, table, snapshots, notes):
        self._table = table
        self._snapshots = snapshots
        self._notes = notes

    async def latest(self, limit):
        """Return the last accepted notes, oldest first.

        Returns
        -------
        list of dict, or Failure
            Version, id, author, wall-clock time and touched sections.
        """
        await self._notes.catch_up()
        after = max(self._notes.config.version - limit, 0)
        note_rows = await self._table.scan(
            rows.NOTE_PREFIX, after=rows.note_key(after), limit=limit
        )
        if isinstance(note_rows, kinds.Failure):
            return note_rows
        return [
            {
                "version": rows.version_of(row.key),
                "note": row.value["note"]["id"],
                "author": row.value["note"]["author"],
                "at": row.value["at"],
                "sections": sorted(
                    changes.touched_sections(row.value["note"])
                ),
            }
            for row in note_rows
        ]

    async def config_at(self, version):
        """Return the configuration of a version.

        Returns
        -------
        Config or Failure
            A failure of kind ``note-invalid`` if the version does not
            exist or its notes were deleted, of kind ``store-away`` if a
            store cannot be read.
        """
        if version == self._notes.config.version:
            return self._notes.config
        config = await self._snapshots.load_latest(max_version=version)
        if isinstance(config, kinds.Failure):
            return config
        config = config or state.EMPTY
        while config.version < version:
            note_rows = await self._table.scan(
                rows.NOTE_PREFIX,
                after=rows.note_key(config.version),
                limit=PAGE_SIZE,
            )
            if isinstance(note_rows, kinds.Failure):
                return note_rows
            next_config = _replay(config, note_rows, version)
            if next_config.version == config.version:
                return kinds.Failure(
                    kinds.Kind.NOTE_INVALID,
                    f"version {version} is not there, or not any more",
                )
            config = next_config
        return config


def _replay(config, note_rows, version):
    """Apply consecutive notes up to `version` or a gap."""
    for row in note_rows:
        is_next = row.key == rows.note_key(config.version + 1)
        if config.version == version or not is_next:
            break
        config = state.apply_note(config, row.value["note"])
    return config


@kernel.plugin("note_history", needs=("notes", "snapshots", "table"))
async def note_history(core):
    """Provide the history of notes."""
    yield History(
        table=core.part("table"),
        snapshots=core.part("snapshots"),
        notes=core.part("notes"),
    )
