"""A copy of one table of the platform's store, as of a position.

Within an era of the store no row of a copy as of a higher version is older,
whichever instance sent it, and a copy of a later era replaces any of an
earlier one.  Instances need no other coordination: each accepts any copy that
is newer than its own, from the store or from a peer, and never an older one.
"""

import typing

from sycamoreshed.adapters import positions

__all__ = ["Copy", "Replica"]

# Maximum number of removed rows recorded for `Replica.changes`.
MAX_TOMBSTONES = 1000
# Maximum number of gaps before full copies recorded for `Replica.changes`.
MAX_GAPS = 16


class Copy(typing.NamedTuple):
    """All rows of a table at one position.

    Parameters
    ----------
    position : Position
    rows : dict of str to bytes
    """

    position: positions.Position
    rows: dict


class _Gap(typing.NamedTuple):
    first: positions.Position
    last: positions.Position


class Replica:
    """The newest copy of a table that this process has received.

    Examples
    --------
    >>> def at(version, era=0):
    ...     return positions.Position(era, version)
    >>> replica = Replica()
    >>> replica.replace({"a": b"1", "b": b"1"}, at(7))
    True
    >>> replica.replace({}, at(6))
    False
    >>> replica.apply([("a", None)], at(7), at(9))
    True
    >>> replica.rows
    {'b': b'1'}
    >>> replica.changes(at(7))
    {'a': None}
    >>> replica.replace({"a": b"1"}, at(5, era=1))
    True
    >>> replica.apply([("a", None)], at(9), at(10, era=1))
    False
    """

    def __init__(self):
        self._copy = Copy(positions.UNKNOWN, {})
        self._changed_at = {}
        self._tombstones = {}
        self._gaps = []
        # Changes after this position are recorded, except within `_gaps`.
        self._complete_since = positions.UNKNOWN

    @property
    def copy(self):
        """The rows and their position; must not be modified."""
        return self._copy

    @property
    def position(self):
        """Position of the rows; `positions.UNKNOWN` without a copy."""
        return self._copy.position

    @property
    def rows(self):
        """Values by key; must not be modified."""
        return self._copy.rows

    @property
    def has_copy(self):
        """Whether any copy has been received."""
        return self.position != positions.UNKNOWN

    def changes(self, after):
        """Return the rows that changed after a position.

        Parameters
        ----------
        after : Position

        Returns
        -------
        dict of str to (bytes or None), or None
            The value is None for a row that was removed.  None instead of
            the dict if the changes since that position are not recorded.
        """
        if after < self._complete_since or not self.has_copy:
            return None
        if any(gap.first < after < gap.last for gap in self._gaps):
            return None
        return {
            key: self.rows.get(key)
            for changed in (self._changed_at, self._tombstones)
            for key, position in changed.items()
            if position > after
        }

    def replace(self, rows, position):
        """Install a full copy if it is newer; return whether it was."""
        if position <= self.position:
            return False
        previous = self.rows
        if position.era == self.position.era:
            self._record_gap(position)
        else:
            self._forget_changes(position)
        keys = {key for key in previous if key not in rows}
        keys.update(k for k, value in rows.items() if previous.get(k) != value)
        self._install(dict(rows), keys, position)
        return True

    def apply(self, rows, since, position):
        """Apply the changes after one position, up to another.

        Parameters
        ----------
        rows : iterable of (str, bytes or None)
            None for a row that was removed.
        since, position : Position

        Returns
        -------
        bool
            Whether the copy advanced.  Changes that start after the copy's
            position would leave a gap and are not applied, nor are those of
            another era than the copy's.
        """
        if not since.era == position.era == self.position.era:
            return False
        if since > self.position or position <= self.position:
            return False
        merged = dict(self.rows)
        keys = []
        for key, value in rows:
            keys.append(key)
            if value is None:
                merged.pop(key, None)
            else:
                merged[key] = value
        self._install(merged, keys, position)
        return True

    def _forget_changes(self, position):
        """Record that no changes before a position of a new era are known."""
        self._changed_at.clear()
        self._tombstones.clear()
        self._gaps.clear()
        self._complete_since = position

    def _record_gap(self, position):
        """Record a gap, in which rows may have changed and changed back."""
        self._gaps.append(_Gap(self.position, position))
        if len(self._gaps) > MAX_GAPS:
            self._complete_since = max(
                self._complete_since, self._gaps.pop(0).last
            )

    def _install(self, rows, keys, position):
        """Replace the copy by `rows`; only `keys` may have changed."""
        for key in keys:
            self._changed_at.pop(key, None)
            self._tombstones.pop(key, None)
            if key in rows:
                self._changed_at[key] = position
            else:
                self._tombstones[key] = position
        while len(self._tombstones) > MAX_TOMBSTONES:
            oldest = next(iter(self._tombstones))
            removed_at = self._tombstones.pop(oldest)
            self._complete_since = max(self._complete_since, removed_at)
        self._copy = Copy(position, rows)
