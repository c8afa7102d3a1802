"""Snapshots of the configuration in the object store.

Every `SNAPSHOT_INTERVAL` versions, the instance that accepted the last
note stores the full configuration and then adds it to a manifest row in the
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
# Older snapshots, and the notes up to the oldest one retained, are deleted.
# The remaining 2,000 notes cover almost three days at 720 notes a day.
MAX_SNAPSHOTS = 40
MAX_DELETED_NOTES = 100
MAX_DELETED_PARTS = 100


def add_snapshot(manifest, version):
    """Add a snapshot to the manifest and select the snapshots to delete.

    A version that is not above the latest one is ignored.

    Parameters
    ----------
    manifest : Manifest
    version : int
        Version of the stored snapshot.

    Returns
    -------
    tuple of Manifest and list of int
        The new manifest, and the versions to delete.

    Examples
    --------
    >>> add_snapshot({"versions": [50]}, 100)
    ({'versions': [50, 100]}, [])
    >>> add_snapshot({"versions": [50, 100]}, 60)
    ({'versions': [50, 100]}, [])
    """
    versions = manifest["versions"]
    if versions and version <= versions[-1]:
        return manifest, []
    versions = [*versions, version]
    retained = versions[-MAX_SNAPSHOTS:]
    return rows.Manifest(versions=retained), versions[: -len(retained)]


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
        self._latest_version = 0
        self._storing = False

    async def load_latest(self, *, max_version=None):
        """Load the latest snapshot, optionally up to `max_version`.

        Returns
        -------
        Config, None or Failure
            None if there is no such snapshot.
        """
        row = await self._table.read(rows.MANIFEST_KEY)
        if isinstance(row, kinds.Failure):
            return row
        versions = row.value["versions"] if row.value else []
        if versions:
            self._latest_version = max(self._latest_version, versions[-1])
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
        if (
            self._storing
            or config.version - self._latest_version < SNAPSHOT_INTERVAL
        ):
            return False
        # Without this flag, every note accepted while a snapshot is being
        # stored would start another.
        self._storing = True
        try:
            return await self._store_if_due(config)
        finally:
            self._storing = False

    async def _store_if_due(self, config):
        row = await self._table.read(rows.MANIFEST_KEY)
        if isinstance(row, kinds.Failure):
            return False
        manifest = row.value or rows.Manifest(versions=[])
        if manifest["versions"]:
            self._latest_version = manifest["versions"][-1]
        if config.version - self._latest_version < SNAPSHOT_INTERVAL:
            return False
        if not await self._store(config):
            return False
        new_manifest, excess = add_snapshot(manifest, config.version)
        # The manifest is written only after all parts: listing a missing
        # object would leave starting instances without a configuration.
        result = await self._table.write(
            tables.Write(rows.MANIFEST_KEY, new_manifest, row.version)
        )
        if isinstance(result, tables.Conflict):
            # Another instance wrote the manifest first.  A snapshot that
            # the manifest does not list would never be deleted.
            listed = (result.rows[0].value or {}).get("versions", ())
            if config.version not in listed:
                await self._delete(config.version)
        if not isinstance(result, tables.Written):
            return False
        self._latest_version = config.version
        logger.bind(version=config.version).info("snapshot stored")
        await self._delete_excess(new_manifest["versions"][0], excess)
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
        for number in range(MAX_DELETED_PARTS):
            name = rows.object_name(version, number)
            if await self._objects.delete(name) is not True:
                return

    async def _delete_excess(self, oldest, excess):
        """Delete excess snapshots and, if any, old notes.

        Notes
        -----
        Notes are deleted up to the oldest retained snapshot, at most
        `MAX_DELETED_NOTES` at a time to avoid a burst of writes.  Normally
        no more than that are accepted between two snapshots, so that
        deletion keeps up.
        """
        for version in excess:
            await self._delete(version)
        note_rows = await self._table.scan(
            rows.NOTE_PREFIX, limit=MAX_DELETED_NOTES
        )
        if isinstance(note_rows, kinds.Failure):
            return
        writes = [
            tables.Write(row.key, None, row.version)
            for row in note_rows
            if rows.version_of(row.key) <= oldest and excess
        ]
        if writes:
            await self._table.write(*writes)


@kernel.plugin("snapshots", needs=("objects", "table"))
async def snapshots(core):
    """Provide the snapshots of the configuration."""
    yield Snapshots(table=core.part("table"), objects=core.part("objects"))
