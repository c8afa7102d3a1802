"""Instances before endpoints that take no requests at times."""

import asyncio
import contextlib
import itertools
import time

import aiohttp

from standins import scripted
from testkit import wiredata
from tests.integration import harness

__all__ = ["load", "served", "serving", "streamed"]

_request_ids = itertools.count()


def served(**headers):
    """Return the steps of an answer with status 200."""
    return [0.02, scripted.answer(200, b"whole", **headers)]


def streamed(**headers):
    """Return the steps of a stream of three events."""
    events = b"".join(harness.event(number) for number in range(3))
    return [scripted.stream_head(**headers) + events]


@contextlib.asynccontextmanager
async def serving(store, folder, endpoints, *, configuration=None):
    """Run instances in two zones before some endpoints.

    Parameters
    ----------
    store : PlatformStore
    folder : pathlib.Path
    endpoints : list
        Each has a scripted endpoint as ``endpoint``.
    configuration : dict, optional
        Has a route for idempotent requests if not set.
    """
    route = wiredata.route(max_attempts=4)
    document = configuration or wiredata.configuration(2, routes=[route])
    store.put("op", "config", document)
    for number, each in enumerate(endpoints):
        await each.endpoint.start()
        store.put(
            "servers",
            f"i-{number}",
            wiredata.beat(
                each.endpoint.address,
                zone=harness.ZONES[number % len(harness.ZONES)],
            ),
        )
    async with harness.serving_in_zones(store, folder) as (instances, session):
        yield instances, session
    for each in endpoints:
        await each.endpoint.stop()


async def load(session, instances, *, per_s, seconds, **head):
    """Send requests evenly to all instances.

    Parameters
    ----------
    session : aiohttp.ClientSession
    instances : list of Gateway
    per_s, seconds : float
    **head
        Changes to the headers; see `wiredata.head`.

    Returns
    -------
    list of (int or None, str or None, float)
        Status, `Retry-After` and seconds of each; None without an answer.
    """

    async def send(number):
        started_at = time.monotonic()
        try:
            status, headers, _ = await harness.call(
                session,
                instances[number % len(instances)],
                headers=wiredata.head(f"r-{number}", **head),
            )
        except aiohttp.ClientError:
            return None, None, time.monotonic() - started_at
        retry_after = headers.get("Retry-After")
        return status, retry_after, time.monotonic() - started_at

    tasks = []
    for _ in range(int(per_s * seconds)):
        tasks.append(asyncio.create_task(send(next(_request_ids))))
        await asyncio.sleep(1 / per_s)
    return await asyncio.gather(*tasks)
