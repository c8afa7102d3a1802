"""Results of the client of endpoints for each fault of a stand-in."""

import contextlib
import json
import socket

import aiohttp
import pytest

from standins import host
from standins import scripted
from sycamoreshed.adapters import endpoints
from sycamoreshed.adapters import web
from sycamoreshed.errors import kinds
from sycamoreshed.observe import metrics
from testkit import brokenheads
from testkit import builders

FAILED = kinds.Kind.STAGE_FAILED
STRAY = kinds.Kind.STRAY_ANSWER
REFUSED = kinds.Kind.REFUSED
BROKEN = kinds.Kind.BROKEN_STREAM
LATE = kinds.Kind.LATE
ENGINE = {"tokens": 6, "token_s": 0.0, "prefill_s": 0.0}


@contextlib.asynccontextmanager
async def client_of(kind, fault, **spec):
    """Run a stand-in with a fault; yield a client and its endpoint."""
    address = await host.start({"kind": kind, "name": kind, **spec})
    async with aiohttp.ClientSession() as session:
        await web.fetch(
            session, "POST", address, "/faults", timeout=5, body=fault
        )
        client = endpoints.Endpoints(
            session=session, metrics=metrics.Metrics()
        )
        yield client, endpoint_at(address)


def endpoint_at(address):
    """Return an endpoint with an address."""
    (endpoint,) = builders.config(
        {"one": builders.endpoint_spec(address)}
    ).endpoints["encoder"]
    return endpoint


def timeout_for(fault):
    """Return the timeout of a call; short only if the call should time out."""
    return 0.5 if "delay_s" in fault else 30.0


def new_call(number, **changes):
    """Return a call."""
    parts = {"request": "r", "stage": "s", "deadline_ms": 1000.0}
    return endpoints.Call(
        attempt=f"a{number}", payload={"x": number}, **{**parts, **changes}
    )


@pytest.mark.parametrize(
    "fault, kind, sent",
    [
        ({}, None, None),
        ({"busy": 1.0}, REFUSED, False),
        ({"fail": 1.0}, FAILED, True),
        ({"lose": 1.0}, FAILED, True),
        ({"down": True}, FAILED, True),
        ({"other_attempt": 1.0}, STRAY, True),
        ({"late": 1.0}, FAILED, True),
        ({"delay_s": 60.0, "paths": ["/call"]}, LATE, True),
    ],
)
async def test_unary_faults(fault, kind, sent):
    """An endpoint shows each of its faults.

    A call that is reported as not sent is repeated; if it had been sent, a
    call that must not be repeated would run twice.
    """
    async with client_of("pool", fault) as (client, endpoint):
        result = await client.call(
            endpoint, new_call(1), timeout=timeout_for(fault)
        )
    if kind is None:
        assert result.output == {"stage": "s", "of": {"x": 1}}
        assert result.size > 100
    else:
        assert (result.kind, result.sent) == (kind, sent)


async def test_answer_to_an_earlier_call_is_stray():
    async with client_of("pool", {"swap": 1.0}) as (client, endpoint):
        first = await client.call(endpoint, new_call(1), timeout=5)
        second = await client.call(endpoint, new_call(2), timeout=5)
        text = client._metrics.render().decode()
    assert first.output["of"] == {"x": 1}
    assert second.kind == STRAY
    assert 'stray_answers_total{why="other-attempt"} 1.0' in text


@pytest.mark.parametrize(
    "fault, offsets, end",
    [
        ({}, [0, 1, 2, 3, 4, 5, 6], "stop"),
        ({"stray": 1.0}, [0, 1, 2, 3, 4, 5, 6], "stop"),
        ({"repeat": 1.0}, [0, 1, 2, 2, 3, 4, 5, 6], "stop"),
        ({"skip": 1.0}, [0, 1, 2, 4, 5, 6], "stop"),
        ({"wrong_finish": 1.0}, [0, 1, 2, 6], "stop"),
        ({"no_finish": 1.0}, [0, 1, 2, 3], (BROKEN, True)),
        ({"break_": 1.0}, [0, 1, 2], (BROKEN, True)),
        ({"garble": 1.0}, [0, 1, 2], (BROKEN, True)),
        ({"busy": 1.0}, [], (REFUSED, False)),
        ({"fail": 1.0}, [], (FAILED, True)),
        ({"down": True}, [], (BROKEN, True)),
        ({"delay_s": 60.0, "paths": ["/gen"]}, [], (LATE, True)),
    ],
)
async def test_stream_faults(fault, offsets, end):
    """An engine shows each of its faults in a stream."""
    async with client_of("engine", fault, **ENGINE) as (client, endpoint):
        stream = client.stream(
            endpoint, new_call(1), timeout=timeout_for(fault)
        )
        items = [item async for item in stream]
    chunks = [item for item in items if isinstance(item, endpoints.Chunk)]
    assert [chunk.offset for chunk in chunks] == offsets
    last = items[-1]
    if end == "stop":
        assert last.finish == "stop"
        assert last.size > sum(len(item.token or "") for item in chunks)
    else:
        assert (last.kind, last.sent) == end
        assert len(items) == len(offsets) + 1


async def test_resumed_stream_starts_at_its_offset():
    async with client_of("engine", {}, **ENGINE) as (client, endpoint):
        call = new_call(1, offset=4)
        items = [
            item async for item in client.stream(endpoint, call, timeout=5)
        ]
    assert [item.offset for item in items] == [4, 5, 6]


@pytest.mark.parametrize("connects", [False, None])
async def test_no_connection_means_not_sent(connects, monkeypatch):
    """An endpoint does not listen, or drops attempts to connect."""
    monkeypatch.setattr(web, "CONNECT_TIMEOUT_S", 0.2)
    with contextlib.ExitStack() as stack:
        server = stack.enter_context(socket.socket())
        server.bind(("127.0.0.1", 0))
        if connects is None:
            # A full backlog drops further attempts to connect.
            server.listen(0)
            for _ in range(4):
                waiting = stack.enter_context(socket.socket())
                waiting.setblocking(False)
                waiting.connect_ex(server.getsockname())
        endpoint = endpoint_at(f"127.0.0.1:{server.getsockname()[1]}")
        async with aiohttp.ClientSession() as session:
            client = endpoints.Endpoints(
                session=session, metrics=metrics.Metrics()
            )
            unary = await client.call(endpoint, new_call(1), timeout=30)
            stream = client.stream(endpoint, new_call(2), timeout=30)
            (streamed,) = [item async for item in stream]
    assert (unary.kind, unary.sent) == (REFUSED, False)
    assert (streamed.kind, streamed.sent) == (REFUSED, False)


async def test_cancel_reaches_the_endpoint():
    async with client_of("pool", {}) as (client, endpoint):
        await endpoints.cancel_in_background(client, endpoint, new_call(1))
        while endpoints._cancel_tasks:
            await endpoints.asyncio.sleep(0.01)
        counts = await client.request(endpoint, "GET", "/counts", timeout=5)
    assert counts.body["cancelled"] == 1


def body_of(received):
    """Return a whole answer to a call: an output, or the lines of a stream."""
    call = json.loads(received.body)
    if received.target == "/lookup":
        return json.dumps({"state": "ran", "output": 1}).encode()
    ids = {name: call[name] for name in ("request", "stage", "attempt")}
    if received.target == "/call":
        return json.dumps({**ids, "output": 1}).encode()
    lines = [{"offset": 0, "token": "t"}, {"offset": 1, "finish": "stop"}]
    return b"".join(
        json.dumps({**ids, **line}).encode() + b"\n" for line in lines
    )


async def result_of(answer, way):
    """Return the last of what an endpoint's answer is read as."""

    def script(received):
        yield brokenheads.carrying(answer, body_of(received))
        yield 0.05

    server = scripted.Endpoint(script)
    await server.start()
    endpoint = endpoint_at(server.address)
    async with web.open_session(web.Connector()) as session:
        client = endpoints.Endpoints(
            session=session, metrics=metrics.Metrics()
        )
        if way == "stream":
            stream = client.stream(endpoint, new_call(1), timeout=30)
            result = [item async for item in stream][-1]
        elif way == "call":
            result = await client.call(endpoint, new_call(1), timeout=30)
        else:
            result = await client.look_up(endpoint, "k", timeout=30)
    await server.stop()
    assert server.seen
    return result


@pytest.mark.parametrize("way", ["call", "stream", "look up"])
async def test_answer_with_a_broken_head_is_a_failure(way):
    """The body of an answer whose head is none was taken for an output."""
    wrong = {}
    for name, answer in brokenheads.BROKEN.items():
        result = await result_of(answer, way)
        if not getattr(result, "sent", False) or "Told" in result.reason:
            wrong[name] = result
    assert sorted(wrong) == []


@pytest.mark.parametrize("way", ["call", "stream", "look up"])
async def test_answer_with_an_odd_head_is_taken(way):
    """The answers of the test above fail for their heads alone."""
    wrong = {}
    for name, (status, answer) in brokenheads.SOUND.items():
        # Its body is sent in parts of a fixed size.
        if status != 200 or name == "chunks":
            continue
        result = await result_of(answer, way)
        if isinstance(result, kinds.Failure):
            wrong[name] = result
    assert sorted(wrong) == []
