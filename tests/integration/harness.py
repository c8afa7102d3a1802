"""A forwarding daemon between callers and scripted endpoints, for tests."""

import contextlib
import json

import aiohttp
import yarl

from standins import scripted
from testkit import gateways
from testkit import wiredata

__all__ = [
    "ENTRY_S",
    "SEAL",
    "URL",
    "call",
    "endpoints",
    "event",
    "pieces_script",
    "serving",
    "stream_route",
    "well",
]

URL = "http://{}/lookup/a%2Fb//c?q=1"
SEAL = "X-Sycamoreshed-Response-Seal"
ENTRY_S = 3.0


@contextlib.asynccontextmanager
async def endpoints(store, *scripts, **beat):
    """Run scripted endpoints that are registered in a store."""
    found = []
    for number, script in enumerate(scripts):
        endpoint = scripted.Endpoint(script)
        await endpoint.start()
        store.put(
            "servers", f"i-{number}", wiredata.beat(endpoint.address, **beat)
        )
        found.append(endpoint)
    yield found
    for endpoint in found:
        await endpoint.stop()


@contextlib.asynccontextmanager
async def serving(store, folder, **document):
    """Run one daemon that is ready, and a session of a caller."""
    settings = {"table": store.address, **document}
    async with gateways.gateways(folder, [settings]) as (gateway,):
        await gateway.wait_ready()
        async with aiohttp.ClientSession() as session:
            yield gateway, session


async def call(session, gateway, method="GET", **more):
    """Send a request; return status, headers and body."""
    headers = more.pop("headers", wiredata.head())
    url = more.pop("url", URL).format(gateway.public)
    async with session.request(
        method,
        yarl.URL(url, encoded=True),
        headers=headers,
        **more,
    ) as answer:
        return answer.status, answer.headers, await answer.read()


def well(seen):
    """Answer a request well."""
    yield scripted.answer(200, b"whole", **{SEAL: "proof"})


def event(number):
    """Return an event of a stream."""
    return f"id: {number}\ndata: token {number}\n\n".encode()


def stream_route(**changes):
    """Return a configuration with a route of streams."""
    route = wiredata.route(route_kind="streaming", **changes)
    return wiredata.configuration(2, routes=[route])


def pieces_script(answer):
    """Return a script of an endpoint that works on pieces."""

    def script(seen):
        if seen.target == "/v1/stage-free":
            yield scripted.answer(200)
            return
        items = json.loads(seen.body)["items"]
        yield 0.05
        body = json.dumps({"items": [answer(item) for item in items]})
        yield scripted.answer(200, body.encode())

    return script
