"""The limits of the configuration, at their edges and beyond them."""

import asyncio
import contextlib
import json

import pytest

from standins import scripted
from testkit import held
from testkit import misbehaving
from testkit import wiredata
from tests.integration import harness

MEMORY_MB = 160
HEADER_BYTES = 16384
BODY_BYTES = 200_000
TIMEOUT_S = 20.0
# Of the smallest machines; allows some 500 connections of callers.
MAX_DESCRIPTORS = 1638
CONNECTIONS = 700
# Within which a changed configuration is in force.
APPLY_S = 2.5


class Endpoint:
    """Answers each request, and keeps what it has seen."""

    def __init__(self):
        self.seen = []

    def __call__(self, seen):
        """Answer a request."""
        self.seen.append(seen)
        yield scripted.answer(200, b"whole", **{harness.SEAL: "proof"})


def configure(store, version=2, **limits):
    """Store a configuration with other limits."""
    document = wiredata.configuration(version)
    changed = {
        **document["limits"],
        "max_header_bytes": HEADER_BYTES,
        "max_body_bytes": BODY_BYTES,
        **limits,
    }
    store.put("op", "config", {**document, "limits": changed})


def head(size, *, field_bytes, **headers):
    """Return a head of exactly so many bytes.

    Counted are the request line and the fields with their line breaks, not
    the empty line at the end.
    """
    target = misbehaving.Target(
        "", "/lookup/1", wiredata.head(deadline_ms="15000")
    )
    result = misbehaving.opening(target, **headers)
    # A last field fills what is left.
    while size - len(result) >= 2 * field_bytes:
        result += b"X-F: %s\r\n" % (b"a" * (field_bytes - 7))
    result += b"X-F: %s\r\n" % (b"a" * (size - len(result) - 7))
    assert len(result) == size
    return result + b"\r\n"


async def exchange(address, *pieces):
    """Send a request; return the status and the fields of its response."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(TIMEOUT_S):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
            raw = await reader.readuntil(b"\r\n\r\n")
            fields = raw.decode().lower().split("\r\n")
            status = int(fields[0].split()[1])
            length = [f for f in fields if f.startswith("content-length:")]
            body = await reader.readexactly(int(length[0].split()[1]))
        finally:
            writer.transport.abort()
    return status, fields, body


@contextlib.asynccontextmanager
async def serving(store, folder, **settings):
    """Run an instance with limited memory and one endpoint."""
    endpoint = Endpoint()
    async with (
        harness.endpoints(store, endpoint),
        harness.serving(store, folder, memory_mb=MEMORY_MB, **settings) as (
            gateway,
            session,
        ),
    ):
        yield gateway, session, endpoint


@pytest.mark.parametrize("field_bytes", [8, 100, 1000, 15_000])
async def test_head_at_the_limit_is_served(store, tmp_path, field_bytes):
    """Heads of more than 128 fields were rejected whatever their size."""
    configure(store)
    async with serving(store, tmp_path) as (gateway, _, _):
        request = head(HEADER_BYTES, field_bytes=field_bytes, Content_Length=0)
        status, _, body = await exchange(gateway.public, request)
    assert (status, body) == (200, b"whole")


@pytest.mark.parametrize("field_bytes", [100, 1000, 15_000])
async def test_head_over_the_limit_is_refused(store, tmp_path, field_bytes):
    """The limit of the configuration was read and never used."""
    configure(store)
    async with serving(store, tmp_path) as (gateway, session, endpoint):
        request = head(
            3 * HEADER_BYTES, field_bytes=field_bytes, Content_Length=0
        )
        status, fields, body = await exchange(gateway.public, request)
        assert status == 431
        assert "content-type: application/problem+json" in fields
        assert b"aaaa" not in body
        assert endpoint.seen == []
        assert (await harness.call(session, gateway))[0] == 200


async def test_raised_limit_of_heads_holds(store, tmp_path):
    """The limits of the HTTP library held in place of a higher one."""
    # The endpoint takes 64 kB.
    configure(store, max_header_bytes=60_000)
    async with serving(store, tmp_path) as (gateway, _, _):
        request = head(60_000, field_bytes=50_000, Content_Length=0)
        status, _, _ = await exchange(gateway.public, request)
    assert status == 200


async def test_changed_limit_of_heads_holds(store, tmp_path):
    """A limit that is lowered later was not in force."""
    configure(store)
    request = head(HEADER_BYTES, field_bytes=1000, Content_Length=0)
    async with serving(store, tmp_path) as (gateway, _, _):
        before, _, _ = await exchange(gateway.public, request)
        configure(store, 3, max_header_bytes=4096)
        await asyncio.sleep(APPLY_S)
        after, _, _ = await exchange(gateway.public, request)
    assert (before, after) == (200, 431)


def chunks(body, size):
    """Return a body in chunks."""
    parts = [body[n : n + size] for n in range(0, len(body), size)]
    encoded = [b"%x\r\n%s\r\n" % (len(part), part) for part in parts]
    return b"".join([*encoded, b"0\r\n\r\n"])


@pytest.mark.parametrize("size", [1, 100, 1 << 20])
async def test_chunked_body_at_the_limit_is_served(store, tmp_path, size):
    """Bodies in small chunks are served as well."""
    configure(store)
    body = b"b" * BODY_BYTES
    async with serving(store, tmp_path) as (gateway, _, endpoint):
        request = head(
            1000, field_bytes=100, Transfer_Encoding="chunked"
        ) + chunks(body, size)
        status, _, _ = await exchange(gateway.public, request)
    assert status == 200
    assert [seen.body for seen in endpoint.seen] == [body]


async def test_trailers_of_a_body_are_left_out(store, tmp_path):
    """A few trailers after a body do no harm."""
    configure(store)
    async with serving(store, tmp_path) as (gateway, _, endpoint):
        request = head(1000, field_bytes=100, Transfer_Encoding="chunked")
        body = b"5\r\nhello\r\n0\r\nX-Sum: 1\r\n\r\n"
        status, _, _ = await exchange(gateway.public, request + body)
    assert status == 200
    assert [seen.body for seen in endpoint.seen] == [b"hello"]


@pytest.mark.parametrize(
    "broken",
    [b"zz\r\nhello\r\n", b"5\r\nhello\r\n0\r\nX-Long: " + b"a" * 40_000],
    ids=["chunk", "trailer"],
)
async def test_broken_body_is_refused_at_once(store, tmp_path, broken):
    """The request waited for its deadline, and got 503."""
    configure(store)
    async with serving(store, tmp_path) as (gateway, _, endpoint):
        request = head(1000, field_bytes=100, Transfer_Encoding="chunked")
        status, _, _ = await exchange(gateway.public, request + broken)
    assert status in (400, 431)
    assert endpoint.seen == []


async def test_empty_line_between_requests_is_left_out(store, tmp_path):
    """An empty line after a request closed its connection early."""
    configure(store, header_timeout_ms=1000)
    request = head(1000, field_bytes=100, Content_Length=0)
    async with serving(store, tmp_path) as (gateway, _, _):
        host, _, port = gateway.public.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        async with asyncio.timeout(TIMEOUT_S):
            writer.write(request + b"\r\n")
            await reader.readuntil(b"whole")
            # Longer than a head may take.
            await asyncio.sleep(3.0)
            writer.write(request)
            await reader.readuntil(b"whole")
        writer.transport.abort()


async def test_long_id_makes_no_long_log_lines(store, tmp_path):
    """Each of several lines repeated an id of 15 kB."""
    configure(store)
    target = misbehaving.Target(
        "", "/lookup/1", wiredata.head("r" * 15_000, deadline_ms="15000")
    )
    request = misbehaving.opening(target, Content_Length=0) + b"\r\n"
    async with serving(store, tmp_path) as (gateway, _, endpoint):
        status, _, _ = await exchange(gateway.public, request)
        assert status == 200
        # The endpoint gets it whole.
        assert len(endpoint.seen) == 1
        assert await gateway.stop() == 0
    lines = (tmp_path / "edge-1.log").read_text().splitlines()
    assert max(map(len, lines)) < 4096
    assert any(json.loads(line)["event"] == "answered" for line in lines)


async def test_request_for_too_many_pieces_is_refused(store, tmp_path):
    """Callers were told to come again, or that it may have run."""
    stages = [{"service": "first", "after": [], "size_bytes": 8000}]
    route = wiredata.route(stages=stages, timeout_ms=15_000)
    services = [wiredata.service(), wiredata.piece_service("first")]
    store.put(
        "op",
        "config",
        wiredata.configuration(2, routes=[route], services=services),
    )
    first = scripted.Endpoint(
        harness.pieces_script(lambda _item: {"handle": "127.0.0.1:1/a"})
    )
    await first.start()
    store.put("servers", "i-9", wiredata.beat(first.address, service="first"))
    async with serving(store, tmp_path) as (gateway, session, endpoint):
        for count in ("1000000", "-1"):
            headers = wiredata.head(
                pieces=count, piece_key="k", deadline_ms="15000"
            )
            status, _, _ = await harness.call(
                session, gateway, "POST", headers=headers
            )
            assert status == 400
        assert endpoint.seen == []
        assert held.peak_memory_mb(gateway.process.pid) < MEMORY_MB
    await first.stop()


@pytest.mark.parametrize("field_bytes", [8, 15_000])
async def test_many_connections_with_heads_take_little(
    store, tmp_path, field_bytes
):
    """Heads within the limit filled the memory, from connections enough."""
    configure(store)
    partial = head(HEADER_BYTES, field_bytes=field_bytes)[:-4]
    async with serving(store, tmp_path, max_descriptors=MAX_DESCRIPTORS) as (
        gateway,
        session,
        _,
    ):
        host, _, port = gateway.public.rpartition(":")
        writers = []
        for _ in range(CONNECTIONS):
            _, writer = await asyncio.open_connection(host, int(port))
            writers.append(writer)
            writer.write(partial)
            await asyncio.sleep(0.002)
        status, _, _ = await harness.call(session, gateway)
        peak_mb = held.peak_memory_mb(gateway.process.pid)
        assert gateway.process.returncode is None
        for writer in writers:
            writer.transport.abort()
    assert status == 200
    assert peak_mb < MEMORY_MB


@pytest.mark.parametrize(
    "form", ["arbitrary-bytes", "trailers", "one-byte-chunks", "fat-head"]
)
async def test_instance_stops_beside_a_crowd(store, tmp_path, form):
    """An instance stops within its grace period, whatever clients send."""
    configure(store)
    async with serving(store, tmp_path) as (gateway, _, _):
        target = misbehaving.Target(
            gateway.public, "/lookup/1", wiredata.head(deadline_ms="15000")
        )
        crowd = asyncio.create_task(
            misbehaving.Crowd(target=target, form=form).run()
        )
        await asyncio.sleep(1.0)
        assert await gateway.stop() == 0
        crowd.cancel()
        await asyncio.gather(crowd, return_exceptions=True)
