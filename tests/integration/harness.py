"""Helpers that run a forwarding daemon with scripted endpoints."""

import asyncio
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
    "ZONES",
    "answer_ok",
    "call",
    "call_with_stage",
    "endpoints",
    "event",
    "pieces_script",
    "serving",
    "serving_in_zones",
    "stream_route",
]

URL = "http://{}/lookup/a%2Fb//c?q=1"
SEAL = "X-Sycamoreshed-Response-Seal"
ENTRY_S = 3.0
# Zone of each instance of `serving_in_zones`.
ZONES = ("north-a", "north-a", "south-a")
REGIONS = {"north-a": "north", "south-a": "south"}
START_TIMEOUT_S = 15.0


@contextlib.asynccontextmanager
async def endpoints(store, *scripts, **beat):
    """Run scripted endpoints that are registered in a store."""
    running = []
    for number, script in enumerate(scripts):
        endpoint = scripted.Endpoint(script)
        await endpoint.start()
        store.put(
            "servers", f"i-{number}", wiredata.beat(endpoint.address, **beat)
        )
        running.append(endpoint)
    yield running
    for endpoint in running:
        await endpoint.stop()


@contextlib.asynccontextmanager
async def serving(store, folder, **document):
    """Run a daemon, wait until it is ready, and open a client session."""
    settings = {"table": store.address, **document}
    async with gateways.gateways(folder, [settings]) as (gateway,):
        await gateway.wait_ready()
        async with aiohttp.ClientSession() as session:
            yield gateway, session


@contextlib.asynccontextmanager
async def serving_in_zones(
    store, folder, *, program=gateways.PROGRAM, **document
):
    """Run an instance for each of `ZONES`, and open a client session.

    Waits until all of them are ready and know each other.
    """
    documents = [
        {
            "instance": f"edge-{number}",
            "zone": zone,
            "region": REGIONS[zone],
            "table": store.address,
            **document,
        }
        for number, zone in enumerate(ZONES)
    ]
    async with (
        gateways.gateways(folder, documents, program=program) as instances,
        aiohttp.ClientSession() as session,
    ):
        for each in instances:
            await each.wait_ready()
        async with asyncio.timeout(START_TIMEOUT_S):
            for each in instances:
                while len((await each.status())["peers"]) < len(ZONES):
                    await asyncio.sleep(0.05)
        yield instances, session


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


async def call_with_stage(
    store,
    folder,
    engine,
    first,
    *,
    head=None,
    call_ms=50.0,
    on_ready=None,
    **route,
):
    """Request a resumable stream with one stage from two equal engines.

    Parameters
    ----------
    store : PlatformStore
    folder : pathlib.Path
    engine : callable
        Script of both engines.
    first : Endpoint
        Endpoint that computes the stage's results.
    head : dict, optional
        Changes to the request's headers; see `wiredata.head`.
    call_ms : float
        Declared duration of a call of the stage's service.
    on_ready : callable, optional
        Called with the daemon before the request is sent.
    **route
        Changes to the route.

    Returns
    -------
    (int, bytes)
        Status and body of the answer.
    """
    stages = [{"service": "first", "after": [], "size_bytes": 8000}]
    services = [
        wiredata.service(),
        wiredata.piece_service("first", call_ms=call_ms),
    ]
    document = stream_route(stages=stages, resumable=True, **route)
    store.put("op", "config", {**document, "services": services})
    await first.start()
    store.put("servers", "i-9", wiredata.beat(first.address, service="first"))
    headers = wiredata.head(pieces="1", piece_key="k", **(head or {}))
    async with endpoints(store, engine, engine):
        async with serving(store, folder) as (gateway, session):
            if on_ready is not None:
                on_ready(gateway)
            status, _, body = await call(
                session, gateway, "POST", headers=headers
            )
    await first.stop()
    return status, body


def answer_ok(seen):
    """Answer a request with status 200 and a seal."""
    yield scripted.answer(200, b"whole", **{SEAL: "proof"})


def event(number):
    """Return the server-sent event with a number."""
    return f"id: {number}\ndata: token {number}\n\n".encode()


def stream_route(**changes):
    """Return a configuration with one streaming route."""
    route = wiredata.route(route_kind="streaming", **changes)
    return wiredata.configuration(2, routes=[route])


def pieces_script(answer):
    """Return the script of an endpoint that runs a stage on pieces.

    Its argument maps an item of the request to its result.
    """

    def script(seen):
        if seen.target == "/v1/stage-free":
            yield scripted.answer(200)
            return
        items = json.loads(seen.body)["items"]
        yield 0.05
        body = json.dumps({"items": [answer(item) for item in items]})
        yield scripted.answer(200, body.encode())

    return script
