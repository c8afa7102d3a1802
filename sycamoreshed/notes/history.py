"""What was accepted before: single versions, and who wrote them."""

from sycamoreshed.config import changes
from sycamoreshed.config import state
from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel
from sycamoreshed.notes import rows

__all__ = ["History"]

PAGE = 500


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
            Version, id, author, wall clock and touched sections.
        """
        await self._notes.follow()
        first = max(self._notes.config.version - limit, 0)
        found = await self._table.scan(
            rows.PREFIX, after=rows.note_key(first), limit=limit
        )
        if isinstance(found, kinds.Failure):
            return found
        return [
            {
                "version": rows.version_of(row.key),
                "note": row.value["note"]["id"],
                "author": row.value["note"]["author"],
                "at": row.value["at"],
                "sections": sorted(changes.touched(row.value["note"])),
            }
            for row in found
        ]

    async def config_at(self, version):
        """Return the configuration of a version.

        Returns
        -------
        Config or Failure
            A failure of kind ``note-invalid`` if there is none such, or
            it was swept.
        """
        if version == self._notes.config.version:
            return self._notes.config
        config = await self._snapshots.newest(at=version)
        if isinstance(config, kinds.Failure):
            return config
        config = config or state.EMPTY
        while config.version < version:
            found = await self._table.scan(
                rows.PREFIX, after=rows.note_key(config.version), limit=PAGE
            )
            if isinstance(found, kinds.Failure):
                return found
            reached = _replay(config, found, version)
            if reached.version == config.version:
                return kinds.Failure(
                    kinds.Kind.NOTE_INVALID,
                    f"version {version} is not there, or not any more",
                )
            config = reached
        return config


def _replay(config, found, version):
    for row in found:
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
