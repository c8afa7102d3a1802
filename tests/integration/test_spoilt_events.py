"""Engines that send wrong bytes within their streams, and go on."""

import asyncio

import pytest

from standins import scripted
from testkit import wiredata
from tests.integration import harness

DIGITS = b"9" * 5000
SPOILT = {
    "id": b"id: " + DIGITS + b"\ndata: 1\n\n",
    "field": DIGITS + b"\n\n",
    "nul": b"id: 1\x00\ndata: \x00\n\n",
    "not utf-8": b"id: \xff\xfe\ndata: \xff\n\n",
}
CALL_S = 8.0


def script(spoilt):
    """Return the script of an engine that spoils its second event."""

    def run(_received):
        yield scripted.stream_head(**{harness.SEAL: "proof"})
        yield harness.event(0)
        # The caller has the first event before the next one comes.
        yield 0.2
        yield spoilt
        yield 0.2
        yield harness.event(2)

    return run


async def exchange(address):
    """Send a request; return all bytes of the connection."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    fields = "".join(
        f"{name}: {value}\r\n" for name, value in wiredata.head("s-0").items()
    )
    target = harness.URL.format("x").removeprefix("http://x")
    writer.write(
        f"POST {target} HTTP/1.1\r\n{fields}Connection: close\r\n"
        "Content-Length: 0\r\n\r\n".encode()
    )
    raw = b""
    try:
        async with asyncio.timeout(CALL_S):
            while data := await reader.read(65536):
                raw += data
    except ConnectionResetError:
        # The instance closed the connection within its answer.
        pass
    finally:
        writer.close()
    return raw


@pytest.mark.parametrize("name", SPOILT)
async def test_spoilt_event_brings_no_second_response(store, tmp_path, name):
    """Within a stream came the head and body of an error response."""
    store.put("op", "config", harness.stream_route(max_attempts=1))
    async with (
        harness.endpoints(store, script(SPOILT[name])),
        harness.serving(store, tmp_path) as (gateway, _),
    ):
        raw = await exchange(gateway.public)
    assert raw.startswith(b"HTTP/1.1 200 ")
    assert raw.count(b"HTTP/1.1 ") == 1
    assert harness.event(0) in raw
