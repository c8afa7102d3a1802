"""Callers that read the bytes of an answer, without a library."""

import asyncio
import re
import typing

__all__ = ["RawAnswer", "call", "parse"]

TIMEOUT_S = 15.0
_STATUS_LINE = re.compile(rb"HTTP/1\.1 ([1-5][0-9][0-9]) [\t\x20-\x7e]*")
_FIELD = re.compile(
    rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*([^\x00-\x08\x0a-\x1f\x7f]*)"
)


class RawAnswer(typing.NamedTuple):
    """An answer as its caller got it.

    Parameters
    ----------
    status : int
    fields : dict of bytes to bytes
        Names in lower case.
    body : bytes
    is_whole : bool
        Whether the body has ended as its head says.
    """

    status: int
    fields: dict
    body: bytes
    is_whole: bool


async def call(address, path, headers, *, body=b"", method="POST"):
    """Send a request; return all bytes that come back.

    The connection is used for one request only.
    """
    host, _, port = address.rpartition(":")
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
    async with asyncio.timeout(TIMEOUT_S):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write("\r\n".join(lines).encode() + body)
            return await reader.read(-1)
        finally:
            writer.transport.abort()


def parse(raw):
    """Return the `RawAnswer` that bytes hold.

    Raises
    ------
    AssertionError
        If they are no answer.
    """
    head, end, rest = raw.partition(b"\r\n\r\n")
    assert end, raw[:200]
    first, *lines = head.split(b"\r\n")
    status_line = _STATUS_LINE.fullmatch(first)
    assert status_line, first
    fields = {}
    for line in lines:
        field = _FIELD.fullmatch(line)
        assert field, line
        fields[field[1].lower()] = field[2]
    body, is_whole = _parse_body(fields, rest)
    return RawAnswer(int(status_line[1]), fields, body, is_whole)


def _parse_body(fields, rest):
    if fields.get(b"transfer-encoding") == b"chunked":
        return _parse_chunks(rest)
    assert b"transfer-encoding" not in fields
    if b"content-length" not in fields:
        return rest, True
    length = int(fields[b"content-length"])
    assert len(rest) <= length
    return rest, len(rest) == length


def _parse_chunks(rest):
    body = b""
    while True:
        size, end, rest = rest.partition(b"\r\n")
        if not end:
            return body, False
        length = int(size, 16)
        if not length:
            return body, rest == b"\r\n"
        body += rest[:length]
        if len(rest) < length + 2:
            return body, False
        rest = rest[length + 2 :]
