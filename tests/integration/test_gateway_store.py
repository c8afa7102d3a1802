"""Cached state of the forwarding daemon while its store is faulty."""

import asyncio
import contextlib

import aiohttp

from standins import platformstore
from testkit import gateways
from testkit import wiredata
from tests.integration import harness

# From SIGTERM on: an outage of the store, and the end of the instance.
OUTAGE_S = 0.5
STOP_S = 2.5


async def test_nothing_is_served_before_a_configuration_is_known(tmp_path):
    """A process without peers starts while the store answers 503.

    It must not answer 404 for routes that exist.
    """
    store = platformstore.PlatformStore()
    await store.start()
    store.mood = platformstore.Mood(status=503)
    settings = {"table": store.address}
    async with gateways.gateways(tmp_path, [settings]) as (gateway,):
        async with aiohttp.ClientSession() as session:
            async with asyncio.timeout(10):
                while True:
                    with contextlib.suppress(aiohttp.ClientError):
                        status, _, _ = await harness.call(session, gateway)
                        break
                    await asyncio.sleep(0.05)
            assert status == 503
            assert not await gateway.is_ready()
            store.put("op", "config", wiredata.configuration())
            store.mood = platformstore.Mood()
            await gateway.wait_ready()
    await store.stop()


async def test_an_instance_registers_once_it_knows_what_to_do(tmp_path):
    """An instance registers only after it has read a configuration.

    Registered earlier, it would receive the staged requests of its zone
    without a list of services, and reject them.
    """
    table = "sycamoreshed-instances"
    store = platformstore.PlatformStore()
    await store.start()
    settings = {"table": store.address}
    async with gateways.gateways(tmp_path, [settings]) as (gateway,):
        async with asyncio.timeout(10):
            while not store.calls:
                await asyncio.sleep(0.05)
        await asyncio.sleep(0.5)
        assert not store.rows(table)
        store.put("op", "config", wiredata.configuration())
        await gateway.wait_ready()
        async with asyncio.timeout(2):
            while "edge-1" not in store.rows(table):
                await asyncio.sleep(0.05)
        await gateway.stop()
        assert store.rows(table)["edge-1"][-1] is True
    await store.stop()


async def test_instance_that_stops_tells_so_after_an_outage_of_the_store(
    store, tmp_path
):
    """Others used an instance until it ended, as one write had failed."""

    def wait(received):
        yield STOP_S
        yield from harness.answer_ok(received)

    table = "sycamoreshed-instances"
    store.put("op", "config", wiredata.configuration())
    async with (
        harness.endpoints(store, wait) as (endpoint,),
        harness.serving(store, tmp_path) as (gateway, session),
    ):
        async with asyncio.timeout(5):
            while "edge-1" not in store.rows(table):
                await asyncio.sleep(0.05)
        call = asyncio.create_task(harness.call(session, gateway))
        while not endpoint.seen:
            await asyncio.sleep(0.01)
        store.mood = platformstore.Mood(status=503)
        gateway.process.terminate()
        await asyncio.sleep(OUTAGE_S)
        store.mood = platformstore.Mood()
        async with asyncio.timeout(STOP_S - OUTAGE_S):
            while store.rows(table)["edge-1"][-1] is not True:
                await asyncio.sleep(0.05)
        assert (await call)[0] == 200


async def test_a_revoked_key_reaches_who_the_store_turns_away(tmp_path):
    """The store rejects one instance while the operator revokes a key.

    The instance must receive the change from a peer, or it accepts the
    former member's key for as long as the store rejects its calls.
    """
    store = platformstore.PlatformStore()
    rejecting = platformstore.PlatformStore()
    await store.start()
    await rejecting.start()
    # The two act as one store, whose later rows have higher versions.
    store.version = 100
    for each in (store, rejecting):
        each.put("op", "config", wiredata.configuration())
    documents = [
        {"instance": "edge-1", "table": store.address},
        {"instance": "edge-2", "table": rejecting.address},
    ]
    async with (
        harness.endpoints(store, harness.answer_ok) as (endpoint,),
        gateways.gateways(tmp_path, documents) as (connected, cut_off),
    ):
        rejecting.put("servers", "i-0", wiredata.beat(endpoint.address))
        cut_off.document["peers"] = [connected.control]
        cut_off.write_settings()
        await connected.wait_ready()
        await cut_off.wait_ready()
        cut_off.process.send_signal(1)
        rejecting.mood = platformstore.Mood(status=429)
        store.put("op", "config", wiredata.configuration(9, tenants=[]))
        async with aiohttp.ClientSession() as session:
            async with asyncio.timeout(6):
                while (await harness.call(session, cut_off))[0] != 401:
                    await asyncio.sleep(0.1)
        assert (await cut_off.status())["version"] == 9
    await store.stop()
    await rejecting.stop()


async def test_an_endpoint_that_leaves_gets_nothing_new(store, tmp_path):
    """An endpoint reports that it is draining.

    Half a second later all requests go to the other one.
    """
    async with harness.endpoints(
        store, harness.answer_ok, harness.answer_ok
    ) as (
        leaving,
        staying,
    ):
        async with harness.serving(store, tmp_path) as (gateway, session):
            beat = wiredata.beat(leaving.address, state="draining")
            store.put("servers", "i-0", beat)
            await asyncio.sleep(0.5)
            before = len(leaving.seen)
            for _ in range(6):
                await harness.call(session, gateway)
    assert len(leaving.seen) == before
    assert len(staying.seen) == 6


async def test_entries_of_other_writers_do_no_harm(store, tmp_path):
    """Invalid rows among the endpoints' entries are ignored.

    Fields are missing, of other types or have invalid values, or the bytes
    are not JSON; the valid entries are still used.
    """
    store.put("servers", "bad-1", b"\xff\x00")
    store.put("servers", "bad-2", {"service": 7})
    store.put("servers", "bad-3", wiredata.beat("nowhere"))
    store.put("servers", "bad-4", wiredata.beat("1.2.3.4:5", state="odd"))
    async with harness.endpoints(store, harness.answer_ok):
        async with harness.serving(store, tmp_path) as (gateway, session):
            status, _, _ = await harness.call(session, gateway)
    assert status == 200
