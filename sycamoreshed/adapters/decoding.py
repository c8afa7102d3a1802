"""Decoding of JSON that others have written.

Whatever it holds, only one kind of error is raised, so that who reads many
rows or messages can leave out the one that is malformed.
"""

import functools
import ipaddress
import math
import typing

import msgspec

__all__ = [
    "MAX_DEPTH",
    "MAX_INTEGER",
    "check_address",
    "check_depth",
    "check_integer",
    "cost",
    "decode",
    "set_memory",
]

# Levels of values that are passed on within other messages, which are nested
# in them by a few more.
MAX_DEPTH = 32
# Of numbers that are counted on from, or sent to others.
MAX_INTEGER = 2**53
MAX_PORT = 65_535
MAX_PORT_DIGITS = 5
# Characters of a malformed text that an error message has.
MAX_LOGGED = 80
# All entries of a table are decoded after each change.
MAX_CACHED_ADDRESSES = 4096
# Memory that decoded values of no given type take: each list or object, each
# of their items, and each name.
CONTAINER_BYTES = 64
ITEM_BYTES = 40
NAME_BYTES = 100
# Share of a process's memory for them.
DECODED_SHARE = 0.125
# Shorter documents take little in any case.
MIN_COST_BYTES = 64 * 1024


class _Memory:
    """Bytes that a decoded value may take."""

    max_bytes = math.inf


def set_memory(memory):
    """Set the bytes of memory that this process may use."""
    _Memory.max_bytes = int(DECODED_SHARE * memory)


def cost(raw):
    """Return about the bytes that a decoded document takes.

    Examples
    --------
    >>> cost(b"[[], [1, 2]]")
    284
    """
    containers = raw.count(b"[") + raw.count(b"{")
    return (
        len(raw)
        + CONTAINER_BYTES * containers
        + ITEM_BYTES * raw.count(b",")
        + NAME_BYTES * raw.count(b":")
    )


def decode(raw, type=typing.Any):
    """Return the value of a type that JSON bytes hold.

    Parameters
    ----------
    raw : bytes
    type : type, optional

    Raises
    ------
    msgspec.DecodeError
        If they hold none, also if they are nested too deeply, are no text, or
        would take too much memory as a value of no given type.

    Examples
    --------
    >>> decode(b"[1, 2]", list[int])
    [1, 2]
    >>> decode(100_000 * b"[")
    Traceback (most recent call last):
    ...
    msgspec.DecodeError: nested too deeply
    """
    is_long = type is typing.Any and len(raw) > MIN_COST_BYTES
    if is_long and cost(raw) > _Memory.max_bytes:
        raise msgspec.DecodeError("takes too much memory")
    try:
        return msgspec.json.decode(raw, type=type)
    except RecursionError as err:
        raise msgspec.DecodeError("nested too deeply") from err
    except (ValueError, OverflowError) as err:
        raise msgspec.DecodeError(str(err)) from err


def check_depth(value, max_depth=MAX_DEPTH):
    """Check that a decoded value is nested in a few levels only.

    Raises
    ------
    msgspec.ValidationError
        If it is nested more deeply.
    """
    level = [value]
    for _ in range(max_depth):
        level = [
            inner
            for each in level
            if isinstance(each, dict | list | tuple)
            for inner in (each.values() if isinstance(each, dict) else each)
        ]
        if not level:
            return
    raise msgspec.ValidationError("nested too deeply")


def check_integer(value, lowest=0, highest=MAX_INTEGER):
    """Check that an integer is in a range, both ends included.

    Raises
    ------
    msgspec.ValidationError
        If it is not.
    """
    if not lowest <= value <= highest:
        raise msgspec.ValidationError(f"not from {lowest} to {highest}")


def check_address(address):
    """Check that a text is ``IP:port``.

    Raises
    ------
    msgspec.ValidationError
        If it is not.

    Examples
    --------
    >>> check_address("127.0.0.1:80")
    >>> check_address("127.0.0.1:99999")
    Traceback (most recent call last):
    ...
    msgspec.ValidationError: no address '127.0.0.1:99999'
    """
    if not _is_address(address):
        raise msgspec.ValidationError(f"no address {address[:MAX_LOGGED]!r}")


@functools.lru_cache(maxsize=MAX_CACHED_ADDRESSES)
def _is_address(text):
    host, _, port = text.rpartition(":")
    is_number = port.isascii() and port.isdecimal()
    return (
        is_number
        and len(port) <= MAX_PORT_DIGITS
        and 0 < int(port) <= MAX_PORT
        and _is_host(host)
    )


def _is_host(text):
    version = ipaddress.IPv4Address
    if text.startswith("[") and text.endswith("]"):
        version, text = ipaddress.IPv6Address, text[1:-1]
    try:
        version(text)
    except ValueError:
        return False
    return True
