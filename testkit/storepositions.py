"""Builders of positions in the history of a store."""

from sycamoreshed.adapters import positions

__all__ = ["at"]


def at(version, era=0):
    """Return the position of a version in an era."""
    return positions.Position(era, version)
