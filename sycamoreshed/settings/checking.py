"""Validation of JSON documents against typed dictionaries.

`msgspec` checks types but ignores unknown keys of a ``TypedDict``, which
would hide a misspelt key, so unknown keys are rejected here.
"""

import functools
import pathlib
import re
import typing

import msgspec

from sycamoreshed.adapters import decoding
from sycamoreshed import exceptions

__all__ = ["convert", "decode", "read"]

_MSGSPEC_ERROR = re.compile(r"^(?P<what>.*?)(?: - at `(?P<path>.*)`)?$", re.S)


def read(path):
    """Return the bytes of a settings file.

    Raises
    ------
    CheckError
        If it cannot be read.
    """
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as err:
        raise exceptions.CheckError(
            source=str(path),
            path="$",
            expected=f"expected a readable file ({err.strerror})",
        ) from None


def decode(raw, kind, *, source):
    """Decode JSON bytes and validate the document.

    Parameters
    ----------
    raw : bytes
    kind : type
        A ``TypedDict``.
    source : str
        Name of the document, for error messages.

    Returns
    -------
    dict

    Raises
    ------
    CheckError
        With the path in the document and what was expected there.
    """
    try:
        document = decoding.decode(raw)
    except msgspec.DecodeError as err:
        raise exceptions.CheckError(
            source=source, path="$", expected=f"expected JSON ({err})"
        ) from None
    return convert(document, kind, source=source)


def convert(document, kind, *, source):
    """Validate a decoded document; see `decode`."""
    try:
        checked = msgspec.convert(document, kind)
    except msgspec.ValidationError as err:
        match = _MSGSPEC_ERROR.match(str(err))
        raise exceptions.CheckError(
            source=source,
            path=match["path"] or "$",
            expected=match["what"],
        ) from None
    _reject_unknown_keys(document, kind, source=source, path="$")
    return checked


@functools.cache
def _type_hints(kind):
    """Return the type of each key; cached, as it costs more than the check."""
    return typing.get_type_hints(kind)


def _reject_unknown_keys(document, kind, *, source, path):
    origin = typing.get_origin(kind)
    if typing.is_typeddict(kind):
        hints = _type_hints(kind)
        for key, value in document.items():
            if key not in hints:
                known = ", ".join(sorted(hints))
                raise exceptions.CheckError(
                    source=source,
                    path=f"{path}.{key}",
                    expected=f"unknown key; expected one of: {known}",
                )
            _reject_unknown_keys(
                value, hints[key], source=source, path=f"{path}.{key}"
            )
    elif origin is dict:
        _, inner = typing.get_args(kind)
        for key, value in document.items():
            _reject_unknown_keys(
                value, inner, source=source, path=f"{path}.{key}"
            )
    elif origin is list:
        (inner,) = typing.get_args(kind)
        for index, value in enumerate(document):
            _reject_unknown_keys(
                value, inner, source=source, path=f"{path}[{index}]"
            )
