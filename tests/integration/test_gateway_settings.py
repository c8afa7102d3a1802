"""Reload of the settings file of a running forwarding daemon."""

import asyncio
import signal

from standins import platformstore
from testkit import gateways
from testkit import wiredata


async def _until_event(gateway, name):
    """Wait for a log event with a name; return the last one."""
    async with asyncio.timeout(10):
        while not gateway.events(name):
            await asyncio.sleep(0.05)
    return gateway.events(name)[-1]


async def test_a_signal_takes_over_what_may_change(tmp_path):
    """SIGHUP applies a new retry limit but not a new public address.

    The log must report that the address needs a restart, or the operator
    waits for callers on it; and an invalid file must change nothing.
    """
    store = platformstore.PlatformStore()
    await store.start()
    store.put("op", "config", wiredata.configuration())
    settings = {"table": store.address}
    async with gateways.gateways(tmp_path, [settings]) as (gateway,):
        await gateway.wait_ready()
        gateway.document["retry_slack"] = 77.0
        gateway.document["public"] = "127.0.0.1:9"
        gateway.write_settings()
        gateway.process.send_signal(signal.SIGHUP)
        event = await _until_event(gateway, "reload")
        assert event["taken"] == ["retry_slack"]
        assert event["after_restart"] == ["public"]
        gateway.document["grace_s"] = "soon"
        gateway.write_settings()
        gateway.process.send_signal(signal.SIGHUP)
        event = await _until_event(gateway, "reload_bad")
        assert "grace_s" in event["why"]
        assert await gateway.is_ready()
    await store.stop()
