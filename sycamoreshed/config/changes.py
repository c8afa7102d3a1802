"""The entries that a release note changes, and a comparison of two notes."""

import typing

__all__ = [
    "Difference",
    "differences",
    "operations_by_path",
    "touched_sections",
]

MAX_DIFFERENCES = 50


class Difference(typing.NamedTuple):
    """An entry that two conflicting notes treat differently.

    Parameters
    ----------
    path : str
        Section and name, such as ``teams/ilha``.
    yours, winner : str
        What the rejected and the accepted note do with the entry:
        ``added``, ``changed``, ``withdrawn`` or ``untouched``.
    """

    path: str
    yours: str
    winner: str


def touched_sections(note):
    """Return the names of the sections that a note changes.

    Examples
    --------
    >>> sorted(
    ...     touched_sections(
    ...         {"added": {"teams": {}}, "withdrawn": {"regions": []}}
    ...     )
    ... )
    ['regions', 'teams']
    """
    return {
        section
        for operation in ("added", "changed", "withdrawn")
        for section in note.get(operation, {})
    }


def operations_by_path(note):
    """Return the operations of a note by path.

    Returns
    -------
    dict of str to tuple
        The operation (``added``, ``changed`` or ``withdrawn``) and the
        specification, which is None when withdrawn.
    """
    result = {}
    for operation in ("added", "changed"):
        for section, specs in note.get(operation, {}).items():
            for name, spec in specs.items():
                result[f"{section}/{name}"] = (operation, spec)
    for section, names in note.get("withdrawn", {}).items():
        for name in names:
            result[f"{section}/{name}"] = ("withdrawn", None)
    return result


def differences(rejected, accepted):
    """Return the first `MAX_DIFFERENCES` differences of two notes.

    Parameters
    ----------
    rejected, accepted : Note

    Returns
    -------
    list of Difference
        Sorted by path; identical operations are left out.
    """
    rejected_operations = operations_by_path(rejected)
    accepted_operations = operations_by_path(accepted)
    untouched = ("untouched", None)
    result = []
    for path in sorted({*rejected_operations, *accepted_operations}):
        rejected_op = rejected_operations.get(path, untouched)
        accepted_op = accepted_operations.get(path, untouched)
        if rejected_op != accepted_op:
            result.append(Difference(path, rejected_op[0], accepted_op[0]))
    return result[:MAX_DIFFERENCES]
