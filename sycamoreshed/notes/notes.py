"""The current configuration of an instance; its version never decreases."""

import collections

from loguru import logger

from sycamoreshed.config import state
from sycamoreshed.errors import kinds
from sycamoreshed import exceptions
from sycamoreshed.notes import rows

__all__ = ["Notes"]

# Recent notes are kept to update peers; a peer that is further behind
# fetches the full configuration.
MAX_RECENT_NOTES = 200
PAGE_SIZE = 500


class Notes:
    """Holds the current configuration and applies release notes to it.

    Parameters
    ----------
    table : Table
    snapshots : Snapshots
    """

    def __init__(self, *, table, snapshots):
        self._table = table
        self._snapshots = snapshots
        self._config = state.EMPTY
        self._recent = collections.OrderedDict()
        self._on_change = []
        self._synced = False

    @property
    def config(self):
        """The current `Config`; its version never decreases."""
        return self._config

    @property
    def recent(self):
        """Recent `AcceptedNote` by version; must not be modified."""
        return self._recent

    @property
    def is_ready(self):
        """Whether requests may be served: synced, with a configuration."""
        return self._synced and self._config.version > 0

    def mark_synced(self):
        """Record that the initial sync ended, by a peer or by timeout."""
        self._synced = True

    def on_change(self, func):
        """Register a function to call, without arguments, on each change."""
        self._on_change.append(func)

    def advance(self, version, accepted):
        """Apply the note that creates `version`.

        Parameters
        ----------
        version : int
        accepted : AcceptedNote

        Returns
        -------
        bool
            False if `version` is not the next one or the note is invalid.
            Old notes have no effect; after a gap, the notes in between
            must be applied first.
        """
        if version != self._config.version + 1:
            return False
        try:
            config = state.apply_note(self._config, accepted["note"])
        except exceptions.CheckError as err:
            # The note was validated against the same version when it was
            # accepted, so this is a bug; the current version is kept.
            logger.bind(version=version).error("cannot apply: {}", err)
            return False
        self._recent[version] = accepted
        while len(self._recent) > MAX_RECENT_NOTES:
            self._recent.popitem(last=False)
        self._install(config, accepted["note"]["id"])
        return True

    def replace(self, config):
        """Install a full configuration if it is newer.

        Returns
        -------
        bool
            Whether it was installed.
        """
        if config.version <= self._config.version:
            return False
        self._recent.clear()
        self._install(config, None)
        return True

    def updates_since(self, version):
        """Return the notes after a version, to update a peer.

        Returns
        -------
        dict
            With ``version`` and ``notes``, in order.  ``notes`` is absent
            if the peer has to fetch the full configuration.
        """
        current = self._config.version
        missing = range(version + 1, current + 1)
        if all(item in self._recent for item in missing):
            notes = [self._recent[item] for item in missing]
            return {"version": current, "notes": notes}
        return {"version": current}

    async def catch_up(self):
        """Apply the notes after the current version.

        If some of them were deleted, load a snapshot first.

        Returns
        -------
        Failure or None
        """
        while True:
            page = await self._read_page()
            if isinstance(page, kinds.Failure):
                return page
            for row in page:
                self.advance(rows.version_of(row.key), row.value)
            if len(page) < PAGE_SIZE:
                return None

    async def load(self):
        """Load the latest snapshot, install it if newer, then catch up.

        Returns
        -------
        Failure or None
        """
        config = await self._snapshots.load_latest()
        if isinstance(config, kinds.Failure):
            return config
        if config is not None:
            self.replace(config)
        return await self.catch_up()

    async def _read_page(self):
        """Read the next notes; install a snapshot if some were deleted."""
        after = rows.note_key(self._config.version)
        page = await self._table.scan(
            rows.NOTE_PREFIX, after=after, limit=PAGE_SIZE
        )
        if isinstance(page, kinds.Failure) or not page:
            return page
        if rows.version_of(page[0].key) == self._config.version + 1:
            return page
        # The notes in between were deleted; only a snapshot can close
        # the gap.
        config = await self._snapshots.load_latest()
        if isinstance(config, kinds.Failure):
            return config
        if config is not None and self.replace(config):
            return await self._read_page()
        # There is no newer snapshot yet; the next poll tries again.
        return []

    def _install(self, config, note_id):
        self._config = config
        logger.bind(version=config.version, note=note_id).info(
            "configuration in force"
        )
        for func in self._on_change:
            func()
