"""Clients that do not keep to the protocol or to limits, for tests."""

import asyncio
import contextlib
import itertools
import random
import typing

from sycamoreshed.kernel import registry

__all__ = ["COUNT", "FORMS", "Crowd", "Target", "opening"]

COUNT = 60
# What a client sends at most, over all of its connections.
MAX_BYTES = 24_000_000
# Connections that a client opens one after the other if it is refused.
MAX_CONNECTIONS = 20
# After which all clients leave.
PLAY_S = 8.0
PIECE_BYTES = 65536

# What a client sends, by name: functions that take a `Target` and a random
# generator, and yield bytes, or seconds for which the client pauses.
FORMS = registry.Registry(kind="form of misbehaviour")


class Target(typing.NamedTuple):
    """Where requests are sent, and what makes them complete.

    Parameters
    ----------
    address : str
        ``IP:port``.
    path : str
    headers : dict of str to str
    """

    address: str
    path: str
    headers: dict


def opening(target, *, method="POST", **headers):
    """Return a head without its last line break.

    Parameters
    ----------
    **headers
        Further fields, with underscores for dashes.
    """
    lines = [f"{method} {target.path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in target.headers.items()]
    lines += [
        f"{name.replace('_', '-')}: {value}" for name, value in headers.items()
    ]
    return "\r\n".join([*lines, ""]).encode()


def _fields(count, size):
    return [b"X-F%d: %s\r\n" % (n, b"a" * size) for n in range(count)]


@FORMS.register("fat-head-without-end")
def fat_head_without_end(target, _rng):
    """A head of many long fields, not ended."""
    yield opening(target)
    yield from _fields(110, 31_000)


@FORMS.register("fat-head")
def fat_head(target, _rng):
    """A head of many long fields, whose body does not come."""
    yield opening(target, Content_Length=10)
    yield from _fields(110, 31_000)
    yield b"\r\n"


@FORMS.register("many-fields")
def many_fields(target, _rng):
    """Short fields without end."""
    yield opening(target)
    for number in itertools.count():
        yield b"".join(b"a%d:b\r\n" % (number + n) for n in range(1000))


@FORMS.register("field-without-end")
def field_without_end(target, _rng):
    """The value of a field that does not end."""
    yield opening(target) + b"X-Long: "
    yield from itertools.repeat(b"a" * PIECE_BYTES)


@FORMS.register("name-without-end")
def name_without_end(target, _rng):
    """The name of a field that does not end."""
    yield opening(target)
    yield from itertools.repeat(b"a" * PIECE_BYTES)


@FORMS.register("line-without-end")
def line_without_end(_target, _rng):
    """A request line that does not end."""
    yield b"GET /"
    yield from itertools.repeat(b"a" * PIECE_BYTES)


@FORMS.register("empty-lines")
def empty_lines(_target, _rng):
    """Line breaks before a request, without end."""
    yield from itertools.repeat(b"\r\n" * (PIECE_BYTES // 2))


@FORMS.register("trailers")
def trailers(target, _rng):
    """Many short trailers after a body, without end."""
    yield opening(target, Transfer_Encoding="chunked")
    yield b"\r\n5\r\nhello\r\n0\r\n"
    for number in itertools.count():
        yield b"".join(b"a%d:b\r\n" % (number + n) for n in range(1000))


@FORMS.register("trailer-without-end")
def trailer_without_end(target, _rng):
    """A trailer that does not end."""
    yield opening(target, Transfer_Encoding="chunked")
    yield b"\r\n5\r\nhello\r\n0\r\nX-Long: "
    yield from itertools.repeat(b"a" * PIECE_BYTES)


@FORMS.register("one-byte-chunks")
def one_byte_chunks(target, _rng):
    """A body in chunks of one byte, without end."""
    yield opening(target, Transfer_Encoding="chunked") + b"\r\n"
    yield from itertools.repeat(b"1\r\na\r\n" * (PIECE_BYTES // 6))


@FORMS.register("chunk-extension-without-end")
def chunk_extension_without_end(target, _rng):
    """An extension of a chunk that does not end."""
    yield opening(target, Transfer_Encoding="chunked") + b"\r\n5;a="
    yield from itertools.repeat(b"a" * PIECE_BYTES)


@FORMS.register("body-without-end")
def body_without_end(target, _rng):
    """A body in large chunks, without end."""
    yield opening(target, Transfer_Encoding="chunked") + b"\r\n"
    chunk = b"%x\r\n%s\r\n" % (PIECE_BYTES, b"a" * PIECE_BYTES)
    yield from itertools.repeat(chunk)


@FORMS.register("arbitrary-bytes")
def arbitrary_bytes(_target, rng):
    """Bytes that are no request."""
    while True:
        yield rng.randbytes(PIECE_BYTES)


@FORMS.register("bytes-after-a-request")
def bytes_after_a_request(target, rng):
    """A whole request, and then bytes that are none."""
    yield opening(target, method="GET") + b"\r\n"
    while True:
        yield rng.randbytes(PIECE_BYTES)


@FORMS.register("requests-without-pause")
def requests_without_pause(target, _rng):
    """Whole requests, without waiting for their responses."""
    request = opening(target, method="GET") + b"\r\n"
    yield from itertools.repeat(request * (PIECE_BYTES // len(request)))


@FORMS.register("requests-with-long-heads")
def requests_with_long_heads(target, _rng):
    """Requests with long heads, without waiting for their responses."""
    request = opening(target, method="GET", X_Long="a" * 12_000) + b"\r\n"
    yield from itertools.repeat(request)


@FORMS.register("upgrade")
def upgrade(target, _rng):
    """A request for another protocol, and then bytes without end."""
    yield opening(
        target, method="GET", Upgrade="websocket", Connection="Upgrade"
    )
    yield b"\r\n"
    yield from itertools.repeat(b"a" * PIECE_BYTES)


@FORMS.register("slow-head")
def slow_head(target, _rng):
    """A head of which a byte comes now and then."""
    for byte in opening(target):
        yield bytes([byte])
        yield 0.3


@FORMS.register("wild-values")
def wild_values(target, rng):
    """Fields that are short enough, with values nobody expects."""
    values = [
        "9" * 5000,
        "9" * 400,
        "a1:" + "9" * 5000,
        "-1",
        "1e400",
        "nan",
        "\u00ff" * 900,
        ",".join(f"{n:x}:1" for n in range(1500)),
        ",:,:" * 2000,
    ]
    names = ("Deadline-Ms", "Prefix-Hash", "Token-Usage", "Pieces", "Model")
    for number in itertools.count():
        name = "X_Sycamoreshed_" + rng.choice(names).replace("-", "_")
        other = f"{number}" + "i" * 4000
        wild = {name: rng.choice(values), "X_Other": other}
        yield opening(target, method="GET", **wild) + b"\r\n"


@FORMS.register("bodies-without-sense")
def bodies_without_sense(target, rng):
    """Whole requests whose bodies are no messages."""
    bodies = [b"[" * 5000, b"null", b"{}", b'"' + b"a" * 5000 + b'"', b"\xff"]
    while True:
        body = rng.choice(bodies)
        yield opening(target, Content_Length=len(body)) + b"\r\n" + body


class Crowd:
    """Clients that send the same form, read nothing, and then leave.

    A client that is refused opens another connection.

    Parameters
    ----------
    target : Target
    form : str
        Of `FORMS`.
    seed : int
    count : int
    """

    def __init__(self, *, target, form, seed=1, count=COUNT):
        self._target = target
        self._form = FORMS.get(form)
        self._seed = seed
        self._count = count

    async def run(self):
        """Play, and return when all clients have left."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(PLAY_S):
                await asyncio.gather(
                    *(self._run_client(n) for n in range(self._count))
                )

    async def _run_client(self, number):
        rng = random.Random(self._seed * 1000 + number)
        left = MAX_BYTES
        for _ in range(MAX_CONNECTIONS):
            left -= await self._send(rng, left)
            if left <= 0:
                return

    async def _send(self, rng, max_bytes):
        """Send on one connection; return how many bytes were written."""
        host, _, port = self._target.address.rpartition(":")
        sent = 0
        try:
            _, writer = await asyncio.open_connection(
                host, int(port), limit=PIECE_BYTES
            )
        except OSError:
            await asyncio.sleep(0.05)
            return 0
        try:
            for piece in self._form(self._target, rng):
                if isinstance(piece, float):
                    await asyncio.sleep(piece)
                    continue
                writer.write(piece)
                await writer.drain()
                # It does not wait while the daemon reads fast enough.
                await asyncio.sleep(0)
                sent += len(piece)
                if sent >= max_bytes or writer.is_closing():
                    return sent
            # What does not end by itself is left open until all leave.
            await writer.wait_closed()
        except OSError:
            return sent
        finally:
            writer.transport.abort()
        return sent
