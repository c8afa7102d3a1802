"""The proxy injects its faults, on which other tests rely."""

import asyncio
import contextlib

import pytest

from testkit import proxy as proxies

LONG_S = 20.0
SHORT_S = 0.3


@contextlib.asynccontextmanager
async def echo():
    """Run an echo server behind a proxy."""
    received = []

    async def serve(reader, writer):
        while data := await reader.read(100):
            received.append(data)
            writer.write(data)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    proxy = proxies.Proxy(target=f"127.0.0.1:{port}")
    await proxy.start()
    yield proxy, received
    await proxy.stop()
    server.close()


async def ask(proxy, source="127.0.0.1", limit=LONG_S):
    host, _, port = proxy.address.rpartition(":")
    reader, writer = await asyncio.open_connection(
        host, int(port), local_addr=(source, 0)
    )
    writer.write(b"x")
    try:
        return await asyncio.wait_for(reader.read(1), limit)
    except (TimeoutError, ConnectionError):
        return None
    finally:
        writer.transport.abort()


@pytest.mark.parametrize(
    "fault, answer, effects",
    [
        ({}, b"x", 1),
        ({"refuse": True}, b"", 0),
        ({"freeze": True}, None, 0),
        ({"lose_answers": 1}, b"", 1),
        ({"blocked": {"127.0.0.9"}}, None, 0),
    ],
)
async def test_each_fault_is_shown(fault, answer, effects):
    async with echo() as (proxy, received):
        for name, value in fault.items():
            setattr(proxy, name, value)
        limit = SHORT_S if answer is None else LONG_S
        result = await ask(proxy, "127.0.0.9", limit)
        assert (result or None) == (answer or None)
        assert len(received) == effects


async def test_only_blocked_sources_are_cut_off():
    async with echo() as (proxy, _):
        proxy.blocked = {"127.0.0.9"}
        assert await ask(proxy, "127.0.0.8") == b"x"
        assert await ask(proxy, "127.0.0.9", SHORT_S) is None
        proxy.blocked = set()
        assert await ask(proxy, "127.0.0.9") == b"x"
