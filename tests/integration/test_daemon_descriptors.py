"""Daemons of pipelines to which callers open too many connections."""

import asyncio

import aiohttp

from testkit import crowds
from testkit import processes

CROWD_S = 3.0
ATTEMPT_S = 3.0
CALLS = 5


async def test_crowded_daemon_serves_callers_and_operators():
    """Idle connections used up the descriptors that a call needs."""
    served = []
    async with processes.cluster(program=crowds.PROGRAM) as cluster:
        daemon = cluster.daemons[0]
        crowd = asyncio.create_task(crowds.Crowd(daemon.public).run())
        await asyncio.sleep(CROWD_S)
        for _ in range(CALLS):
            async with (
                asyncio.timeout(ATTEMPT_S),
                aiohttp.ClientSession() as session,
                session.post(
                    f"http://{daemon.public}/v1/pipelines/catalogue",
                    json={"input": 1},
                    headers={"Team": "gaucho"},
                ) as answer,
                session.get(
                    f"http://{daemon.control}/control/status"
                ) as status,
            ):
                served.append((answer.status, status.status))
        crowd.cancel()
        await asyncio.gather(crowd, return_exceptions=True)
    assert served == CALLS * [(200, 200)]
