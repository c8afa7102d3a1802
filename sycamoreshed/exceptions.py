"""Exceptions raised by the package.

Failures that are part of normal work travel as values
(`sycamoreshed.errors.kinds.Failure`); an exception means that a file an
operator wrote is wrong, or that the program is.
"""

__all__ = ["CheckError", "RegistryError", "SycamoreshedError"]


class SycamoreshedError(Exception):
    """Base class of all exceptions of the package."""


class CheckError(SycamoreshedError):
    """A settings file or a release note is not valid.

    Parameters
    ----------
    source : str
        Name of the file or message that was checked.
    path : str
        Where in the document, such as ``$.peers[2]``.
    expected : str
        What was expected there.
    """

    def __init__(self, *, source, path, expected):
        super().__init__(f"{source}: {path}: {expected}")
        self.source = source
        self.path = path
        self.expected = expected


class RegistryError(SycamoreshedError):
    """A name is registered twice, or is not registered."""
