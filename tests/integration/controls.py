"""Asking daemons over their control addresses, for the tests."""

import asyncio
import contextlib
import json
import sys

import aiohttp

from testkit import builders

__all__ = ["command", "get", "post", "team_note", "until", "versions"]

WAIT_S = 60.0


async def get(cluster, index, path):
    """Get JSON from a daemon's control address."""
    url = f"http://{cluster.daemons[index].control}{path}"
    async with cluster.session.get(url) as answer:
        return await answer.json()


async def post(cluster, index, path, body=None):
    """Post JSON to a daemon's control address."""
    url = f"http://{cluster.daemons[index].control}{path}"
    async with cluster.session.post(url, json=body) as answer:
        return answer.status, await answer.json()


async def versions(cluster, indexes):
    """Return the versions in force on daemons."""
    asked = [get(cluster, index, "/control/version") for index in indexes]
    return [body["version"] for body in await asyncio.gather(*asked)]


async def until(check, *, wait_s=WAIT_S):
    """Wait until a coroutine function returns something true; return it."""
    async with asyncio.timeout(wait_s):
        while True:
            with contextlib.suppress(aiohttp.ClientError):
                if found := await check():
                    return found
            await asyncio.sleep(0.05)


def team_note(base, name, *, author="ana", rate=1000):
    """Return a note that adds a team."""
    return builders.note(
        base, author=author, added={"teams": {name: {"rate": rate}}}
    )


async def command(*args):
    """Run the program; return exit code, decoded output and errors."""
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
