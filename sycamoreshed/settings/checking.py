"""Checking JSON documents against typed dictionaries.

`msgspec` checks types; it lets unknown keys of a ``TypedDict`` pass, which
would hide a misspelt key, so those are looked for here.
"""

import functools
import pathlib
import re
import typing

import msgspec

from sycamoreshed import exceptions

__all__ = ["convert", "decode", "read"]

_MESSAGE = re.compile(r"^(?P<what>.*?)(?: - at `(?P<path>.*)`)?$", re.S)


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
    """Decode JSON bytes and check them.

    Parameters
    ----------
    raw : bytes
    kind : type
        A ``TypedDict``.
    source : str
        Name for messages.

    Returns
    -------
    dict

    Raises
    ------
    CheckError
        Naming the place and what was expected.
    """
    try:
        document = msgspec.json.decode(raw)
    except msgspec.DecodeError as err:
        raise exceptions.CheckError(
            source=source, path="$", expected=f"expected JSON ({err})"
        ) from None
    return convert(document, kind, source=source)


def convert(document, kind, *, source):
    """Check a decoded document; see `decode`."""
    try:
        checked = msgspec.convert(document, kind)
    except msgspec.ValidationError as err:
        match = _MESSAGE.match(str(err))
        raise exceptions.CheckError(
            source=source,
            path=match["path"] or "$",
            expected=match["what"],
        ) from None
    _refuse_unknown(document, kind, source=source, path="$")
    return checked


@functools.cache
def _hints(kind):
    """Return the keys of a type; asking anew costs more than the check."""
    return typing.get_type_hints(kind)


def _refuse_unknown(document, kind, *, source, path):
    origin = typing.get_origin(kind)
    if typing.is_typeddict(kind):
        hints = _hints(kind)
        for key, value in document.items():
            if key not in hints:
                known = ", ".join(sorted(hints))
                raise exceptions.CheckError(
                    source=source,
                    path=f"{path}.{key}",
                    expected=f"unknown key; expected one of: {known}",
                )
            _refuse_unknown(
                value, hints[key], source=source, path=f"{path}.{key}"
            )
    elif origin is dict:
        _, inner = typing.get_args(kind)
        for key, value in document.items():
            _refuse_unknown(value, inner, source=source, path=f"{path}.{key}")
    elif origin is list:
        (inner,) = typing.get_args(kind)
        for index, value in enumerate(document):
            _refuse_unknown(
                value, inner, source=source, path=f"{path}[{index}]"
            )
