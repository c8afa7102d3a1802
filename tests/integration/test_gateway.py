"""The forwarding daemon as a process, between callers and endpoints."""

import asyncio
import contextlib
import json

import aiohttp
import pytest
import yarl

from standins import platformstore
from standins import scripted
from testkit import gateways
from testkit import wiredata

URL = "http://{}/lookup/a%2Fb//c?q=1"
SEAL = "X-Sycamoreshed-Response-Seal"
ENTRY_S = 3.0


@pytest.fixture
async def store():
    """Run a store with a configuration."""
    result = platformstore.PlatformStore()
    await result.start()
    result.put("op", "config", wiredata.configuration())
    yield result
    await result.stop()


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


async def test_a_request_passes_unchanged(store, tmp_path):
    """Method, path, query, body and proof reach the other side as sent.

    What only the system may set is dropped where a caller sends it, and
    the key is not passed on.
    """
    headers = wiredata.head(
        tenant="team-b",
        hold="h-1",
        pin_ms="4000",
        inputs="10.0.0.1:1/x",
        length_hint="7",
    )
    headers["Kv-From"] = "10.0.0.1:1/x"
    store.put(
        "op",
        "config",
        wiredata.configuration(
            2, routes=[wiredata.route(route_kind="unsafe")]
        ),
    )
    async with endpoints(store, well) as (endpoint,):
        async with serving(store, tmp_path) as (gateway, session):
            status, told, body = await call(
                session, gateway, "POST", headers=headers, data=b"ballot"
            )
    assert (status, body, told[SEAL]) == (200, b"whole", "proof")
    (seen,) = endpoint.seen
    assert seen.method == "POST"
    assert seen.target == "/lookup/a%2Fb//c?q=1"
    assert seen.body == b"ballot"
    assert seen.headers["host"] == "pages.example"
    assert seen.headers["x-sycamoreshed-tenant"] == "team-a"
    assert seen.headers["x-sycamoreshed-expect-instance"] == "i-0"
    assert seen.headers["x-sycamoreshed-length-hint"] == "7"
    assert 2000 < int(seen.headers["x-sycamoreshed-deadline-ms"]) <= 3000
    for name in ("authorization", "kv-from", "x-sycamoreshed-hold"):
        assert name not in seen.headers
    for name in ("x-sycamoreshed-pin-ms", "x-sycamoreshed-inputs"):
        assert name not in seen.headers


@pytest.mark.parametrize(
    ("headers", "url", "status"),
    [
        ({"Authorization": "Token other"}, URL, 401),
        ({"Host": "other.example"}, URL, 404),
        ({}, "http://{}/none/", 404),
    ],
)
async def test_who_has_no_route_or_key_is_told(
    store, tmp_path, headers, url, status
):
    async with endpoints(store, well) as (endpoint,):
        async with serving(store, tmp_path) as (gateway, session):
            found, _, _ = await call(
                session,
                gateway,
                headers={**wiredata.head(), **headers},
                url=url,
            )
    assert found == status
    assert not endpoint.seen


async def test_an_answer_without_length_that_is_reset_is_not_whole(
    store, tmp_path
):
    """An endpoint crashes after half an answer that its connection ends.

    The HTTP library takes the reset for the end; a caller would be given
    half a page as if it were all.
    """

    def crash(_seen):
        yield scripted.stream_head(**{SEAL: "proof"}) + b"who"
        yield scripted.RESET

    store.put(
        "op",
        "config",
        wiredata.configuration(
            2, routes=[wiredata.route(route_kind="unsafe")]
        ),
    )
    async with endpoints(store, crash):
        async with serving(store, tmp_path) as (gateway, session):
            # Whether bytes and reset are read together is up to chance.
            results = [await call(session, gateway, "POST") for _ in range(60)]
    assert {status for status, _, _ in results} == {502}
    assert not any(SEAL in told for _, told, _ in results)


@pytest.mark.parametrize("kind", ["unsafe", "streaming"])
async def test_what_may_run_once_is_not_sent_again(store, tmp_path, kind):
    """An endpoint runs a ballot and its connection breaks before the answer.

    Sent again, the ballot would be recorded twice; told "not run", the
    member would vote again.
    """

    def lost(_seen):
        yield scripted.RESET

    store.put(
        "op",
        "config",
        wiredata.configuration(2, routes=[wiredata.route(route_kind=kind)]),
    )
    async with endpoints(store, lost, lost) as found:
        async with serving(store, tmp_path) as (gateway, session):
            status, _, _ = await call(session, gateway, "POST", data=b"vote")
    assert status == 502
    assert sum(len(each.seen) for each in found) == 1


async def test_what_an_endpoint_did_not_run_goes_to_another(store, tmp_path):
    """One endpoint is full and says that it did not run the ballot."""

    def full(_seen):
        yield scripted.answer(503, **{"X-Sycamoreshed-Not-Executed": "1"})

    store.put(
        "op",
        "config",
        wiredata.configuration(
            2, routes=[wiredata.route(route_kind="unsafe")]
        ),
    )
    async with endpoints(store, full, full, well) as found:
        async with serving(store, tmp_path) as (gateway, session):
            results = [
                await call(session, gateway, "POST", data=b"vote")
                for _ in range(6)
            ]
    statuses = {status for status, _, _ in results}
    # Two attempts are allowed; two endpoints are full.
    assert 200 in statuses and statuses <= {200, 503}
    for status, told, _ in results:
        assert status == 200 or float(told["Retry-After"]) > 0
    assert all(len(each.seen) <= 6 for each in found)


async def test_a_promise_without_the_endpoints_word_is_not_passed_on(
    store, tmp_path
):
    """A faulty endpoint answers 503 after it ran a ballot.

    Passed on, the status would tell the member that the vote was not cast.
    """

    def wrong(_seen):
        yield scripted.answer(503, b"busy", **{SEAL: "proof"})

    store.put(
        "op",
        "config",
        wiredata.configuration(
            2, routes=[wiredata.route(route_kind="unsafe")]
        ),
    )
    async with endpoints(store, wrong):
        async with serving(store, tmp_path) as (gateway, session):
            status, told, _ = await call(session, gateway, "POST")
    assert status == 502
    assert SEAL not in told


async def test_a_read_that_fails_is_read_elsewhere(store, tmp_path):
    """One of two endpoints fails all reads; callers notice nothing."""

    def fails(_seen):
        yield scripted.answer(500, b"no", **{SEAL: "proof"})

    async with endpoints(store, fails, well):
        async with serving(store, tmp_path) as (gateway, session):
            results = [await call(session, gateway) for _ in range(8)]
    assert {status for status, _, _ in results} == {200}


async def test_the_only_endpoints_failure_is_told_as_it_is(store, tmp_path):
    """The one endpoint of a service fails a read, and nobody else is there.

    The caller gets that answer with its proof, not one of ours.
    """

    def fails(_seen):
        yield scripted.answer(500, b"no", **{SEAL: "proof"})

    async with endpoints(store, fails):
        async with serving(store, tmp_path) as (gateway, session):
            status, told, body = await call(session, gateway)
    assert (status, body, told[SEAL]) == (500, b"no", "proof")


def event(number):
    """Return an event of a stream."""
    return f"id: {number}\ndata: token {number}\n\n".encode()


def stream_route(**changes):
    """Return a configuration with a route of streams."""
    route = wiredata.route(route_kind="streaming", **changes)
    return wiredata.configuration(2, routes=[route])


async def test_a_resumable_stream_goes_on_at_another_engine(store, tmp_path):
    """An engine crashes in the middle of its second event.

    The caller gets each event once and the end, from two engines.
    """
    sent = []

    def crash_or_go_on(seen):
        yield scripted.stream_head(**{SEAL: f"proof {len(sent)}"})
        sent.append(seen.headers.get("last-event-id"))
        if len(sent) == 1:
            yield event(0) + event(1)[:9]
            yield 0.1
            yield scripted.RESET
            return
        yield event(1) + event(2)

    store.put("op", "config", stream_route(resumable=True))
    async with endpoints(store, crash_or_go_on, crash_or_go_on):
        async with serving(store, tmp_path) as (gateway, session):
            status, told, body = await call(session, gateway, "POST")
    assert status == 200
    assert told[SEAL] == "proof 0"
    assert body == event(0) + event(1) + event(2)
    assert sent == [None, "0"]


async def test_a_broken_stream_does_not_look_whole(store, tmp_path):
    """An engine crashes after the first event of a stream.

    It may not be resumed, and the caller must see that the end is
    missing.
    """

    def crash(_seen):
        yield scripted.stream_head(**{SEAL: "proof"}) + event(0)
        yield 0.1
        yield scripted.RESET

    store.put("op", "config", stream_route())
    async with endpoints(store, crash, crash) as found:
        async with serving(store, tmp_path) as (gateway, session):
            with pytest.raises(aiohttp.ClientPayloadError):
                await call(session, gateway, "POST")
            await asyncio.sleep(0.5)
            assert len(gateway.events("broken")) == 1
    assert sum(len(each.seen) for each in found) == 1


async def test_work_ends_when_the_caller_leaves(store, tmp_path):
    """A caller hangs up while an engine works.

    The engine must hear of it, or it goes on for nobody.
    """

    def slow(_seen):
        yield scripted.stream_head() + event(0)
        yield 20.0

    store.put("op", "config", stream_route())
    async with endpoints(store, slow) as (engine,):
        async with serving(store, tmp_path) as (gateway, session):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.5):
                    await call(session, gateway, "POST")
            async with asyncio.timeout(0.5):
                while not engine.left:
                    await asyncio.sleep(0.02)


async def test_nothing_is_served_before_a_configuration_is_known(tmp_path):
    """A process starts while neither store nor peers can be reached.

    It must not answer 404 for routes that exist.
    """
    store = platformstore.PlatformStore()
    await store.start()
    store.mood = platformstore.Mood(status=503)
    settings = {"table": store.address}
    async with gateways.gateways(tmp_path, [settings]) as (gateway,):
        async with aiohttp.ClientSession() as session:
            async with asyncio.timeout(10):
                while True:
                    with contextlib.suppress(aiohttp.ClientError):
                        status, _, _ = await call(session, gateway)
                        break
                    await asyncio.sleep(0.05)
            assert status == 503
            assert not await gateway.is_ready()
            store.put("op", "config", wiredata.configuration())
            store.mood = platformstore.Mood()
            await gateway.wait_ready()
    await store.stop()


async def test_an_instance_registers_once_it_knows_what_to_do(tmp_path):
    """An instance has started and does not know the services yet.

    Registered already, it would be asked to take requests of its zone
    through their stages, and refuse them.
    """
    table = "sycamoreshed-instances"
    store = platformstore.PlatformStore()
    await store.start()
    settings = {"table": store.address}
    async with gateways.gateways(tmp_path, [settings]) as (gateway,):
        async with asyncio.timeout(10):
            while not store.calls:
                await asyncio.sleep(0.05)
        await asyncio.sleep(0.5)
        assert not store.rows(table)
        store.put("op", "config", wiredata.configuration())
        await gateway.wait_ready()
        async with asyncio.timeout(2):
            while "edge-1" not in store.rows(table):
                await asyncio.sleep(0.05)
        await gateway.stop()
        assert store.rows(table)["edge-1"][-1] is True
    await store.stop()


async def test_a_revoked_key_reaches_who_the_store_turns_away(tmp_path):
    """The store refuses one instance while the operator revokes a key.

    Other instances know; with the key still accepted there, a former member
    would go on for as long as the store refuses.
    """
    store = platformstore.PlatformStore()
    turning = platformstore.PlatformStore()
    await store.start()
    await turning.start()
    for each in (store, turning):
        each.put("op", "config", wiredata.configuration())
    documents = [
        {"instance": "edge-1", "table": store.address},
        {"instance": "edge-2", "table": turning.address},
    ]
    async with (
        endpoints(store, well) as (endpoint,),
        gateways.gateways(tmp_path, documents) as (near, away),
    ):
        turning.put("servers", "i-0", wiredata.beat(endpoint.address))
        away.document["peers"] = [near.control]
        away.write_settings()
        await near.wait_ready()
        await away.wait_ready()
        away.process.send_signal(1)
        turning.mood = platformstore.Mood(status=429)
        store.put("op", "config", wiredata.configuration(9, tenants=[]))
        async with aiohttp.ClientSession() as session:
            async with asyncio.timeout(6):
                while (await call(session, away))[0] != 401:
                    await asyncio.sleep(0.1)
        assert (await away.status())["version"] == 9
    await store.stop()
    await turning.stop()


async def test_an_endpoint_that_leaves_gets_nothing_new(store, tmp_path):
    """An endpoint says that it leaves.

    Within a second all requests go to the other one.
    """
    async with endpoints(store, well, well) as (leaving, staying):
        async with serving(store, tmp_path) as (gateway, session):
            beat = wiredata.beat(leaving.address, state="draining")
            store.put("servers", "i-0", beat)
            await asyncio.sleep(0.5)
            before = len(leaving.seen)
            for _ in range(6):
                await call(session, gateway)
    assert len(leaving.seen) == before
    assert len(staying.seen) == 6


async def test_entries_of_other_writers_do_no_harm(store, tmp_path):
    """Rows that name no endpoint lie among the endpoints' entries.

    Fields are missing or of other types, or the bytes are no JSON; the
    others are still used.
    """
    store.put("servers", "bad-1", b"\xff\x00")
    store.put("servers", "bad-2", {"service": 7})
    store.put("servers", "bad-3", wiredata.beat("nowhere"))
    store.put("servers", "bad-4", wiredata.beat("1.2.3.4:5", state="odd"))
    async with endpoints(store, well):
        async with serving(store, tmp_path) as (gateway, session):
            status, _, _ = await call(session, gateway)
    assert status == 200


async def test_a_stop_ends_requests_and_closes_connections(store, tmp_path):
    """An operator stops an instance while a request runs.

    The caller gets its answer, and the process ends with 0 within the
    grace.
    """

    def slow(_seen):
        yield 1.0
        yield scripted.answer(200, b"whole", **{SEAL: "proof"})

    async with endpoints(store, slow):
        async with serving(store, tmp_path) as (gateway, session):
            running = asyncio.create_task(call(session, gateway))
            await asyncio.sleep(0.3)
            stopping = asyncio.create_task(gateway.stop())
            status, told, body = await running
            assert (status, body) == (200, b"whole")
            assert told["Connection"] == "close"
            assert not await gateway.is_ready()
            assert await stopping == 0


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


async def test_a_stream_with_stages_goes_on_at_another_engine(store, tmp_path):
    """An engine crashes late in a long stream with stages.

    Their results were freed when it began, and the time in which stages
    of a new request have to be done is over. They are made again for the
    other engine.
    """
    stages = [{"service": "first", "after": [], "size_bytes": 8000}]
    services = [wiredata.service(), wiredata.piece_service("first")]
    document = stream_route(stages=stages, resumable=True)
    store.put("op", "config", {**document, "services": services})
    sent = []

    def crash_or_go_on(seen):
        sent.append(seen.headers.get("x-sycamoreshed-inputs"))
        yield scripted.stream_head(**{SEAL: "proof"})
        if len(sent) == 1:
            yield event(0)
            yield 0.7
            yield scripted.RESET
            return
        yield event(1)

    first = scripted.Endpoint(
        pieces_script(lambda _: {"handle": f"h{len(first.seen)}"})
    )
    await first.start()
    store.put("servers", "i-9", wiredata.beat(first.address, service="first"))
    async with endpoints(store, crash_or_go_on, crash_or_go_on):
        async with serving(store, tmp_path) as (gateway, session):
            status, _, body = await call(
                session,
                gateway,
                "POST",
                headers=wiredata.head(pieces="1", piece_key="k"),
            )
    await first.stop()
    assert (status, body) == (200, event(0) + event(1))
    assert len(sent) == 2 and sent[0] != sent[1]


async def test_stages_run_before_a_request_and_are_freed(store, tmp_path):
    """A request has two pieces of one stage and three of the next.

    Each piece of the second takes both results of the first; the engine
    gets the results of the second; all results are freed afterwards.
    """
    stages = [
        {"service": "first", "after": [], "size_bytes": 8000},
        {"service": "second", "after": [0], "size_bytes": 6000},
    ]
    services = [
        wiredata.service(),
        wiredata.piece_service("first"),
        wiredata.piece_service("second"),
    ]
    document = stream_route(stages=stages)
    store.put("op", "config", {**document, "services": services})

    def handle(item):
        return {"handle": f"{item['phase']}/{item['segment']}"}

    def engine_script(_seen):
        yield scripted.stream_head(**{SEAL: "proof"}) + event(0)

    found = {}
    for name in ("first", "second"):
        found[name] = scripted.Endpoint(pieces_script(handle))
        await found[name].start()
        beat = wiredata.beat(found[name].address, service=name)
        store.put("servers", f"i-{name}", beat)
    async with endpoints(store, engine_script) as (engine,):
        async with serving(store, tmp_path) as (gateway, session):
            status, _, body = await call(
                session,
                gateway,
                "POST",
                headers=wiredata.head(pieces="2,3", piece_key="k-7"),
            )
            await asyncio.sleep(0.5)
    assert (status, body) == (200, event(0))
    (seen,) = engine.seen
    assert seen.headers["x-sycamoreshed-inputs"] == "1/0,1/1,1/2"
    freed = []
    for endpoint in found.values():
        for each in endpoint.seen:
            if each.target == "/v1/stage-free":
                freed += json.loads(each.body)["handles"]
        await endpoint.stop()
    assert sorted(freed) == ["0/0", "0/1", "1/0", "1/1", "1/2"]
    calls = [
        json.loads(each.body)["items"]
        for each in found["second"].seen
        if each.target == "/v1/stage-run"
    ]
    assert all(
        item["inputs"] == ["0/0", "0/1"] and "key" not in item
        for items in calls
        for item in items
    )
