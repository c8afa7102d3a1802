"""Positions in the history of the platform's store.

The store numbers its transactions with one counter.  When it comes back from
an older copy, a new era begins: transactions of the last one that the copy
lacks are lost, and their versions are given out again.  A version therefore
has a meaning only together with its era.
"""

import typing

__all__ = [
    "UNKNOWN",
    "Position",
    "format_position",
    "has_advanced",
    "pack",
    "parse",
    "parse_era",
    "told",
    "unpack",
]

# Bits of a packed position that hold the version.
VERSION_BITS = 48
# Longer numbers do not fit into 64 bits.
MAX_ERA_DIGITS = 18


class Position(typing.NamedTuple):
    """A version of the store in one of its eras.

    Positions are ordered by era, then by version: what is later in this
    order was never written before.

    Parameters
    ----------
    era : int
        0 if the store tells none.
    version : int

    Examples
    --------
    >>> Position(2, 40) > Position(1, 900)
    True
    """

    era: int
    version: int


# Before every position of a store.
UNKNOWN = Position(-1, -1)


def told(era, version, held):
    """Return the position that an answer of the store tells.

    Parameters
    ----------
    era : int or None
        As the answer told it.
    version : int
    held : Position
        Of the copy held when the store was asked.

    Returns
    -------
    Position
        Without an era in the answer it counts as of the era held: nothing
        says that the store came back from a copy.

    Examples
    --------
    >>> told(3, 7, Position(2, 9)), told(None, 7, Position(2, 9))
    (Position(era=3, version=7), Position(era=2, version=7))
    >>> told(None, 7, UNKNOWN)
    Position(era=0, version=7)
    """
    return Position(max(0, held.era) if era is None else era, version)


def parse_era(text):
    """Return the era that an answer's header tells, or None.

    Examples
    --------
    >>> parse_era("3"), parse_era(""), parse_era("third"), parse_era("-1")
    (3, None, None, None)
    """
    text = text.strip()
    is_number = text.isascii() and text.isdecimal()
    return int(text) if is_number and len(text) <= MAX_ERA_DIGITS else None


def pack(position):
    """Return a position as one number, in the same order.

    In era 0 this is the version, as of a store that tells no era.

    Examples
    --------
    >>> pack(Position(0, 7)), unpack(pack(Position(2, 7)))
    (7, Position(era=2, version=7))
    """
    return position.era << VERSION_BITS | position.version


def unpack(number):
    """Return the position of a packed one."""
    return Position(number >> VERSION_BITS, number & (1 << VERSION_BITS) - 1)


def has_advanced(before, after):
    """Return whether something was written between two packed positions.

    False between two eras: the later one is higher even if what was written
    is lost.

    Examples
    --------
    >>> first, lost, next_era = 40, 44, pack(Position(1, 40))
    >>> has_advanced(first, lost), has_advanced(lost, next_era)
    (True, False)
    """
    return before < after and unpack(before).era == unpack(after).era


def format_position(position):
    """Return the text of a position in the query of a call.

    Examples
    --------
    >>> format_position(Position(2, 40))
    '2.40'
    """
    return f"{position.era}.{position.version}"


def parse(text):
    """Return the position with a text, the inverse of `format_position`.

    Raises
    ------
    ValueError
        If the text is none of a position.

    Examples
    --------
    >>> parse("2.40") == Position(2, 40), parse("-1.-1") == UNKNOWN
    (True, True)
    """
    era, _, version = text.partition(".")
    return Position(int(era), int(version))
