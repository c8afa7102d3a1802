"""A copy of one table of the platform's store, as of a version.

The store counts its transactions with one counter, so a copy as of a
higher version is newer as a whole, whoever it came from.  That is all the
agreement instances need: each takes any copy that is newer than its own,
from the store or from a peer, and never goes back.
"""

import typing

__all__ = ["Copy", "Replica"]

UNKNOWN = -1


class Copy(typing.NamedTuple):
    """All rows of a table at one version.

    Parameters
    ----------
    version : int
    rows : dict of str to bytes
    """

    version: int
    rows: dict


class Replica:
    """The newest copy of a table that this process has seen.

    Examples
    --------
    >>> replica = Replica()
    >>> replica.replace({"a": b"1"}, 7)
    True
    >>> replica.replace({}, 6)
    False
    >>> replica.rows
    {'a': b'1'}
    """

    def __init__(self):
        self._copy = Copy(UNKNOWN, {})

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

    def replace(self, rows, version):
        """Take a whole copy if it is newer; return whether it was."""
        if version <= self.version:
            return False
        self._copy = Copy(version, dict(rows))
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
        for key, value in rows:
            if value is None:
                merged.pop(key, None)
            else:
                merged[key] = value
        self._copy = Copy(version, merged)
        return True
