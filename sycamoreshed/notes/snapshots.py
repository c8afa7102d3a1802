"""Snapshots of the configuration in the object store.

Every `SNAPSHOT_INTERVAL` versions, the instance that accepted the last
note stores the full configuration and then adds it to a pointer row in the
table.  A starting instance loads the latest snapshot and the notes after
it.
"""

from loguru import logger
import msgspec

from sycamoreshed.adapters import table as tables
from sycamoreshed.config import state
from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel
from sycamoreshed.notes import rows

__all__ = ["Snapshots", "add_snapshot"]

SNAPSHOT_INTERVAL = 50
# Notes up to the oldest of these are deleted; the rest cover about three
# days.
MAX_SNAPSHOTS = 40
MAX_DELETED_NOTES = 100
MAX_PARTS = 100


def add_snapshot(pointer, version):
    """Add a snapshot to the pointer and select the snapshots to delete.

    Parameters
    ----------
    pointer : Pointer
    version : int
        Version of the stored snapshot.

    Returns
    -------
    tuple of Pointer and list of int

    Examples
    --------
    >>> add_snapshot({"versions": [50]}, 100)
    ({'versions': [50, 100]}, [])
    >>> add_snapshot({"versions": [50, 100]}, 60)
    ({'versions': [50, 100]}, [])
    """
    versions = pointer["versions"]
    if versions and version <= versions[-1]:
        return pointer, []
    versions = [*versions, version]
    retained = versions[-MAX_SNAPSHOTS:]
    return rows.Pointer(versions=retained), versions[: -len(retained)]


class Snapshots:
    """Stores, loads and deletes snapshots.

    Parameters
    ----------
    table : Table
    objects : Objects
    """

    def __init__(self, *, table, objects):
        self._table = table
        self._objects = objects
        self._latest = 0
        self._storing = False

    async def load_latest(self, *, max_version=None):
        """Load the latest snapshot, optionally up to `max_version`.

        Returns
        -------
        Config, None or Failure
            None if there is no snapshot.
        """
        row = await self._table.read(rows.POINTER_KEY)
        if isinstance(row, kinds.Failure):
            return row
        versions = row.value["versions"] if row.value else []
        if versions:
            self._latest = max(self._latest, versions[-1])
        usable = [
            item
            for item in versions
            if max_version is None or item <= max_version
        ]
        if not usable:
            return None
        return await self._load(usable[-1])

    async def maybe_store(self, config):
        """Store a snapshot if enough notes were accepted since the last.

        Returns
        -------
        bool
            Whether a snapshot was stored.
        """
        if self._storing or config.version - self._latest < SNAPSHOT_INTERVAL:
            return False
        # Otherwise every note accepted while a snapshot is being stored
        # would start another.
        self._storing = True
        try:
            return await self._store_if_due(config)
        finally:
            self._storing = False

    async def _store_if_due(self, config):
        row = await self._table.read(rows.POINTER_KEY)
        if isinstance(row, kinds.Failure):
            return False
        pointer = row.value or rows.Pointer(versions=[])
        if pointer["versions"]:
            self._latest = pointer["versions"][-1]
        if config.version - self._latest < SNAPSHOT_INTERVAL:
            return False
        if not await self._store(config):
            return False
        new_pointer, expired = add_snapshot(pointer, config.version)
        # Written only after the object: a pointer to a missing object
        # would leave starting instances without a configuration.
        result = await self._table.write(
            tables.Write(rows.POINTER_KEY, new_pointer, row.version)
        )
        if isinstance(result, tables.Conflict):
            # Another instance wrote the pointer first.  A snapshot that
            # the pointer does not list would never be deleted.
            listed = (result.rows[0].value or {}).get("versions", ())
            if config.version not in listed:
                await self._delete(config.version)
        if not isinstance(result, tables.Written):
            return False
        self._latest = config.version
        logger.bind(version=config.version).info("snapshot stored")
        await self._delete_expired(new_pointer["versions"][0], expired)
        return True

    async def _load(self, version):
        parts = []
        while not parts or len(parts) < parts[0]["parts"]:
            body = await self._objects.get(
                rows.object_name(version, len(parts))
            )
            if isinstance(body, kinds.Failure):
                return body
            if body is None:
                return kinds.Failure(kinds.Kind.STORE_AWAY, "no such part")
            try:
                parts.append(state.check_part(body))
            except msgspec.ValidationError as err:
                return kinds.Failure(kinds.Kind.STORE_AWAY, str(err))
        return state.join_parts(parts)

    async def _store(self, config):
        for number in range(state.count_parts(config)):
            result = await self._objects.put(
                rows.object_name(config.version, number),
                state.document_part(config, number),
            )
            if isinstance(result, kinds.Failure):
                return False
        return True

    async def _delete(self, version):
        for number in range(MAX_PARTS):
            name = rows.object_name(version, number)
            if await self._objects.delete(name) is not True:
                return

    async def _delete_expired(self, oldest, expired):
        """Delete expired snapshots, and notes up to the oldest retained.

        Notes
        -----
        At most `MAX_DELETED_NOTES` notes are deleted at a time, to avoid
        a burst of writes.  No more than that are accepted between two
        snapshots.
        """
        for version in expired:
            await self._delete(version)
        note_rows = await self._table.scan(
            rows.NOTE_PREFIX, limit=MAX_DELETED_NOTES
        )
        if isinstance(note_rows, kinds.Failure):
            return
        writes = [
            tables.Write(row.key, None, row.version)
            for row in note_rows
            if rows.version_of(row.key) <= oldest and expired
        ]
        if writes:
            await self._table.write(*writes)


@kernel.plugin("snapshots", needs=("objects", "table"))
async def snapshots(core):
    """Provide the snapshots of the configuration."""
    yield Snapshots(table=core.part("table"), objects=core.part("objects"))
