"""Stages whose coordinating instance stops answering, with real instances."""

import asyncio
import signal

from tests.integration import deployments
from tests.integration import harness

# After a disturbance; see `stable_ms` of the settings.
STABLE_S = 4.0
STAGES = [{"service": "first", "after": [], "size_bytes": 8000}]
HEAD = {"pieces": "2", "piece_key": "k"}


async def start_stage(running, zone):
    """Start an endpoint of the first stage in a zone."""
    script = harness.pieces_script(lambda item: {"handle": f"h/{item['id']}"})
    return await running.start_endpoint(zone, "first", script)


async def test_callers_are_served_without_a_frozen_coordinator(
    store, tmp_path
):
    """The instance that coordinated a zone's stages froze.

    Callers of the others waited for it until their time was over, one after
    the other.
    """
    async with deployments.deployment(
        store, tmp_path, stages=STAGES
    ) as running:
        await start_stage(running, "north-a")
        await asyncio.sleep(deployments.APPLY_S)
        frozen, other = running.instances[:2]
        assert (await running.call(other, **HEAD))[0] == 200
        frozen.process.send_signal(signal.SIGSTOP)
        try:
            async with asyncio.timeout(STABLE_S):
                while (await running.call(other, **HEAD))[0] != 200:
                    await asyncio.sleep(0.1)
            answers = [await running.call(other, **HEAD) for _ in "123"]
        finally:
            frozen.process.send_signal(signal.SIGCONT)
    assert {status for status, *_ in answers} == {200}
