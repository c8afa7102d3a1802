"""What reads of a table of the store return."""

import typing

__all__ = ["Changes", "HistoryGone", "Row"]


class Row(typing.NamedTuple):
    """A row of a table; `value` is None if the row was removed."""

    key: str
    value: bytes | None
    version: int


class Changes(typing.NamedTuple):
    """Rows of a table, and the version of the store that they reflect.

    ``is_full`` tells a full listing from the changes since a version;
    ``era`` and ``now_ms``, the time of its clock, are None if the
    store told none.
    """

    rows: list
    version: int
    is_full: bool
    era: int | None = None
    now_ms: int | None = None


class HistoryGone(typing.NamedTuple):
    """The store has no changes after the version that was asked for."""

    era: int | None = None
