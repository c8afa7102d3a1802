"""Exceptions raised by the package.

Failures that are part of normal operation are returned as values
(`sycamoreshed.errors.kinds.Failure`); an exception means that input, such
as a file that an operator wrote, is not valid, or that the program has a
fault.
"""

__all__ = ["CheckError", "RegistryError", "SycamoreshedError"]


class SycamoreshedError(Exception):
    """Base class of all exceptions of the package."""


class CheckError(SycamoreshedError):
    """A settings file, a release note or a request body is not valid.

    Parameters
    ----------
    source : str
        Name of the file or message that was checked.
    path : str
        Path within the document, such as ``$.peers[2]``.
    expected : str
        What was expected there.
    """

    def __init__(self, *, source, path, expected):
        super().__init__(f"{source}: {path}: {expected}")
        self.source = source
        self.path = path
        self.expected = expected


class RegistryError(SycamoreshedError):
    """A name is registered twice or not at all, or needs form a cycle."""
