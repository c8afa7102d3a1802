"""Heads of answers that are no HTTP, and some that merely look odd."""

import re

__all__ = ["BODY", "BROKEN", "NAME", "SOUND", "broken", "carrying"]

# A whole event, so that streams are sound but for their head.
BODY = b"a:b\n\n"
NAME = "X-Sycamoreshed-Response-Seal"
_PROOF = f"{NAME}: proof\r\n".encode()
_LENGTH = b"Content-Length: 5\r\n"
_OK = b"HTTP/1.1 200 Told\r\n"
_LENGTH_OF_BODY = re.compile(rb"(Content-Length: (?:[+-]|0x)?)5(?=\r?\n)")


def _status(line):
    return line + b"\r\n" + _PROOF + _LENGTH + b"\r\n" + BODY


def _field(line):
    return _OK + _PROOF + line + b"\r\n" + _LENGTH + b"\r\n" + BODY


def _framing(*lines, begin=_OK):
    fields = b"".join(line + b"\r\n" for line in lines)
    return begin + _PROOF + fields + b"\r\n" + BODY


_STATUS_LINES = {
    "zero": b"HTTP/1.1 000 Told",
    "zero without reason": b"HTTP/1.1 000",
    "one": b"HTTP/1.1 001 Told",
    "below 100": b"HTTP/1.1 042 Told",
    "99": b"HTTP/1.1 099 Told",
    "600": b"HTTP/1.1 600 Told",
    "999": b"HTTP/1.1 999 Told",
    "letters": b"HTTP/1.1 2xx Told",
    "two digits": b"HTTP/1.1 20 Told",
    "four digits": b"HTTP/1.1 2000 Told",
    "sign": b"HTTP/1.1 +20 Told",
    "other digits": "HTTP/1.1 \u0662\u0660\u0660 Told".encode(),
    "no status": b"HTTP/1.1",
    "unasked upgrade": b"HTTP/1.1 101 Told",
    "no version": b"200 Told",
    "version 0.9": b"HTTP/0.9 200 Told",
    "version 2.0": b"HTTP/2.0 200 Told",
    "version 1.2": b"HTTP/1.2 200 Told",
    "control byte in the reason": b"HTTP/1.1 200 To\x01ld",
    "delete in the reason": b"HTTP/1.1 200 To\x7fld",
    "no blank before the reason": b"HTTP/1.1 200Told",
}
_FIELDS = {
    "blank in a name": b"X A: 1",
    "tab in a name": b"X\tA: 1",
    "control byte in a name": b"X\x01A: 1",
    "delete in a name": b"X\x7fA: 1",
    "name that is no text": b"X\xffA: 1",
    "letter of another alphabet in a name": "X\u00e9A: 1".encode(),
    "blank after a name": b"X-A : 1",
    "tab after a name": b"X-A\t: 1",
    "control byte after a name": b"X-A\x0b: 1",
    "separator in a name": b"X(A): 1",
    "no name": b": 1",
    "no colon": b"X-A",
    "blank after the name of the length": b"Content-Length : 3",
    "control byte in a value": b"X-A: a\x01b",
    "vertical tab in a value": b"X-A: a\x0bb",
    "escape at the end of a value": b"X-A: a\x1b",
    "delete in a value": b"X-A: a\x7fb",
    "null in a value": b"X-A: a\x00b",
    "carriage return in a value": b"X-A: a\rb",
}
_FRAMINGS = {
    "two lengths": (b"Content-Length: 5", b"Content-Length: 3"),
    "length with a sign": (b"Content-Length: +5",),
    "negative length": (b"Content-Length: -5",),
    "hexadecimal length": (b"Content-Length: 0x5",),
    "length of many digits": (b"Content-Length: 99999999999999999999999",),
    "no length after its name": (b"Content-Length:",),
    "length and chunks": (_LENGTH[:-2], b"Transfer-Encoding: chunked"),
    "coding": (b"Transfer-Encoding: gzip",),
    "coding and chunks": (b"Transfer-Encoding: gzip, chunked",),
    "chunks and a coding": (b"Transfer-Encoding: chunked, gzip",),
    "chunks twice": (b"Transfer-Encoding: chunked, chunked",),
    "unknown coding": (b"Transfer-Encoding: chunky",),
    "identity": (b"Transfer-Encoding: identity",),
}
# Bytes that an endpoint sends in place of an answer, by what is wrong.
BROKEN = {
    **{name: _status(line) for name, line in _STATUS_LINES.items()},
    **{name: _field(line) for name, line in _FIELDS.items()},
    **{name: _framing(*lines) for name, lines in _FRAMINGS.items()},
    "chunks in an answer of HTTP/1.0": _framing(
        b"Transfer-Encoding: chunked", begin=b"HTTP/1.0 200 Told\r\n"
    ),
    "interim answers without end": 1000 * b"HTTP/1.1 103 Told\r\n\r\n"
    + _status(b"HTTP/1.1 200 Told"),
    "interim answer with status zero": b"HTTP/1.1 000 Told\r\n\r\n"
    + _status(b"HTTP/1.1 200 Told"),
}
# Whole answers with the body `BODY`, and their status.
SOUND = {
    "no reason": (200, _status(b"HTTP/1.1 200 ")),
    "no blank after the status": (200, _status(b"HTTP/1.1 200")),
    "reason of two words": (200, _status(b"HTTP/1.1 200 Not quite")),
    "last status of clients": (499, _status(b"HTTP/1.1 499 Told")),
    "last status": (599, _status(b"HTTP/1.1 599 Told")),
    "version 1.0": (200, _status(b"HTTP/1.0 200 Told")),
    "tab in a value": (200, _field(b"X-A: a\tb")),
    "text in a value": (200, _field("X-A: \u00e9\u4e2d".encode())),
    "other bytes in a value": (200, _field(b"X-A: a\xffb")),
    "other bytes in the reason": (200, _status(b"HTTP/1.1 200 To\xffld")),
    "folded value": (200, _field(b"X-A: a\r\n b\r\n\tc")),
    "repeated fields": (200, _field(b"X-A: 1\r\nX-A: 2")),
    "empty value": (200, _field(b"X-A:")),
    "blanks around a value": (200, _field(b"X-A: \t 1 \t")),
    "all letters of names": (200, _field(b"x!#$%&'*+-.^_`|~09: 1")),
    "line breaks alone": (
        200,
        _status(b"HTTP/1.1 200 Told").replace(b"\r\n", b"\n"),
    ),
    "interim answers": (
        200,
        2 * b"HTTP/1.1 103 Told\r\nX-A: 1\r\n\r\n"
        + _status(b"HTTP/1.1 200 Told"),
    ),
    "end of the connection": (200, _OK + _PROOF + b"\r\n" + BODY),
    "chunks": (
        200,
        _framing(b"Transfer-Encoding: Chunked")[:-5]
        + b"2;a=b\r\na:\r\n3\r\nb\n\n\r\n0\r\nX-Sum: 1\r\n\r\n",
    ),
}


def broken(name):
    """Return the script of an endpoint that sends a broken answer."""

    def script(_received):
        yield BROKEN[name]

    return script


def carrying(answer, body):
    """Return an answer of `BROKEN` or `SOUND` with another body."""

    def length(found):
        number = b"%x" if found[1].endswith(b"0x") else b"%d"
        return found[1] + number % len(body)

    return _LENGTH_OF_BODY.sub(length, answer).replace(BODY, body)
