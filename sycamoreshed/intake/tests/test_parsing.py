"""What a connection may make a parser keep."""

import gzip

import pytest

from sycamoreshed.intake import refusals
from sycamoreshed.intake.tests import builders

HOST = b"Host: h\r\n"
GET = b"GET /%d HTTP/1.1\r\n" + HOST + b"\r\n"
POST = b"POST /p HTTP/1.1\r\n" + HOST + b"Content-Length: 5\r\n\r\nhello"
CHUNKED = (
    b"POST /c HTTP/1.1\r\n"
    + HOST
    + b"Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\n\r\n\r\r\n0\r\n"
)
BEGUN = b"POST /c HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n\r\n"
EXPECTED = [
    ("/1", b""),
    ("/p", b"hello"),
    ("/c", b"he\r\n\r"),
    ("/c", b"he\r\n\r"),
    ("/2", b""),
]
RAW = b"".join(
    (
        GET % 1,
        POST,
        CHUNKED + b"\r\n",
        b"\r\n\r\n",
        CHUNKED + b"X-Sum: 1\r\n\r\n",
        GET % 2,
    )
)


@pytest.mark.parametrize("size", [*range(1, 40), len(RAW)])
async def test_requests_are_the_same_however_they_arrive(size):
    """Each request is parsed once and whole, whatever it arrives with."""
    made = builders.make_input()
    assert await builders.feed(made.parser, RAW, size=size) == EXPECTED
    assert made.held == (0, 0)


async def test_what_follows_a_request_waits_for_its_response():
    """Requests that were sent ahead were all parsed and kept."""
    made = builders.make_input()
    messages, _, _ = made.parser.feed_data(100 * (GET % 1))
    assert len(messages) == 1
    waiting, in_progress = made.held
    assert waiting == 99 * len(GET % 1)
    assert in_progress > len(GET % 1)
    assert made.parser.record_response()
    assert len(made.parser.feed_data(b"")[0]) == 1


def fill(size):
    """Return a head with so many bytes of fields."""
    line = b"GET / HTTP/1.1\r\n"
    fields = HOST + b"X: " + (size - len(HOST) - 5) * b"a" + b"\r\n"
    return line + fields + b"\r\n"


async def test_head_at_the_limit_is_parsed():
    """The limit itself is allowed."""
    made = builders.make_input()
    head = fill(builders.HEADER_BYTES)
    assert len(made.parser.feed_data(head)[0]) == 1


@pytest.mark.parametrize(
    "raw",
    [
        fill(builders.HEADER_BYTES + 1),
        fill(10_000)[:-4],
        b"GET /" + 300 * b"a",
        b"GET / HTTP/1.1\r\n" + 100 * b"a:b\r\n",
        300 * b"\r\n",
    ],
    ids=["whole", "not ended", "line", "fields", "empty lines"],
)
@pytest.mark.parametrize("size", [1, 50, 20_000])
async def test_larger_head_is_refused(raw, size):
    """Only each field was limited, not the sum, nor empty lines."""
    made = builders.make_input()
    with pytest.raises(refusals.HeadRefused) as caught:
        await builders.feed(made.parser, raw, size=size)
    assert caught.value.failure is refusals.HEAD_TOO_LARGE
    assert made.held == (0, 0)
    # What follows is dropped.
    assert made.parser.feed_data(GET % 1) == ((), False, b"")
    assert made.held == (0, 0)


@pytest.mark.parametrize(
    "raw",
    [
        b"\x16\x03\x01",
        b"GET / HTTP/9.9\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: h\nX\n\n",
        b"GET http://[::1 HTTP/1.1\r\nHost: h\r\n\r\n",
    ],
)
async def test_what_is_no_head_is_refused(raw):
    """Bytes of other protocols were logged with a traceback."""
    made = builders.make_input()
    with pytest.raises(refusals.HeadRefused) as caught:
        made.parser.feed_data(raw)
    assert caught.value.failure is refusals.MALFORMED


@pytest.mark.parametrize(
    "raw, kind",
    [
        (b"zz\r\n", refusals.MALFORMED),
        (b"0\r\nX: " + 300 * b"a", refusals.HEAD_TOO_LARGE),
        (b"0\r\n" + 100 * b"a:b\r\n", refusals.HEAD_TOO_LARGE),
        (b"1;" + 300 * b"a", refusals.HEAD_TOO_LARGE),
    ],
    ids=["chunk", "trailer", "trailers", "extension"],
)
async def test_body_that_cannot_be_taken_fails_its_reader(raw, kind):
    """Handlers waited for the rest of a body until their deadline."""
    made = builders.make_input()
    ((_, payload),) = made.parser.feed_data(BEGUN)[0]
    # Each piece is looked at by itself.
    for start in range(0, len(raw), 50):
        made.parser.feed_data(raw[start : start + 50])
    assert payload.is_eof()
    with pytest.raises(refusals.BodyRefused) as caught:
        await payload.read()
    assert caught.value.failure is kind
    assert made.parser.is_done


async def test_head_without_room_is_refused():
    """Heads of many fields take more memory than their bytes."""
    made = builders.make_input(max_bytes=1000)
    with pytest.raises(refusals.HeadRefused) as caught:
        made.parser.feed_data(
            b"GET / HTTP/1.1\r\n" + HOST + 10 * b"a:b\r\n" + b"\r\n"
        )
    assert caught.value.failure is refusals.NO_MEMORY


class Bodies:
    """Allows some bytes."""

    def __init__(self, left):
        self._left = left
        self.is_released = False

    def try_add(self, size):
        """Add a part."""
        self._left -= size
        return self._left >= 0

    def release(self):
        """Remove all."""
        self.is_released = True


async def test_bodies_are_counted_until_the_response():
    """Bodies that the library reads for handlers counted nowhere."""
    bodies = Bodies(5)
    made = builders.make_input(bodies=bodies)
    ((_, payload),) = made.parser.feed_data(POST)[0]
    assert await payload.read() == b"hello"
    assert not bodies.is_released
    made.parser.record_response()
    assert bodies.is_released


async def test_body_without_room_fails_its_reader():
    """A request whose body does not fit in memory has not run."""
    made = builders.make_input(bodies=Bodies(4))
    ((_, payload),) = made.parser.feed_data(POST)[0]
    with pytest.raises(refusals.BodyRefused) as caught:
        await payload.read()
    assert caught.value.failure is refusals.NO_MEMORY


async def test_decompressed_body_is_counted():
    """A body of a few bytes may become one of megabytes."""
    made = builders.make_input(bodies=Bodies(100_000), auto_decompress=True)
    body = gzip.compress(bytes(1_000_000))
    head = b"POST /z HTTP/1.1\r\nHost: h\r\nContent-Encoding: gzip\r\n"
    length = b"Content-Length: %d\r\n\r\n" % len(body)
    ((_, payload),) = made.parser.feed_data(head + length + body)[0]
    with pytest.raises(refusals.BodyRefused) as caught:
        await payload.read()
    assert caught.value.failure is refusals.NO_MEMORY


async def test_body_of_tiny_chunks_is_paced():
    """Chunks of one byte took all of the processor's time."""
    made = builders.make_input(pauses=True)
    ((_, payload),) = made.parser.feed_data(BEGUN)[0]
    made.parser.feed_data(30_000 * b"1\r\na\r\n")
    before = payload.total_raw_bytes
    assert 0 < before < 30_000
    assert made.parser.is_full
    made.parser.resume()
    made.parser.feed_data(b"")
    assert payload.total_raw_bytes > before


async def test_body_of_large_chunks_is_not_paced():
    """Ordinary chunks cost nothing."""
    made = builders.make_input(pauses=True)
    made.parser.feed_data(BEGUN)
    for _ in range(200):
        made.parser.feed_data(b"100\r\n%s\r\n" % (256 * b"a"))
    assert made.units == 0
