"""Release notes: the configuration in force here, which only goes up."""

import collections

from loguru import logger

from sycamoreshed.config import state
from sycamoreshed.errors import kinds
from sycamoreshed import exceptions
from sycamoreshed.notes import rows

__all__ = ["Notes"]

# Notes kept to bring peers up to date; older peers get all of it.
RECENT = 200
PAGE = 500


class Notes:
    """The configuration in force on this instance.

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
        self._settled = False

    @property
    def config(self):
        """The `Config` in force; its version only grows."""
        return self._config

    @property
    def is_ready(self):
        """Whether an accepted configuration is known and may be served."""
        return self._settled and self._config.version > 0

    def settle(self):
        """Tell that those in reach have been asked for what is newest."""
        self._settled = True

    def on_change(self, func):
        """Call a function without arguments after each change."""
        self._on_change.append(func)

    def advance(self, version, accepted):
        """Bring the note that makes `version` into force.

        Parameters
        ----------
        version : int
        accepted : Accepted

        Returns
        -------
        bool
            False if it is not the next one: an old message changes
            nothing, and after a gap the notes between come first.
        """
        if version != self._config.version + 1:
            return False
        try:
            config = state.apply_note(self._config, accepted["note"])
        except exceptions.CheckError as err:
            # Accepted notes were checked on the same version, so this
            # is a fault of a program; the version in force stays.
            logger.bind(version=version).error("cannot apply: {}", err)
            return False
        self._recent[version] = accepted
        while len(self._recent) > RECENT:
            self._recent.popitem(last=False)
        self._install(config, accepted["note"]["id"])
        return True

    def replace(self, config):
        """Bring a whole configuration into force, if it is newer.

        Returns
        -------
        bool
        """
        if config.version <= self._config.version:
            return False
        self._recent.clear()
        self._install(config, None)
        return True

    def updates_since(self, version):
        """Return what brings a peer up to date.

        Returns
        -------
        dict
            With ``version`` and ``notes`` in order, or without these if
            the peer has to fetch the whole configuration.
        """
        own = self._config.version
        missing = range(version + 1, own + 1)
        if all(item in self._recent for item in missing):
            notes = [self._recent[item] for item in missing]
            return {"version": own, "notes": notes}
        return {"version": own}

    async def follow(self):
        """Read notes after the version in force and apply them.

        Returns
        -------
        Failure or None
        """
        while True:
            found = await self._read_page()
            if isinstance(found, kinds.Failure):
                return found
            for row in found:
                self.advance(rows.version_of(row.key), row.value)
            if len(found) < PAGE:
                return None

    async def load(self):
        """Load the newest snapshot if it is newer, then follow.

        Returns
        -------
        Failure or None
        """
        config = await self._snapshots.newest()
        if isinstance(config, kinds.Failure):
            return config
        if config is not None:
            self.replace(config)
        return await self.follow()

    async def _read_page(self):
        after = rows.note_key(self._config.version)
        found = await self._table.scan(rows.PREFIX, after=after, limit=PAGE)
        if isinstance(found, kinds.Failure) or not found:
            return found
        if rows.version_of(found[0].key) == self._config.version + 1:
            return found
        # The notes in between were swept: only a snapshot leads there.
        config = await self._snapshots.newest()
        if isinstance(config, kinds.Failure):
            return config
        if config is not None and self.replace(config):
            return await self._read_page()
        return []

    def _install(self, config, note_id):
        self._config = config
        logger.bind(version=config.version, note=note_id).info(
            "configuration in force"
        )
        for func in self._on_change:
            func()
