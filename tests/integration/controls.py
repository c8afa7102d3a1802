"""Helpers that send requests to the control addresses of daemons."""

import asyncio
import contextlib
import json
import sys

import aiohttp

from testkit import builders

__all__ = ["command", "get", "post", "team_note", "until", "versions"]

WAIT_S = 60.0


async def get(cluster, index, path):
    """Return JSON from a path of a daemon's control address."""
    url = f"http://{cluster.daemons[index].control}{path}"
    async with cluster.session.get(url) as answer:
        return await answer.json()


async def post(cluster, index, path, body=None):
    """Post JSON to a daemon's control address; return status and body."""
    url = f"http://{cluster.daemons[index].control}{path}"
    async with cluster.session.post(url, json=body) as answer:
        return answer.status, await answer.json()


async def versions(cluster, indexes):
    """Return the configuration version that each daemon applies."""
    requests = [get(cluster, index, "/control/version") for index in indexes]
    return [body["version"] for body in await asyncio.gather(*requests)]


async def until(check, *, wait_s=WAIT_S):
    """Poll a coroutine function until its result is true; return that."""
    async with asyncio.timeout(wait_s):
        while True:
            with contextlib.suppress(aiohttp.ClientError):
                if result := await check():
                    return result
            await asyncio.sleep(0.05)


def team_note(base, name, *, author="ana", rate=1000):
    """Return a configuration note that adds a team."""
    return builders.note(
        base, author=author, added={"teams": {name: {"rate": rate}}}
    )


async def command(*args):
    """Run a command of the program; return exit code, output and errors."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "sycamoreshed",
        *map(str, args),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    out, err = await process.communicate()
    body = json.loads(out) if out.strip().startswith(b"{") else out.decode()
    return process.returncode, body, err.decode()
