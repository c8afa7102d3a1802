"""Keys and formats of the rows and objects that store accepted notes."""

import typing

from sycamoreshed.config import schema

__all__ = [
    "AcceptedNote",
    "MANIFEST_KEY",
    "Manifest",
    "id_key",
    "note_key",
    "object_name",
    "version_of",
]

NOTE_PREFIX = "notes/"
MANIFEST_KEY = "notes-snapshots"


class AcceptedNote(typing.TypedDict):
    """An accepted note; ``at`` is the Unix time of acceptance."""

    note: schema.Note
    at: float


class Manifest(typing.TypedDict):
    """The row that lists the versions of stored snapshots, oldest first."""

    versions: list[int]


def note_key(version):
    """Return the key of the row of the note that creates `version`.

    Examples
    --------
    >>> note_key(7)
    'notes/0000000007'
    """
    return f"{NOTE_PREFIX}{version:010d}"


def version_of(key):
    """Return the version encoded in a row key; inverse of `note_key`."""
    return int(key.removeprefix(NOTE_PREFIX))


def id_key(note_id):
    """Return the key of the row that maps a note to its version.

    Notes
    -----
    These rows are kept when old notes are deleted, so that a note that is
    submitted again months later is still recognized.
    """
    return f"note-ids/{note_id}"


def object_name(version, part):
    """Return the object name of one part of the snapshot of a version."""
    return f"config/{version:010d}/{part}"
