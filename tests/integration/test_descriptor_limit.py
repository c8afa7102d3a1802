"""Instances to which callers open more connections than it may have."""

import asyncio
import contextlib
import time

import aiohttp
import pytest

from testkit import crowds
from testkit import gateways
from testkit import proxy as proxies
from testkit import wiredata
from tests.integration import harness

# Within which a configuration has to be in force.
APPLY_S = 2.5
# For callers to open their connections.
CROWD_S = 3.0
# For the daemon to notice that its connections to the store were closed.
SETTLE_S = 1.0
NEW_URL = "http://{}/added/1"
PARTIAL_HEAD = b"GET /lookup/1 HTTP/1.1\r\nHost: pages.example\r\nX-A: "
# What each of the connections sends.
each_crowd = pytest.mark.parametrize(
    "sent",
    [
        pytest.param(b"", id="silent"),
        pytest.param(PARTIAL_HEAD, id="partial-head"),
    ],
)


@contextlib.asynccontextmanager
async def crowded(store, folder, *, sent=b""):
    """Run a daemon and open more connections to it than it may have.

    Yields the daemon, a proxy between it and the store, and a session with a
    connection that was used before.
    """
    proxy = proxies.Proxy(target=store.address)
    await proxy.start()
    async with (
        harness.endpoints(store, harness.answer_ok),
        gateways.gateways(
            folder, [{"table": proxy.address}], program=crowds.PROGRAM
        ) as (gateway,),
        aiohttp.ClientSession() as session,
    ):
        await gateway.wait_ready()
        assert (await harness.call(session, gateway))[0] == 200
        crowd = asyncio.create_task(
            crowds.Crowd(gateway.public, sent=sent).run()
        )
        await asyncio.sleep(CROWD_S)
        yield gateway, proxy, session
        crowd.cancel()
        await asyncio.gather(crowd, return_exceptions=True)
    await proxy.stop()


def with_added_route():
    """Return a configuration with one route more."""
    added = wiredata.route(name="added", prefix="/added/")
    return wiredata.configuration(9, routes=[wiredata.route(), added])


@each_crowd
async def test_crowded_instance_gets_new_configurations(store, tmp_path, sent):
    """Without a free descriptor it could not connect to the store again."""
    async with crowded(store, tmp_path, sent=sent) as (
        gateway,
        proxy,
        session,
    ):
        proxy.reset()
        await asyncio.sleep(SETTLE_S)
        store.put("op", "config", with_added_route())
        await asyncio.sleep(APPLY_S)
        status, _, _ = await harness.call(session, gateway, url=NEW_URL)
    assert status == 200


@each_crowd
async def test_crowded_instance_stays_ready(store, tmp_path, sent):
    """It refused the connections of readiness checks as well."""
    async with crowded(store, tmp_path, sent=sent) as (gateway, _, _):
        answers = []
        for _ in range(10):
            answers.append(await gateway.is_ready())
            await asyncio.sleep(0.1)
    assert all(answers)


@each_crowd
async def test_crowded_instance_connects_to_endpoints(store, tmp_path, sent):
    """Requests on open connections got 503 for lack of a descriptor."""
    async with crowded(store, tmp_path, sent=sent) as (gateway, _, session):
        statuses = [
            (await harness.call(session, gateway))[0] for _ in range(10)
        ]
    assert statuses == 10 * [200]


@each_crowd
async def test_crowded_instance_serves_new_connections(store, tmp_path, sent):
    """New connections were refused while idle ones were kept."""
    statuses = []
    async with crowded(store, tmp_path, sent=sent) as (gateway, _, _):
        for _ in range(10):
            async with aiohttp.ClientSession() as session:
                try:
                    async with asyncio.timeout(1.0):
                        answer = await harness.call(session, gateway)
                except (aiohttp.ClientError, TimeoutError):
                    statuses.append(None)
                    continue
                statuses.append(answer[0])
    assert statuses == 10 * [200]


@pytest.mark.parametrize(
    "sent, limit",
    [
        pytest.param(b"", "idle_timeout_ms", id="silent"),
        pytest.param(PARTIAL_HEAD, "header_timeout_ms", id="partial-head"),
    ],
)
async def test_connections_that_send_no_request_are_closed(
    store, tmp_path, sent, limit
):
    """Connections were kept that never sent a request."""
    document = wiredata.configuration(2)
    limits = {**document["limits"], limit: 1000}
    store.put("op", "config", {**document, "limits": limits})
    async with harness.serving(store, tmp_path) as (gateway, _):
        host, _, port = gateway.public.rpartition(":")
        started_at = time.monotonic()
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(sent)
        async with asyncio.timeout(5.0):
            assert await reader.read() == b""
        took_s = time.monotonic() - started_at
        writer.transport.abort()
    assert took_s >= 0.9
