"""Snapshots of the configuration in the object store.

Every `EVERY` versions the instance that accepted the last note stores
the whole configuration and then raises a pointer row in the table.  A
starting instance loads the newest snapshot and the notes after it.
"""

from loguru import logger
import msgspec

from sycamoreshed.adapters import table as tables
from sycamoreshed.config import state
from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel
from sycamoreshed.notes import rows

__all__ = ["Snapshots", "after_storing"]

EVERY = 50
# With those before swept, notes reach back some three days.
MOST_SNAPSHOTS = 40
MOST_SWEPT = 100
MOST_PARTS = 100


def after_storing(pointer, version):
    """Return the pointer after a snapshot, and the snapshots to delete.

    Parameters
    ----------
    pointer : Pointer
    version : int
        Of the stored snapshot.

    Returns
    -------
    tuple of Pointer and list of int

    Examples
    --------
    >>> after_storing({"versions": [50]}, 100)
    ({'versions': [50, 100]}, [])
    >>> after_storing({"versions": [50, 100]}, 60)
    ({'versions': [50, 100]}, [])
    """
    versions = pointer["versions"]
    if versions and version <= versions[-1]:
        return pointer, []
    versions = [*versions, version]
    kept = versions[-MOST_SNAPSHOTS:]
    return rows.Pointer(versions=kept), versions[: -len(kept)]


class Snapshots:
    """Stores, loads and sweeps snapshots.

    Parameters
    ----------
    table : Table
    objects : Objects
    """

    def __init__(self, *, table, objects):
        self._table = table
        self._objects = objects
        self._newest = 0
        self._storing = False

    async def newest(self, *, at=None):
        """Load the newest snapshot, or the newest up to version `at`.

        Returns
        -------
        Config, None or Failure
            None if there is no snapshot.
        """
        row = await self._table.read(rows.POINTER)
        if isinstance(row, kinds.Failure):
            return row
        versions = row.value["versions"] if row.value else []
        if versions:
            self._newest = max(self._newest, versions[-1])
        usable = [item for item in versions if at is None or item <= at]
        if not usable:
            return None
        return await self._load(usable[-1])

    async def maybe_store(self, config):
        """Store a snapshot if enough notes were accepted since the last.

        Returns
        -------
        bool
            Whether one was stored.
        """
        if self._storing or config.version - self._newest < EVERY:
            return False
        # Notes accepted while one is being stored would each store one.
        self._storing = True
        try:
            return await self._store_if_due(config)
        finally:
            self._storing = False

    async def _store_if_due(self, config):
        row = await self._table.read(rows.POINTER)
        if isinstance(row, kinds.Failure):
            return False
        pointer = row.value or rows.Pointer(versions=[])
        if pointer["versions"]:
            self._newest = pointer["versions"][-1]
        if config.version - self._newest < EVERY:
            return False
        if not await self._store(config):
            return False
        changed, dropped = after_storing(pointer, config.version)
        # Only once the object is there: a pointer to none would leave
        # starting instances without a configuration.
        result = await self._table.write(
            tables.Write(rows.POINTER, changed, row.version)
        )
        if isinstance(result, tables.Conflict):
            # Another instance was faster; nothing would name this one,
            # and so nothing would ever delete it.
            named = (result.rows[0].value or {}).get("versions", ())
            if config.version not in named:
                await self._delete(config.version)
        if not isinstance(result, tables.Written):
            return False
        self._newest = config.version
        logger.bind(version=config.version).info("snapshot stored")
        await self._sweep(changed["versions"][0], dropped)
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
            stored = await self._objects.put(
                rows.object_name(config.version, number),
                state.document_part(config, number),
            )
            if isinstance(stored, kinds.Failure):
                return False
        return True

    async def _delete(self, version):
        for number in range(MOST_PARTS):
            name = rows.object_name(version, number)
            if await self._objects.delete(name) is not True:
                return

    async def _sweep(self, oldest, dropped):
        """Delete dropped snapshots and notes up to the oldest kept.

        Notes
        -----
        At most `MOST_SWEPT` notes go at a time, so that a sweep is never
        a burst of writes; as many come between two snapshots at most.
        """
        for version in dropped:
            await self._delete(version)
        found = await self._table.scan(rows.PREFIX, limit=MOST_SWEPT)
        if isinstance(found, kinds.Failure):
            return
        writes = [
            tables.Write(row.key, None, row.version)
            for row in found
            if rows.version_of(row.key) <= oldest and dropped
        ]
        if writes:
            await self._table.write(*writes)


@kernel.plugin("snapshots", needs=("objects", "table"))
async def snapshots(core):
    """Provide the snapshots of the configuration."""
    yield Snapshots(table=core.part("table"), objects=core.part("objects"))
