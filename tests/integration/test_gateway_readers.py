"""Instances of a zone of which one reads the store for the others."""

import asyncio
import contextlib
import signal

import aiohttp

from testkit import gateways
from testkit import wiredata
from tests.integration import harness

SIZE = 6
STABLE_S = 5.0
APPLY_S = 5.0
# Longer than a call at the store is held: those that began at the start, by
# each instance, have ended.
SETTLE_S = 7.0


@contextlib.asynccontextmanager
async def zone(store, folder):
    """Run instances that know of each other and of their reader."""
    documents = [
        {
            "instance": f"edge-{number}",
            "table": store.address,
            "stable_ms": int(STABLE_S * 1000),
            "apply_ms": int(APPLY_S * 1000),
        }
        for number in range(SIZE)
    ]
    async with (
        harness.endpoints(store, harness.well),
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
        zone(store, tmp_path) as found,
    ):
        frozen = reader(found)
        frozen.process.send_signal(signal.SIGSTOP)
        beat = wiredata.beat(leaving.address, state="draining")
        store.put("servers", "i-0", beat)
        await asyncio.sleep(APPLY_S)
        before = len(leaving.seen)
        async with aiohttp.ClientSession() as session:
            for each in [each for each in found if each is not frozen] * 4:
                assert (await harness.call(session, each))[0] == 200
        assert len(leaving.seen) == before


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
        async with asyncio.timeout(SETTLE_S + STABLE_S):
            while (
                len(
                    {each.events("reader")[-1]["reader"] for each in others}
                    - {None, first.control}
                )
                != 1
            ):
                await asyncio.sleep(0.05)
        control = {each.events("reader")[-1]["reader"] for each in others} - {
            None,
            first.control,
        }
        second = next(each for each in others if {each.control} == control)
        second.process.send_signal(signal.SIGSTOP)
        store.put("op", "config", wiredata.configuration(9, tenants=[]))
        left = [each for each in others if each is not second]
        assert await refused(left) < APPLY_S
