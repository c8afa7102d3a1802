"""Streams of an instance that loses power as a release begins."""

import asyncio
import pathlib

import aiohttp

from review.kit import cases
from review.kit import deployments
from review.kit import engines
from review.kit import requesters

LOST = "edge-1"
OTHERS = ("edge-2", "edge-3")
# Without any disturbance before the loss.
CALM_S = 5.0
# Without power; then the machine starts again.
DARK_S = 3.5
# From the loss until the first engine of the release registers.
RELEASE_S = 1.5
STREAMS = 24
# Of the route and the requesters: those of `buyer-chat`, but resumable.
ROUTE = {
    "resumable": True,
    "max_attempts": 2,
    "timeout_ms": 15000,
    "target_latency_ms": 920,
    "itl_target_ms": 400,
}
DEADLINE_S = 15.0
EVENTS = 40
EVENT_GAP_S = 0.25
# The rule: of so many streams that are taken up, the share that goes on is
# under half of the share of new streams that begin.
MIN_TAKEN_UP = 12
MIN_SHARE = 0.5


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
            events=EVENTS,
            gap_s=EVENT_GAP_S,
        )
        running.append(engine)
        await engine.start()

    async def lose_power():
        record.write(f"{LOST} loses power")
        deployment.running[LOST].pause()
        await asyncio.sleep(DARK_S)
        await deployment.running[LOST].end()
        record.write(f"{LOST} starts again")
        await deployment.running[LOST].start()

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
            callers = requesters.Requesters(
                deployment=deployment,
                session=session,
                record=record,
                deadline_s=DEADLINE_S,
                gap_s=max(2.0, 4 * 0.92, 8 * 0.4),
            )
            older = [
                asyncio.create_task(
                    callers.run(
                        f"s-{number:02}", LOST, OTHERS[number % len(OTHERS)]
                    )
                )
                for number in range(STREAMS)
            ]
            await asyncio.sleep(4 * EVENT_GAP_S)
            loss = None
            if cases.HAS_TROUBLE:
                loss = asyncio.create_task(lose_power())
            await asyncio.sleep(RELEASE_S)
            await start_engine("i-new0", "v2", "north-a")
            await asyncio.sleep(DARK_S - RELEASE_S)
            newer = [
                asyncio.create_task(
                    callers.run(
                        f"n-{number:02}",
                        OTHERS[number % len(OTHERS)],
                        OTHERS[0],
                    )
                )
                for number in range(STREAMS)
            ]
            taken_up = [
                again
                for _, again in await asyncio.gather(*older)
                if again is not None
            ]
            begun = await asyncio.gather(*newer)
            if loss is not None:
                await loss
        finally:
            for engine in running:
                await engine.stop()
            await deployment.stop()
    went_on = sum(bool(each.events) for each in taken_up)
    began = sum(bool(first.events) for first, _ in begun)
    record.write(
        f"{went_on} of {len(taken_up)} streams that were taken up went on; "
        f"{began} of {len(begun)} new streams began"
    )
    if len(taken_up) < MIN_TAKEN_UP:
        return False
    share = went_on / len(taken_up)
    return share < MIN_SHARE * began / len(begun)


if __name__ == "__main__":
    cases.run(play, pathlib.Path(__file__).resolve().parent)
