"""One instance of a zone reads the store on behalf of the others."""

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
# Longer than the store holds a long poll open, so that the polls that each
# instance started with have ended.
SETTLE_S = 7.0


@contextlib.asynccontextmanager
async def zone(
    store, folder, *, store_addresses=None, scripts=(harness.answer_ok,)
):
    """Run instances that have discovered each other and their reader.

    Parameters
    ----------
    store : PlatformStore
    folder : pathlib.Path
    store_addresses : list of str, optional
        Address of the store, or of a proxy to it, for each instance.
    scripts : sequence of callable
        Scripts of the endpoints; empty if they run already.
    """
    store_addresses = store_addresses or [store.address] * SIZE
    documents = [
        {
            "instance": f"edge-{number}",
            "table": address,
            "stable_ms": int(STABLE_S * 1000),
            "apply_ms": int(APPLY_S * 1000),
        }
        for number, address in enumerate(store_addresses)
    ]
    async with (
        harness.endpoints(store, *scripts),
        gateways.gateways(folder, documents) as instances,
    ):
        for each in instances:
            await each.wait_ready()
        await asyncio.sleep(SETTLE_S)
        yield instances


def reader(instances):
    """Return the instance that the others read through."""
    controls = {
        each.events("reader")[-1]["reader"]
        for each in instances
        if each.events("reader")
    }
    (control,) = controls - {None}
    return next(each for each in instances if each.control == control)


@contextlib.asynccontextmanager
async def proxied_links(store):
    """Run a proxy between each instance and the store."""
    async with contextlib.AsyncExitStack() as stack:
        running = [proxies.Proxy(target=store.address) for _ in range(SIZE)]
        for each in running:
            await each.start()
            stack.push_async_callback(each.stop)
        yield running


async def wait_new_reader(instances, first):
    """Wait until instances agree on a new reader; return its address."""
    async with asyncio.timeout(SETTLE_S + STABLE_S):
        while True:
            named = {each.events("reader")[-1]["reader"] for each in instances}
            named -= {None, first.control}
            if len(named) == 1:
                return named.pop()
            await asyncio.sleep(0.05)


async def count_served(instances, endpoint):
    """Send calls through each instance; count those at one endpoint."""
    before = len(endpoint.seen)
    async with aiohttp.ClientSession() as session:
        for each in instances * 4:
            assert (await harness.call(session, each))[0] == 200
    return len(endpoint.seen) - before


async def wait_refused(instances):
    """Wait until all instances reject the key; return the seconds."""
    clock = asyncio.get_running_loop().time
    started_at = clock()
    async with aiohttp.ClientSession() as session:
        for each in instances:
            while (await harness.call(session, each))[0] != 401:
                await asyncio.sleep(0.05)
    return clock() - started_at


async def test_one_instance_reads_for_its_zone(store, tmp_path):
    """Only the reader calls the store, to stay within the store's limit."""
    async with zone(store, tmp_path) as instances:
        before = len(store.calls)
        await asyncio.sleep(8.0)
        control = reader(instances).control
        readers = [(await each.status())["reader"] for each in instances]
        assert sorted(readers, key=str) == sorted(
            [None, *[control] * (SIZE - 1)], key=str
        )
        # Three tables, long polls of 3.5 s and more: an instance that reads
        # for itself makes 5 calls in 8 s, so that six make 30.
        assert len(store.calls) - before <= 12


async def test_a_revoked_key_is_refused_though_the_reader_is_frozen(
    store, tmp_path
):
    """The zone's reader is suspended when the operator revokes a key.

    The others must apply the change in time without it, or the whole zone
    accepts the key.
    """
    async with zone(store, tmp_path) as instances:
        frozen = reader(instances)
        frozen.process.send_signal(signal.SIGSTOP)
        store.put("op", "config", wiredata.configuration(9, tenants=[]))
        others = [each for each in instances if each is not frozen]
        assert await wait_refused(others) < APPLY_S
        frozen.process.send_signal(signal.SIGCONT)
        assert await wait_refused([frozen]) < STABLE_S


async def test_a_revoked_key_is_refused_though_the_reader_is_killed(
    store, tmp_path
):
    """The zone's reader is killed before the operator revokes a key.

    The others must not wait for updates from a process that has exited.
    """
    async with zone(store, tmp_path) as instances:
        killed = reader(instances)
        await killed.kill()
        store.put("op", "config", wiredata.configuration(9, tenants=[]))
        others = [each for each in instances if each is not killed]
        assert await wait_refused(others) < APPLY_S


async def test_a_leaving_endpoint_gets_nothing_though_the_reader_is_frozen(
    store, tmp_path
):
    """An endpoint starts to drain while the zone's reader is suspended.

    The others must not send work to an endpoint that is about to exit.
    """
    async with (
        harness.endpoints(store, harness.answer_ok, harness.answer_ok) as (
            leaving,
            _,
        ),
        zone(store, tmp_path, scripts=()) as instances,
    ):
        frozen = reader(instances)
        others = [each for each in instances if each is not frozen]
        assert await count_served(others, leaving) > 0
        frozen.process.send_signal(signal.SIGSTOP)
        beat = wiredata.beat(leaving.address, state="draining")
        store.put("servers", "i-0", beat)
        await asyncio.sleep(APPLY_S)
        assert await count_served(others, leaving) == 0


async def test_a_revoked_key_is_refused_though_history_goes_with_the_reader(
    store, tmp_path
):
    """The reader is killed, and the store compacts the change of a key.

    Instances that then read the store must not miss the compacted change.
    """
    async with zone(store, tmp_path) as instances:
        killed = reader(instances)
        await killed.kill()
        store.put("op", "config", wiredata.configuration(9, tenants=[]))
        store.compact()
        others = [each for each in instances if each is not killed]
        assert await wait_refused(others) < APPLY_S


async def test_a_revoked_key_is_refused_though_two_readers_freeze(
    store, tmp_path
):
    """Two readers are suspended, one after the other, before a key is revoked.

    The second is the instance that took over from the first.
    """
    async with zone(store, tmp_path) as instances:
        first = reader(instances)
        first.process.send_signal(signal.SIGSTOP)
        others = [each for each in instances if each is not first]
        control = await wait_new_reader(others, first)
        second = next(each for each in others if each.control == control)
        second.process.send_signal(signal.SIGSTOP)
        store.put("op", "config", wiredata.configuration(9, tenants=[]))
        remaining = [each for each in others if each is not second]
        assert await wait_refused(remaining) < APPLY_S


async def test_a_revoked_key_is_refused_though_the_reader_is_cut_off(
    store, tmp_path
):
    """The reader's calls to the store hang when the operator revokes a key.

    Such a reader still runs but has no updates for its zone.
    """
    async with (
        proxied_links(store) as links,
        zone(
            store, tmp_path, store_addresses=[link.address for link in links]
        ) as instances,
    ):
        cut = reader(instances)
        links[instances.index(cut)].freeze = True
        store.put("op", "config", wiredata.configuration(9, tenants=[]))
        others = [each for each in instances if each is not cut]
        assert await wait_refused(others) < APPLY_S


async def test_a_leaving_endpoint_gets_nothing_though_the_reader_is_cut_off(
    store, tmp_path
):
    """An endpoint starts to drain while the reader's calls to the store hang.

    The others must not send work to an endpoint that is about to exit.
    """
    async with (
        harness.endpoints(store, harness.answer_ok, harness.answer_ok) as (
            leaving,
            _,
        ),
        proxied_links(store) as links,
        zone(
            store,
            tmp_path,
            store_addresses=[link.address for link in links],
            scripts=(),
        ) as instances,
    ):
        cut = reader(instances)
        others = [each for each in instances if each is not cut]
        assert await count_served(others, leaving) > 0
        links[instances.index(cut)].freeze = True
        beat = wiredata.beat(leaving.address, state="draining")
        store.put("servers", "i-0", beat)
        await asyncio.sleep(APPLY_S)
        assert await count_served(others, leaving) == 0
