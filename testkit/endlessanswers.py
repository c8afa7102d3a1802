"""Answers without end, and bytes without end that are no answer."""

import gzip
import json

__all__ = ["BODIES", "HEADS", "STREAMS", "endless"]

NAME = b"X-Sycamoreshed-Response-Seal"
PIECE_BYTES = 65536
# Sent in a connection at most, unless it is closed before.
MAX_BYTES = 24_000_000
FAT_FIELD_BYTES = 31_000
_OK = b"HTTP/1.1 200 Told\r\n" + NAME + b": proof\r\n"
_FAILED = _OK.replace(b"200", b"500")
_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


def _repeated(piece):
    return piece * max(1, PIECE_BYTES // len(piece))


# What is sent once, and what is sent again and again.
HEADS = {
    "zeros": (b"", _repeated(b"\0")),
    "letters": (b"", _repeated(b"a")),
    "line breaks": (b"", _repeated(b"\r\n")),
    "blanks": (b"", _repeated(b" ")),
    "reason": (b"HTTP/1.1 200 ", _repeated(b"a")),
    "field": (_OK + b"Field: ", _repeated(b"a")),
    "name of a field": (_OK, _repeated(b"a")),
    "fields": (_OK, _repeated(b"A: b\r\n")),
    "fat fields": (_OK, _repeated(b"A: %s\r\n" % (b"b" * FAT_FIELD_BYTES))),
    "interim answers": (b"", _repeated(b"HTTP/1.1 103 Told\r\nA: b\r\n\r\n")),
    "zeros after a head": (_OK + b"\r\n", _repeated(b"\0")),
}
_BODIES = {
    "end of the connection": (b"\r\n", _repeated(b"a")),
    "length": (b"Content-Length: 99999999999\r\n\r\n", _repeated(b"a")),
    "chunks": (_CHUNKED, b"2000\r\n%s\r\n" % (b"a" * 8192)),
    "one chunk": (_CHUNKED + b"fffffffff\r\n", _repeated(b"a")),
    "chunks of one byte": (_CHUNKED, _repeated(b"1\r\na\r\n")),
    "size of a chunk": (_CHUNKED, _repeated(b"0")),
    "extension of a chunk": (_CHUNKED + b"1;", _repeated(b"a")),
    "extensions of chunks": (
        _CHUNKED,
        _repeated(b"1;%s\r\na\r\n" % (b"b" * 1000)),
    ),
    "trailer": (_CHUNKED + b"0\r\nA: ", _repeated(b"a")),
    "trailers": (_CHUNKED + b"0\r\n", _repeated(b"A: b\r\n")),
    "fat trailers": (
        _CHUNKED + b"0\r\n",
        _repeated(b"A: %s\r\n" % (b"b" * FAT_FIELD_BYTES)),
    ),
}
BODIES = {
    **{name: (_OK + begin, again) for name, (begin, again) in _BODIES.items()},
    **{
        f"{name} of a failure": (_FAILED + begin, again)
        for name, (begin, again) in _BODIES.items()
    },
}
# Of streams, besides the bodies.
STREAMS = {
    "event": (_OK + b"\r\nid: 0\ndata: ", _repeated(b"a")),
    "lines of an event": (_OK + b"\r\nid: 0\n", _repeated(b"data: a\n")),
    "empty events": (_OK + b"\r\n", _repeated(b"\n\n")),
    "events without id": (_OK + b"\r\n", _repeated(b"data: a\n\n")),
    "digits of an id": (_OK + b"\r\nid: ", _repeated(b"1")),
    "events of one id": (_OK + b"\r\n", _repeated(b"id: 0\n\n")),
}
# Whole answers that take much more memory than their bytes once decoded.
DENSE = {
    "empty lists": b"[" + b"[]," * 5_000_000 + b"[]]",
    "empty objects": b"[" + b"{}," * 5_000_000 + b"{}]",
    "numbers": b"[" + b"1.5," * 3_900_000 + b"1]",
    "keys": json.dumps({f"{n:x}": 0 for n in range(900_000)}).encode(),
}
# Whole, and much larger when decompressed.
COMPRESSED = gzip.compress(b"[" + b" " * 200_000_000 + b"]", 9)


def endless(begin, again):
    """Return the script of an endpoint that sends bytes without end."""

    def script(_received):
        yield begin
        for _ in range(MAX_BYTES // len(again)):
            yield again
        # Until the connection is closed.
        yield 60.0

    return script
