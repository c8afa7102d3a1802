"""Streams are taken up at an instance that is cut off during a release."""

import asyncio
import collections
import pathlib

import aiohttp

from review.kit import cases
from review.kit import deployments
from review.kit import engines
from review.kit import requesters

CUT = "edge-3"
# Without any disturbance before the cut.
CALM_S = 5.0
STREAMS = 24
# Of the route and the requesters: those of `nota-cedula`.
ROUTE = {
    "resumable": True,
    "max_attempts": 2,
    "timeout_ms": 6000,
    "target_latency_ms": 1700,
    "itl_target_ms": 400,
}
DEADLINE_S = 6.0
EVENT_GAP_S = 0.3
# The rule: more than so many streams hold events of two versions.
MAX_MIXED = 2


async def play(folder, record):
    """Play the case; return whether the rule was broken."""
    deployment = deployments.Deployment(folder)
    running = []

    async def start_engine(name, version, zone):
        engine = engines.Engine(
            store=deployment.store,
            name=name,
            record=record,
            service=deployments.SERVICE,
            zone=zone,
            version=version,
            gap_s=EVENT_GAP_S,
        )
        running.append(engine)
        await engine.start()
        return engine

    connector = aiohttp.TCPConnector(force_close=True)
    async with aiohttp.ClientSession(connector=connector) as session:
        try:
            await deployment.start()
            deployment.store.put(
                "op", "config", deployments.configuration(**ROUTE)
            )
            for number, zone in enumerate(deployments.REGIONS):
                await start_engine(f"i-old{number}", "v1", zone)
            await deployment.wait_known(session)
            await asyncio.sleep(CALM_S)
            if cases.HAS_TROUBLE:
                deployment.cut(CUT)
                record.write(f"{CUT} is cut off from the store and the others")
            await asyncio.sleep(1.0)
            released = await start_engine("i-new0", "v2", "north-a")
            await asyncio.sleep(1.5)
            callers = requesters.Requesters(
                deployment=deployment,
                session=session,
                record=record,
                deadline_s=DEADLINE_S,
            )
            streams = [
                asyncio.create_task(
                    callers.run(f"s-{number:02}", "edge-1", CUT)
                )
                for number in range(STREAMS)
            ]
            await asyncio.sleep(2.5 * EVENT_GAP_S)
            await released.crash()
            await deployment.close_engine(released)
            parts = await asyncio.gather(*streams)
            is_ready = await deployment.running[CUT].is_ready(session)
            record.write(f"{CUT} tells the platform ready={is_ready}")
        finally:
            for engine in running:
                await engine.stop()
            await deployment.stop()
    versions = [_versions(each) for each in parts]
    counts = collections.Counter("+".join(sorted(each)) for each in versions)
    record.write(f"versions of the events of each stream: {dict(counts)}")
    mixed = sum(len(each) > 1 for each in versions)
    record.write(
        f"{mixed} of {STREAMS} streams hold events of two versions, "
        f"{MAX_MIXED} are allowed"
    )
    return mixed > MAX_MIXED


def _versions(parts):
    """Return the software versions that wrote the events of a stream."""
    return {
        data.split()[0]
        for part in parts
        if part is not None
        for _, data in part.events
    }


if __name__ == "__main__":
    cases.run(play, pathlib.Path(__file__).resolve().parent)
