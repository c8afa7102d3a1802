"""Load generator: sends each arrival when due and records the result."""

import asyncio
import random
import time
import typing
import uuid

import aiohttp
import msgspec

__all__ = ["Sample", "send_all"]

GRACE_S = 3.0
_PIPELINE = "/v1/pipelines/"


class Sample(typing.NamedTuple):
    """The result of one arrival.

    Parameters
    ----------
    at : float
        When it was due, seconds since the start.
    team, pipeline, outcome : str
    seconds : float
        From when it was due to the end of its answer.
    first_s : float or None
        From when it was due to the first chunk of the answer; None unless
        it was streamed and completed.
    lag_s : float
        Delay of the generator in sending it.
    attained : bool
        Whether the full answer came within the deadline.
    """

    at: float
    team: str
    pipeline: str
    outcome: str
    seconds: float
    first_s: float | None
    lag_s: float
    attained: bool


async def send_all(world, arrivals, *, seed):
    """Send arrivals without waiting for answers; return the samples.

    Parameters
    ----------
    world : World
    arrivals : list of Arrival
    seed : int
        Seed of the random choice of a daemon for each arrival.

    Returns
    -------
    list of Sample
    """
    rng = random.Random(seed)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        start = time.monotonic()
        tasks = []
        for arrival in arrivals:
            wait = start + arrival.at - time.monotonic()
            if wait > 0:
                await asyncio.sleep(wait)
            daemon = rng.choice(world.ready or world.daemons)
            send = _send(session, world, daemon, arrival, start)
            tasks.append(asyncio.create_task(send))
        return await asyncio.gather(*tasks)


async def _send(session, world, daemon, arrival, start):
    due_at = start + arrival.at
    lag_s = time.monotonic() - due_at
    spec = world.deployment.sections["pipelines"][arrival.pipeline]
    deadline_s = spec["deadline_ms"] / 1000
    body = {"input": arrival.text, "stream": arrival.pipeline == "summary"}
    headers = {
        "Team": arrival.team,
        "Deadline-Ms": str(spec["deadline_ms"]),
        "Idempotency-Key": uuid.uuid4().hex,
        "Idempotency-Repeat": "false",
    }
    timeout = aiohttp.ClientTimeout(total=deadline_s + GRACE_S)
    first_at = None
    try:
        async with session.post(
            f"http://{daemon.public}{_PIPELINE}{arrival.pipeline}",
            data=msgspec.json.encode(body),
            headers=headers,
            timeout=timeout,
        ) as answer:
            outcome, first_at = await _read(answer)
    except (aiohttp.ClientError, TimeoutError, OSError) as err:
        outcome = type(err).__name__
    seconds = time.monotonic() - due_at
    return Sample(
        at=arrival.at,
        team=arrival.team,
        pipeline=arrival.pipeline,
        outcome=outcome,
        seconds=seconds,
        first_s=None if first_at is None else first_at - due_at,
        lag_s=lag_s,
        attained=outcome == "complete" and seconds <= deadline_s,
    )


async def _read(answer):
    """Return the outcome, and a completed stream's first chunk time."""
    if answer.content_type != "text/event-stream":
        raw = await answer.read()
        if answer.status == 200:
            return answer.headers.get("Outcome", "complete"), None
        return msgspec.json.decode(raw)["outcome"], None
    first_at = None
    last = b""
    async for chunk in answer.content.iter_any():
        if first_at is None:
            first_at = time.monotonic()
        last = (last + chunk)[-4096:]
    if b"event: done" in last:
        return "complete", first_at
    if b'"outcome":"' in last:
        tail = last.rpartition(b'"outcome":"')[2]
        return tail.partition(b'"')[0].decode(), None
    return "cut-off", None
