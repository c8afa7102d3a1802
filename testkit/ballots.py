"""Sends ballots through real daemons, for tests and benchmarks.

A ballot is a request to a pipeline with a stage that is not repeatable.
"""

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
POLL_TIMEOUT_S = 30
REFUSED_STATUS = 503


class Told(typing.NamedTuple):
    """The answer to a caller; all None if the connection broke."""

    status: int | None
    outcome: str | None
    raw: bytes | None


async def _fetch(cluster, method, url, **options):
    try:
        async with cluster.session.request(method, url, **options) as answer:
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
    """Send a ballot through a daemon.

    Parameters
    ----------
    repeat : bool, optional
        Value of the ``Idempotency-Repeat`` header: whether the caller
        declares an earlier request with the key.  No header if None.
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
    """Look up the outcome of a ballot by its key."""
    address = cluster.daemons[index].public
    path = f"/v1/pipelines/{pipeline}/keys/{urllib.parse.quote(key, safe='')}"
    return await _fetch(
        cluster,
        "GET",
        yarl.URL(f"http://{address}{path}", encoded=True),
        headers={"Team": "gaucho"},
    )


async def log(cluster, key=None):
    """Return the executions that the endpoints logged, of one key or all."""
    runs = []
    for name in BALLOTS:
        runs += await cluster.get(name, "/log")
    scoped_key = f"gaucho/{key}"
    return [run for run in runs if key is None or run["key"] == scoped_key]


async def state_of(cluster, key):
    """Return the state of a stored idempotency record, or None."""
    rows = (await cluster.get("table", "/scan?prefix=once/"))["rows"]
    for row in rows:
        if row["key"].endswith(f"/{key}"):
            return row["value"]["state"]
    return None


async def metric(cluster, index, name):
    """Return one sample of a daemon's metrics, or zero if absent."""
    url = f"http://{cluster.daemons[index].public}/metrics"
    async with cluster.session.get(url) as answer:
        for line in (await answer.text()).splitlines():
            if line.startswith(f"{name} "):
                return float(line.split()[-1])
    return 0.0


async def until(func, *args):
    """Poll a coroutine function until its result is true; return it."""
    async with asyncio.timeout(POLL_TIMEOUT_S):
        while not (result := await func(*args)):
            await asyncio.sleep(0.01)
        return result


async def cast_until_sent(cluster, index, key):
    """Retry while the ballot is refused or has not run; return the answer."""

    async def attempt():
        result = await cast(cluster, index, key)
        is_refused = (
            result.outcome == "not-run" or result.status == REFUSED_STATUS
        )
        return None if is_refused else result

    return await until(attempt)


async def until_complete(cluster, index, key):
    """Retry until the outcome is complete; return the answer."""

    async def attempt():
        result = await cast(cluster, index, key)
        return result if result.outcome == "complete" else None

    return await until(attempt)


async def open_breakers(cluster):
    """Send other ballots until each daemon treats the store as down."""
    for index in range(len(cluster.daemons)):
        async with asyncio.timeout(POLL_TIMEOUT_S):
            result = None
            while result is None or result.status != 503:
                result = await cast(cluster, index, "other", ms=300)


@contextlib.asynccontextmanager
async def stand_ins_stopped(cluster, seconds):
    """Suspend the process of all stand-ins; wait at the end until it resumes.

    Parameters
    ----------
    cluster : Cluster
    seconds : float
        Duration, from the beginning of the block.
    """
    host = cluster.host
    host.send_signal(signal.SIGSTOP)

    async def resume():
        await asyncio.sleep(seconds)
        host.send_signal(signal.SIGCONT)

    task = asyncio.create_task(resume())
    try:
        yield
    finally:
        await task


def hold(cluster, names, held):
    """Withhold or release the answers of some stand-ins."""
    for name in names:
        cluster.proxies[name].hold_answers = held


def hold_from(cluster, names, instances):
    """Withhold the answers of some stand-ins from these daemons only.

    Parameters
    ----------
    names : iterable of str
    instances : list of int
        Indexes of the daemons; an empty list releases all answers.
    """
    sources = {cluster.daemons[index].source for index in instances}
    for name in names:
        cluster.proxies[name].held_sources = set(sources)


@contextlib.asynccontextmanager
async def cluster(*, daemons=2, lookup=True, **changes):
    """Run daemons with a pipeline whose middle stage is not repeatable."""
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
            await until(_has_config_version, running, daemon, body["version"])
        yield running


async def _has_config_version(running, daemon, version):
    url = f"http://{daemon.control}/control/status"
    async with running.session.get(url) as answer:
        return (await answer.json())["version"] >= version


async def state_of_era(cluster):
    """Return what the store holds of its present era, or None."""
    rows = (await cluster.get("table", "/scan?prefix=store-era"))["rows"]
    return rows[0]["value"] if rows else None
