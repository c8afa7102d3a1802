"""Rows and objects in which accepted notes are kept."""

import typing

from sycamoreshed.config import schema

__all__ = [
    "Accepted",
    "POINTER",
    "Pointer",
    "id_key",
    "note_key",
    "object_name",
    "version_of",
]

PREFIX = "notes/"
POINTER = "notes-snapshots"


class Accepted(typing.TypedDict):
    """An accepted note; ``at`` is the wall clock in seconds."""

    note: schema.Note
    at: float


class Pointer(typing.TypedDict):
    """The row that names the snapshots there are, oldest first."""

    versions: list[int]


def note_key(version):
    """Return the key of the row of the note that makes `version`.

    Examples
    --------
    >>> note_key(7)
    'notes/0000000007'
    """
    return f"{PREFIX}{version:010d}"


def version_of(key):
    """Return the version of a row's key; the inverse of `note_key`."""
    return int(key.removeprefix(PREFIX))


def id_key(note_id):
    """Return the key of the row that tells which version a note made.

    Notes
    -----
    These rows are kept when old notes are swept, so that a note applied
    again after months is still known.
    """
    return f"note-ids/{note_id}"


def object_name(version, part):
    """Return the name of a part of the snapshot of a version."""
    return f"config/{version:010d}/{part}"
