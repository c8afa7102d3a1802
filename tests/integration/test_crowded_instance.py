"""Most new connections of callers reach one instance."""

import asyncio
import itertools
import time

import aiohttp
import pytest

from standins import scripted
from testkit import wiredata
from tests.integration import harness

CALM_S = 3.0
# Seconds for which the rush may slow callers down, and which are measured.
STABLE_S = 4.0
MEASURED_S = 3.0
CALM_PER_S = 40.0
RUSH_PER_S = 120.0
# Of ten connections, so many reach the first instance in the rush.
RUSH_OF_TEN = 9
# What the service states: share of requests that are served at the first
# attempt, relative to that before the rush.
MIN_SHARE = 0.75
ATTEMPT_S = 1.0


class Callers:
    """Sends requests, each on a connection of its own."""

    def __init__(self, instances):
        self._instances = instances
        self._numbers = itertools.count()
        self._tasks = []

    async def run(self, seconds, per_s, of_ten):
        """Send requests at a rate; return the share that is served."""
        first = len(self._tasks)
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            number = next(self._numbers)
            crowded = number % 10 < of_ten
            others = self._instances[1 + number % (len(self._instances) - 1)]
            instance = self._instances[0] if crowded else others
            self._tasks.append(
                asyncio.create_task(self._send(instance, number))
            )
            await asyncio.sleep(1.0 / per_s)
        outcomes = await asyncio.gather(*self._tasks[first:])
        return sum(outcomes) / len(outcomes)

    async def _send(self, instance, number):
        try:
            async with (
                asyncio.timeout(ATTEMPT_S),
                aiohttp.ClientSession() as session,
            ):
                status, _, _ = await harness.call(
                    session,
                    instance,
                    "POST",
                    headers=wiredata.head(f"r-{number}"),
                )
        except (TimeoutError, aiohttp.ClientError):
            return False
        return status == 200


def unary(_received):
    """Answer after a short run."""
    yield 0.02
    yield scripted.answer(200, b"whole", **{harness.SEAL: "proof"})


def stream(_received):
    """Stream a few events."""
    yield scripted.stream_head(**{harness.SEAL: "proof"})
    for number in range(3):
        yield harness.event(number)
        yield 0.05


@pytest.mark.parametrize("script", [unary, stream])
async def test_instance_with_most_new_connections_serves_them(
    store, tmp_path, script
):
    """Requests were left unread where most new connections arrived."""
    configuration = wiredata.configuration(2)
    if script is stream:
        configuration = harness.stream_route(resumable=True)
    store.put("op", "config", configuration)
    async with (
        harness.endpoints(store, *(6 * [script]), slots=64),
        harness.serving_in_zones(store, tmp_path) as (instances, _),
    ):
        callers = Callers(instances)
        before = await callers.run(CALM_S, CALM_PER_S, 3)
        await callers.run(STABLE_S, RUSH_PER_S, RUSH_OF_TEN)
        rush = await callers.run(MEASURED_S, RUSH_PER_S, RUSH_OF_TEN)
    assert before > 0.0
    assert rush >= MIN_SHARE * before
