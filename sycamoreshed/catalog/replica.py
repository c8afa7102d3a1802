"""A copy of one table of the platform's store, as of a version.

The store counts its transactions with one counter, so a copy as of a
higher version is newer as a whole, whoever it came from.  That is all the
agreement instances need: each takes any copy that is newer than its own,
from the store or from a peer, and never goes back.
"""

import typing

__all__ = ["Copy", "Replica"]

UNKNOWN = -1
# Removed rows that are remembered for `Replica.changes`.
MOST_TOMBSTONES = 1000
# Gaps between whole copies that are remembered for the same.
MOST_GAPS = 16


class Copy(typing.NamedTuple):
    """All rows of a table at one version.

    Parameters
    ----------
    version : int
    rows : dict of str to bytes
    """

    version: int
    rows: dict


class _Gap(typing.NamedTuple):
    first: int
    last: int


class Replica:
    """The newest copy of a table that this process has seen.

    Examples
    --------
    >>> replica = Replica()
    >>> replica.replace({"a": b"1", "b": b"1"}, 7)
    True
    >>> replica.replace({}, 6)
    False
    >>> replica.apply([("a", None)], 7, 9)
    True
    >>> replica.rows
    {'b': b'1'}
    >>> replica.changes(7)
    {'a': None}
    """

    def __init__(self):
        self._copy = Copy(UNKNOWN, {})
        self._changed = {}
        self._tombstones = {}
        self._gaps = []
        self._floor = UNKNOWN

    @property
    def copy(self):
        """The rows and their version; not to be changed."""
        return self._copy

    @property
    def version(self):
        """Version of the store that the rows are as of; -1 for none."""
        return self._copy.version

    @property
    def rows(self):
        """Values by key; not to be changed."""
        return self._copy.rows

    @property
    def known(self):
        """Whether any copy was ever seen."""
        return self.version != UNKNOWN

    def changes(self, after):
        """Return the rows that changed after a version.

        Parameters
        ----------
        after : int

        Returns
        -------
        dict of str to (bytes or None), or None
            The value is None for a row that was removed.  None in place of
            the dict if changes since that version are not known.
        """
        if after < self._floor or not self.known:
            return None
        if any(gap.first < after < gap.last for gap in self._gaps):
            return None
        return {
            key: self.rows.get(key)
            for changed in (self._changed, self._tombstones)
            for key, version in changed.items()
            if version > after
        }

    def replace(self, rows, version):
        """Take a whole copy if it is newer; return whether it was."""
        if version <= self.version:
            return False
        before = self.rows
        if self.known:
            self._note_gap(version)
        else:
            self._floor = version
        keys = {key for key in before if key not in rows}
        keys.update(k for k, value in rows.items() if before.get(k) != value)
        self._take(dict(rows), keys, version)
        return True

    def apply(self, rows, since, version):
        """Take what changed after version `since`, up to `version`.

        Parameters
        ----------
        rows : iterable of (str, bytes or None)
            None for a row that was removed.
        since, version : int

        Returns
        -------
        bool
            Whether the copy advanced.  Changes that begin after the
            copy's version would leave a gap and are not taken.
        """
        if since > self.version or version <= self.version:
            return False
        merged = dict(self.rows)
        keys = []
        for key, value in rows:
            keys.append(key)
            if value is None:
                merged.pop(key, None)
            else:
                merged[key] = value
        self._take(merged, keys, version)
        return True

    def _note_gap(self, version):
        """Remember that rows may have changed and changed back unseen."""
        self._gaps.append(_Gap(self.version, version))
        if len(self._gaps) > MOST_GAPS:
            self._floor = max(self._floor, self._gaps.pop(0).last)

    def _take(self, rows, keys, version):
        """Make `rows` the copy, of which `keys` may differ from before."""
        for key in keys:
            self._changed.pop(key, None)
            self._tombstones.pop(key, None)
            if key in rows:
                self._changed[key] = version
            else:
                self._tombstones[key] = version
        while len(self._tombstones) > MOST_TOMBSTONES:
            oldest = next(iter(self._tombstones))
            removed_at = self._tombstones.pop(oldest)
            self._floor = max(self._floor, removed_at)
        self._copy = Copy(version, rows)
