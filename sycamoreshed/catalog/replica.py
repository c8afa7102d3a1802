"""A copy of one table of the platform's store, as of a version.

The store numbers its transactions with one counter, so no row of a copy as
of a higher version is older, whichever instance sent it.  Instances need no
other coordination: each accepts any copy that is newer than its own, from the
store or from a peer, and never an older one.
"""

import typing

__all__ = ["Copy", "Replica"]

UNKNOWN = -1
# Maximum number of removed rows recorded for `Replica.changes`.
MAX_TOMBSTONES = 1000
# Maximum number of gaps before full copies recorded for `Replica.changes`.
MAX_GAPS = 16


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
    """The newest copy of a table that this process has received.

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
        self._changed_versions = {}
        self._tombstones = {}
        self._gaps = []
        # Changes after this version are recorded, except within `_gaps`.
        self._complete_since = UNKNOWN

    @property
    def copy(self):
        """The rows and their version; must not be modified."""
        return self._copy

    @property
    def version(self):
        """Store version of the rows; -1 without a copy."""
        return self._copy.version

    @property
    def rows(self):
        """Values by key; must not be modified."""
        return self._copy.rows

    @property
    def has_copy(self):
        """Whether any copy has been received."""
        return self.version != UNKNOWN

    def changes(self, after):
        """Return the rows that changed after a version.

        Parameters
        ----------
        after : int

        Returns
        -------
        dict of str to (bytes or None), or None
            The value is None for a row that was removed.  None instead of
            the dict if the changes since that version are not recorded.
        """
        if after < self._complete_since or not self.has_copy:
            return None
        if any(gap.first < after < gap.last for gap in self._gaps):
            return None
        return {
            key: self.rows.get(key)
            for changed in (self._changed_versions, self._tombstones)
            for key, version in changed.items()
            if version > after
        }

    def replace(self, rows, version):
        """Install a full copy if it is newer; return whether it was."""
        if version <= self.version:
            return False
        previous = self.rows
        if self.has_copy:
            self._record_gap(version)
        else:
            self._complete_since = version
        keys = {key for key in previous if key not in rows}
        keys.update(k for k, value in rows.items() if previous.get(k) != value)
        self._install(dict(rows), keys, version)
        return True

    def apply(self, rows, since, version):
        """Apply the changes after version `since`, up to `version`.

        Parameters
        ----------
        rows : iterable of (str, bytes or None)
            None for a row that was removed.
        since, version : int

        Returns
        -------
        bool
            Whether the copy advanced.  Changes that start after the
            copy's version would leave a gap and are not applied.
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
        self._install(merged, keys, version)
        return True

    def _record_gap(self, version):
        """Record a gap, in which rows may have changed and changed back."""
        self._gaps.append(_Gap(self.version, version))
        if len(self._gaps) > MAX_GAPS:
            self._complete_since = max(
                self._complete_since, self._gaps.pop(0).last
            )

    def _install(self, rows, keys, version):
        """Replace the copy by `rows`; only `keys` may have changed."""
        for key in keys:
            self._changed_versions.pop(key, None)
            self._tombstones.pop(key, None)
            if key in rows:
                self._changed_versions[key] = version
            else:
                self._tombstones[key] = version
        while len(self._tombstones) > MAX_TOMBSTONES:
            oldest = next(iter(self._tombstones))
            removed_at = self._tombstones.pop(oldest)
            self._complete_since = max(self._complete_since, removed_at)
        self._copy = Copy(version, rows)
