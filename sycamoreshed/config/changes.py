"""What a release note touches, and in what two notes differ."""

import typing

__all__ = ["Difference", "differences", "entries", "touched"]

MOST_DIFFERENCES = 50


class Difference(typing.NamedTuple):
    """An entry on which two notes do not agree.

    Parameters
    ----------
    path : str
        Section and name, such as ``teams/ilha``.
    yours, winner : str
        What each does with it: ``added``, ``changed``, ``withdrawn`` or
        ``untouched``.
    """

    path: str
    yours: str
    winner: str


def touched(note):
    """Return the sections that a note touches.

    Examples
    --------
    >>> sorted(touched({"added": {"teams": {}}, "withdrawn": {"zones": []}}))
    ['teams', 'zones']
    """
    return {
        section
        for part in ("added", "changed", "withdrawn")
        for section in note.get(part, {})
    }


def entries(note):
    """Return what a note does, by path.

    Returns
    -------
    dict of str to tuple
        The part's name and the specification (None when withdrawn).
    """
    result = {}
    for part in ("added", "changed"):
        for section, named in note.get(part, {}).items():
            for name, spec in named.items():
                result[f"{section}/{name}"] = (part, spec)
    for section, names in note.get("withdrawn", {}).items():
        for name in names:
            result[f"{section}/{name}"] = ("withdrawn", None)
    return result


def differences(yours, winner):
    """Return where two notes differ, at most `MOST_DIFFERENCES`.

    Parameters
    ----------
    yours, winner : Note

    Returns
    -------
    list of Difference
        In order of path; what both do alike is left out.
    """
    mine = entries(yours)
    theirs = entries(winner)
    untouched = ("untouched", None)
    result = []
    for path in sorted({*mine, *theirs}):
        ours = mine.get(path, untouched)
        other = theirs.get(path, untouched)
        if ours != other:
            result.append(Difference(path, ours[0], other[0]))
    return result[:MOST_DIFFERENCES]
