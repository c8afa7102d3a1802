"""Instances of a zone of which one reads the store for the others."""

import asyncio
import contextlib
import signal

import aiohttp

from testkit import gateways
from testkit import proxy as proxies
from testkit import wiredata
from tests.integration import harness

SIZE = 6
STABLE_S = 5.0
APPLY_S = 5.0
# Longer than a call at the store is held: those that began at the start, by
# each instance, have ended.
SETTLE_S = 7.0


@contextlib.asynccontextmanager
async def zone(store, folder, *, ways=None, scripts=(harness.well,)):
    """Run instances that know of each other and of their reader.

    Parameters
    ----------
    store : PlatformStore
    folder : pathlib.Path
    ways : list of str, optional
        Address by which each instance reaches the store.
    scripts : sequence of callable
        Of the endpoints; none if they run already.
    """
    ways = ways or [store.address] * SIZE
    documents = [
        {
            "instance": f"edge-{number}",
            "table": way,
            "stable_ms": int(STABLE_S * 1000),
            "apply_ms": int(APPLY_S * 1000),
        }
        for number, way in enumerate(ways)
    ]
    async with (
        harness.endpoints(store, *scripts),
        gateways.gateways(folder, documents) as found,
    ):
        for each in found:
            await each.wait_ready()
        await asyncio.sleep(SETTLE_S)
        yield found


def reader(found):
    """Return the instance that the others ask."""
    controls = {
        each.events("reader")[-1]["reader"]
        for each in found
        if each.events("reader")
    }
    (control,) = controls - {None}
    return next(each for each in found if each.control == control)


@contextlib.asynccontextmanager
async def proxied_ways(store):
    """Put a proxy between each instance and the store."""
    async with contextlib.AsyncExitStack() as stack:
        found = [proxies.Proxy(target=store.address) for _ in range(SIZE)]
        for each in found:
            await each.start()
            stack.push_async_callback(each.stop)
        yield found


async def read_by_another(found, first):
    """Wait until instances agree on a new reader; return its address."""
    async with asyncio.timeout(SETTLE_S + STABLE_S):
        while True:
            named = {each.events("reader")[-1]["reader"] for each in found}
            named -= {None, first.control}
            if len(named) == 1:
                return named.pop()
            await asyncio.sleep(0.05)


async def answered(found, endpoint):
    """Call through each instance; return how much an endpoint got of it."""
    before = len(endpoint.seen)
    async with aiohttp.ClientSession() as session:
        for each in found * 4:
            assert (await harness.call(session, each))[0] == 200
    return len(endpoint.seen) - before


async def refused(found):
    """Wait until none of the instances takes the key; return the seconds."""
    clock = asyncio.get_running_loop().time
    began = clock()
    async with aiohttp.ClientSession() as session:
        for each in found:
            while (await harness.call(session, each))[0] != 401:
                await asyncio.sleep(0.05)
    return clock() - began


async def test_one_instance_reads_for_its_zone(store, tmp_path):
    """Each instance would take a share of the calls that the store allows."""
    async with zone(store, tmp_path) as found:
        before = len(store.calls)
        await asyncio.sleep(8.0)
        control = reader(found).control
        told = [(await each.status())["reader"] for each in found]
        assert sorted(told, key=str) == sorted(
            [None, *[control] * (SIZE - 1)], key=str
        )
        # Three tables, calls of 3.5 s and more; each by itself makes 5 each
        # 8 s, thirty in all.
        assert len(store.calls) - before <= 12


async def test_a_revoked_key_is_refused_though_the_reader_is_frozen(
    store, tmp_path
):
    """A frozen reader would keep the news from its whole zone."""
    async with zone(store, tmp_path) as found:
        frozen = reader(found)
        frozen.process.send_signal(signal.SIGSTOP)
        store.put("op", "config", wiredata.configuration(9, tenants=[]))
        others = [each for each in found if each is not frozen]
        assert await refused(others) < APPLY_S
        frozen.process.send_signal(signal.SIGCONT)
        assert await refused([frozen]) < STABLE_S


async def test_a_revoked_key_is_refused_though_the_reader_is_killed(
    store, tmp_path
):
    """Instances would wait for news from a process that is gone."""
    async with zone(store, tmp_path) as found:
        killed = reader(found)
        await killed.kill()
        store.put("op", "config", wiredata.configuration(9, tenants=[]))
        others = [each for each in found if each is not killed]
        assert await refused(others) < APPLY_S


async def test_a_leaving_endpoint_gets_nothing_though_the_reader_is_frozen(
    store, tmp_path
):
    """Instances would send work to an endpoint that is about to exit."""
    async with (
        harness.endpoints(store, harness.well, harness.well) as (leaving, _),
        zone(store, tmp_path, scripts=()) as found,
    ):
        frozen = reader(found)
        others = [each for each in found if each is not frozen]
        assert await answered(others, leaving) > 0
        frozen.process.send_signal(signal.SIGSTOP)
        beat = wiredata.beat(leaving.address, state="draining")
        store.put("servers", "i-0", beat)
        await asyncio.sleep(APPLY_S)
        assert await answered(others, leaving) == 0


async def test_a_revoked_key_is_refused_though_history_goes_with_the_reader(
    store, tmp_path
):
    """Instances that turn to the store would miss what it has forgotten."""
    async with zone(store, tmp_path) as found:
        killed = reader(found)
        await killed.kill()
        store.put("op", "config", wiredata.configuration(9, tenants=[]))
        store.compact()
        others = [each for each in found if each is not killed]
        assert await refused(others) < APPLY_S


async def test_a_revoked_key_is_refused_though_two_readers_freeze(
    store, tmp_path
):
    """The instance that reads after a frozen one may freeze as well."""
    async with zone(store, tmp_path) as found:
        first = reader(found)
        first.process.send_signal(signal.SIGSTOP)
        others = [each for each in found if each is not first]
        control = await read_by_another(others, first)
        second = next(each for each in others if each.control == control)
        second.process.send_signal(signal.SIGSTOP)
        store.put("op", "config", wiredata.configuration(9, tenants=[]))
        left = [each for each in others if each is not second]
        assert await refused(left) < APPLY_S


async def test_a_revoked_key_is_refused_though_the_reader_is_cut_off(
    store, tmp_path
):
    """A reader whose calls at the store hang has no news for its zone."""
    async with (
        proxied_ways(store) as ways,
        zone(store, tmp_path, ways=[way.address for way in ways]) as found,
    ):
        cut = reader(found)
        ways[found.index(cut)].freeze = True
        store.put("op", "config", wiredata.configuration(9, tenants=[]))
        others = [each for each in found if each is not cut]
        assert await refused(others) < APPLY_S


async def test_a_leaving_endpoint_gets_nothing_though_the_reader_is_cut_off(
    store, tmp_path
):
    """Instances would send work to an endpoint that is about to exit."""
    async with (
        harness.endpoints(store, harness.well, harness.well) as (leaving, _),
        proxied_ways(store) as ways,
        zone(
            store,
            tmp_path,
            ways=[way.address for way in ways],
            scripts=(),
        ) as found,
    ):
        cut = reader(found)
        others = [each for each in found if each is not cut]
        assert await answered(others, leaving) > 0
        ways[found.index(cut)].freeze = True
        beat = wiredata.beat(leaving.address, state="draining")
        store.put("servers", "i-0", beat)
        await asyncio.sleep(APPLY_S)
        assert await answered(others, leaving) == 0
