"""Casting ballots through real daemons, for tests and the bench."""

import asyncio
import contextlib
import signal
import typing
import urllib.parse

import aiohttp
import yarl

from testkit import builders
from testkit import processes

BALLOTS = ("ballot-1", "ballot-2")
LIMIT_S = 30
REFUSED = 503


class Told(typing.NamedTuple):
    """What a caller was told; all None if the connection broke."""

    status: int | None
    outcome: str | None
    raw: bytes | None


async def _fetch(cluster, method, url, **named):
    try:
        async with cluster.session.request(method, url, **named) as answer:
            outcome = answer.headers.get("Outcome")
            return Told(answer.status, outcome, await answer.read())
    except aiohttp.ClientError:
        return Told(None, None, None)


async def cast(
    cluster,
    index,
    key,
    *,
    body="film",
    pipeline="ballot",
    ms=8e3,
    team="gaucho",
    repeat=None,
):
    """Cast a ballot through a daemon.

    Parameters
    ----------
    repeat : bool, optional
        What the caller tells of earlier requests with the key.
    """
    address = cluster.daemons[index].public
    headers = {
        "Team": team,
        "Idempotency-Key": key,
        "Deadline-Ms": str(ms),
    }
    if repeat is not None:
        headers["Idempotency-Repeat"] = str(repeat).lower()
    url = f"http://{address}/v1/pipelines/{pipeline}"
    return await _fetch(
        cluster, "POST", url, json={"input": body}, headers=headers
    )


async def ask(cluster, index, key, *, pipeline="ballot"):
    """Ask by key what became of a ballot."""
    address = cluster.daemons[index].public
    path = f"/v1/pipelines/{pipeline}/keys/{urllib.parse.quote(key, safe='')}"
    return await _fetch(
        cluster,
        "GET",
        yarl.URL(f"http://{address}{path}", encoded=True),
        headers={"Team": "gaucho"},
    )


async def log(cluster, key=None):
    """Return the runs of a key, or all, as the endpoints logged them."""
    runs = []
    for name in BALLOTS:
        runs += await cluster.get(name, "/log")
    named = f"gaucho/{key}"
    return [run for run in runs if key is None or run["key"] == named]


async def state_of(cluster, key):
    """Return the state of a record as the table has it, or None."""
    rows = (await cluster.get("table", "/scan?prefix=once/"))["rows"]
    for row in rows:
        if row["key"].endswith(f"/{key}"):
            return row["value"]["state"]
    return None


async def metric(cluster, index, name):
    """Return the value of one sample of a daemon's metrics, or zero."""
    url = f"http://{cluster.daemons[index].public}/metrics"
    async with cluster.session.get(url) as answer:
        for line in (await answer.text()).splitlines():
            if line.startswith(f"{name} "):
                return float(line.split()[-1])
    return 0.0


async def until(func, *args):
    """Poll until the result of a coroutine function is true."""
    async with asyncio.timeout(LIMIT_S):
        while not (result := await func(*args)):
            await asyncio.sleep(0.01)
        return result


async def cast_until_sent(cluster, index, key):
    """Come again for as long as the answer is a refusal."""

    async def sent():
        told = await cast(cluster, index, key)
        is_refused = told.outcome == "not-run" or told.status == REFUSED
        return None if is_refused else told

    return await until(sent)


async def until_complete(cluster, index, key):
    """Come again as told until the answer is complete."""

    async def complete():
        told = await cast(cluster, index, key)
        return told if told.outcome == "complete" else None

    return await until(complete)


async def open_breakers(cluster):
    """Cast other ballots until each instance takes the store for away."""
    for index in range(len(cluster.daemons)):
        async with asyncio.timeout(LIMIT_S):
            told = None
            while told is None or told.status != 503:
                told = await cast(cluster, index, "other", ms=300)


@contextlib.asynccontextmanager
async def stand_ins_stopped(cluster, seconds):
    """Stop the process of all stand-ins; it goes on before the block ends.

    Parameters
    ----------
    cluster : Cluster
    seconds : float
        From the beginning of the block.
    """
    host = cluster.host
    host.send_signal(signal.SIGSTOP)

    async def go_on():
        await asyncio.sleep(seconds)
        host.send_signal(signal.SIGCONT)

    task = asyncio.create_task(go_on())
    try:
        yield
    finally:
        await task


def hold(cluster, names, held):
    """Hold, or let go, the answers of some stand-ins."""
    for name in names:
        cluster.proxies[name].hold_answers = held


def hold_from(cluster, names, instances):
    """Hold the answers of some stand-ins to these daemons only.

    Parameters
    ----------
    names : iterable of str
    instances : list of int
        Which daemons; an empty list lets all go.
    """
    sources = {cluster.daemons[index].source for index in instances}
    for name in names:
        cluster.proxies[name].held_sources = set(sources)


@contextlib.asynccontextmanager
async def cluster(*, daemons=2, lookup=True, **changes):
    """Run daemons with a pipeline whose middle stage may not be repeated."""
    async with processes.cluster(
        daemons=daemons, proxied=True, **changes
    ) as running:
        ballot = {"kind": "plain", "repeatable": False, "lookup": lookup}
        stages = [
            {"name": "encode", "service": "encoder"},
            {"name": "cast", "service": "ballot"},
            {"name": "thank", "service": "language"},
        ]
        spec = {"stages": stages, "deadline_ms": 8000}
        status, body = await running.apply(
            0,
            builders.note(
                1,
                added={"pipelines": {"middle": spec}},
                changed={"services": {"ballot": ballot}},
            ),
        )
        assert status == 200, body
        for daemon in running.daemons:
            await until(_has_version, running, daemon, body["version"])
        yield running


async def _has_version(running, daemon, version):
    url = f"http://{daemon.control}/control/status"
    async with running.session.get(url) as answer:
        return (await answer.json())["version"] >= version
