"""Stops of an instance that knows little of how long requests last."""

import asyncio
import socket
import time

import pytest

from standins import scripted
from testkit import stopcallers
from testkit import wiredata
from tests.integration import harness

# From SIGTERM to SIGKILL.
GRACE_S = 4.0
# More than is left of the grace period when a late request is sent.
LONG_S = 2.6
LATE_S = 1.8
SHORT_S = 0.3
# More than the system holds of a response that is not read.
BODY_BYTES = 14 << 20
KINDS = {
    "safe": {"route_kind": "safe"},
    "unsafe": {"route_kind": "unsafe"},
    "stream": {"route_kind": "streaming"},
    "resumable stream": {"route_kind": "streaming", "resumable": True},
}


def route(**changes):
    """Return a configuration with one route, whose timeout is long."""
    settings = {
        "timeout_ms": 9000,
        "target_latency_ms": 1000,
        "itl_target_ms": 2000,
        **changes,
    }
    return wiredata.configuration(2, routes=[wiredata.route(**settings)])


def answering(seconds, *, is_stream=False):
    """Return the script of an endpoint whose answers last so long."""

    def script(_received):
        if is_stream:
            yield scripted.stream_head(**{harness.SEAL: "proof"})
            yield harness.event(0)
        yield seconds
        if is_stream:
            yield harness.event(1)
        else:
            yield scripted.answer(200, b"whole", **{harness.SEAL: "proof"})

    return script


def raw_head(request, **more):
    """Return the head of a request without its last fields."""
    fields = wiredata.head(request, deadline_ms="9000", **more)
    lines = [f"{name}: {value}\r\n" for name, value in fields.items()]
    return "".join(["POST /lookup/1 HTTP/1.1\r\n", *lines]).encode()


async def open_connection(gateway):
    """Return reader and writer of a caller's connection; it buffers little."""
    host, _, port = gateway.public.rpartition(":")
    sock = socket.create_connection((host, int(port)))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)
    return await asyncio.open_connection(sock=sock)


async def send(gateway, number, **more):
    """Send a request on a new connection; return its `Outcome`."""
    request = f"r-{number}"
    head = raw_head(request, **more)
    return await stopcallers.send(gateway.public, request, head)


async def send_in_stop(gateway, *delays_s):
    """Stop a daemon as the platform does; send requests after SIGTERM.

    Returns
    -------
    list of Outcome
    """

    async def send_after(number, delay_s):
        await asyncio.sleep(delay_s)
        return await send(gateway, number)

    gateway.process.terminate()
    sending = [
        asyncio.create_task(send_after(number, delay_s))
        for number, delay_s in enumerate(delays_s)
    ]
    try:
        async with asyncio.timeout(GRACE_S):
            await gateway.process.wait()
    except TimeoutError:
        await gateway.kill()
    return await asyncio.gather(*sending)


@pytest.mark.parametrize("name", KINDS)
async def test_late_request_of_an_unknown_route_is_not_cut_at_the_end(
    store, tmp_path, name
):
    """It was taken, as nothing was known of its route, and cut off."""
    store.put("op", "config", route(**KINDS[name]))
    script = answering(LONG_S, is_stream="stream" in name)
    async with (
        harness.endpoints(store, script, script),
        harness.serving(store, tmp_path, grace_s=GRACE_S) as (gateway, _),
    ):
        began_at = time.monotonic()
        (late,) = await send_in_stop(gateway, LATE_S)
    assert late.status == 503
    assert late.ended_at - began_at < LATE_S + SHORT_S


@pytest.mark.parametrize("name", KINDS)
async def test_early_request_of_an_unknown_route_is_served_in_a_stop(
    store, tmp_path, name
):
    """A stopping instance must not reject what ends long before it does."""
    store.put("op", "config", route(target_latency_ms=500, **KINDS[name]))
    script = answering(SHORT_S, is_stream="stream" in name)
    async with (
        harness.endpoints(store, script, script),
        harness.serving(store, tmp_path, grace_s=GRACE_S) as (gateway, _),
    ):
        outcomes = await send_in_stop(gateway, 0.1, 0.8, 1.5)
    assert [each.status for each in outcomes] == [200, 200, 200]


async def test_repeat_that_cannot_end_is_not_begun_in_a_stop(store, tmp_path):
    """An attempt was given up for another one, which was cut off."""
    store.put("op", "config", route(target_latency_ms=500))
    # Twice the target is over before the answer, and less than that is left.
    script = answering(2.2)
    async with (
        harness.endpoints(store, script, script, script) as endpoints,
        harness.serving(store, tmp_path, grace_s=GRACE_S) as (gateway, _),
    ):
        (outcome,) = await send_in_stop(gateway, 1.0)
        arrivals = sum(len(each.seen) for each in endpoints)
    assert outcome.status == 200
    assert arrivals == 1


@pytest.mark.parametrize("name", KINDS)
async def test_late_request_is_not_cut_though_earlier_ones_were_short(
    store, tmp_path, name
):
    """What lasted longer since the stop did not count, as it had not ended."""
    store.put("op", "config", route(**KINDS[name]))
    seconds = [0.05]

    def script(received):
        is_stream = "stream" in name
        yield from answering(seconds[0], is_stream=is_stream)(received)

    async with (
        harness.endpoints(store, script, script, slots=100),
        harness.serving(store, tmp_path, grace_s=GRACE_S) as (gateway, _),
    ):
        for number in range(24):
            assert (await send(gateway, f"early-{number}")).status == 200
        seconds[0] = LONG_S
        outcomes = await send_in_stop(
            gateway, 0.1, 0.2, 0.3, 0.4, 0.5, LATE_S, LATE_S + 0.05
        )
    *early, first, second = [each.status for each in outcomes]
    assert set(early) == {200}
    assert (first, second) == (503, 503)


async def test_upload_that_arrives_too_late_in_a_stop_is_rejected_at_once(
    store, tmp_path
):
    """Its caller sent on until the connection was cut without an answer."""
    store.put("op", "config", route(route_kind="unsafe"))
    async with (
        harness.endpoints(store, harness.answer_ok) as (endpoint,),
        harness.serving(store, tmp_path, grace_s=GRACE_S) as (gateway, _),
    ):
        reader, writer = await open_connection(gateway)
        length = b"Content-Length: 1000\r\n\r\n"
        writer.write(raw_head("r-1") + length + b"a part")
        await asyncio.sleep(0.2)
        gateway.process.terminate()
        async with asyncio.timeout(GRACE_S / 2):
            raw = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        async with asyncio.timeout(GRACE_S):
            assert await gateway.process.wait() == 0
    assert raw.startswith(b"HTTP/1.1 503 ")
    assert b"Retry-After: 0" in raw
    assert endpoint.seen == []


async def test_request_is_rejected_as_soon_as_its_stages_take_too_long(
    store, tmp_path
):
    """It waited for its stages to end, and was rejected only then."""
    stages = [{"service": "first", "after": [], "size_bytes": 8000}]
    document = route(stages=stages, target_latency_ms=4000)
    document["services"] = [
        wiredata.service(),
        wiredata.piece_service("first", call_ms=200.0),
    ]
    store.put("op", "config", document)

    def run_pieces(received):
        if received.target != "/v1/stage-free":
            yield 30.0
        yield scripted.answer(200)

    first = scripted.Endpoint(run_pieces)
    await first.start()
    store.put("servers", "i-9", wiredata.beat(first.address, service="first"))
    fields = {"pieces": "1", "piece_key": "k"}
    async with (
        harness.endpoints(store, harness.answer_ok) as (engine,),
        harness.serving(store, tmp_path, grace_s=GRACE_S) as (gateway, _),
    ):
        sending = asyncio.create_task(send(gateway, 1, **fields))
        await asyncio.sleep(0.2)
        began_at = time.monotonic()
        await send_in_stop(gateway)
        outcome = await sending
    await first.stop()
    assert outcome.status == 503
    assert outcome.ended_at - began_at < GRACE_S / 2
    assert engine.seen == []


@pytest.mark.parametrize("name", ["safe", "unsafe"])
async def test_request_that_outlasts_the_stop_gets_an_answer(
    store, tmp_path, name
):
    """Its connection was cut, and the process had to be killed."""
    store.put("op", "config", route(**KINDS[name]))
    script = answering(30.0)
    async with (
        harness.endpoints(store, script, script),
        harness.serving(store, tmp_path, grace_s=GRACE_S) as (gateway, _),
    ):
        sending = asyncio.create_task(send(gateway, 1))
        await asyncio.sleep(0.2)
        await send_in_stop(gateway)
        outcome = await sending
        assert gateway.process.returncode == 0
        (failed,) = gateway.events("failed")
    # Neither of them tells that it has not run.
    assert outcome.status in (502, 504)
    if name == "unsafe":
        assert failed["kind"] == "draining"


async def test_stream_that_outlasts_the_stop_does_not_look_whole(
    store, tmp_path
):
    """The process had to be killed, as it waited for a stream that went on."""
    store.put("op", "config", route(**KINDS["stream"]))
    script = answering(30.0, is_stream=True)
    async with (
        harness.endpoints(store, script, script),
        harness.serving(store, tmp_path, grace_s=GRACE_S) as (gateway, _),
    ):
        sending = asyncio.create_task(send(gateway, 1))
        await asyncio.sleep(0.2)
        await send_in_stop(gateway)
        outcome = await sending
        assert gateway.process.returncode == 0
    assert outcome.status is None


async def test_instance_that_served_nothing_stops_by_what_others_have_seen(
    store, tmp_path
):
    """It took a request of a route whose answers others knew to be long."""
    store.put("op", "config", route(target_latency_ms=500))
    script = answering(LONG_S)
    async with (
        harness.endpoints(store, script, slots=100),
        harness.serving_in_zones(store, tmp_path, grace_s=GRACE_S) as (
            (known, other, new),
            _,
        ),
    ):
        for gateway in (known, other):
            served = [send(gateway, f"early-{n}") for n in range(4)]
            outcomes = await asyncio.gather(*served)
            assert {each.status for each in outcomes} == {200}
        # Less is left than that, and more than nothing known would need.
        (late,) = await send_in_stop(new, 1.2)
        told = new.events("durations_told")
    assert late.status == 503
    assert sum(each["samples"] for each in told) > 0


async def test_attempt_before_the_stop_is_not_given_up_within_it(
    store, tmp_path
):
    """It was given up by its time limit, though no other could be made."""
    store.put("op", "config", route(target_latency_ms=800))
    script = answering(LONG_S)
    async with (
        harness.endpoints(store, script, script, script) as endpoints,
        harness.serving(store, tmp_path, grace_s=GRACE_S) as (gateway, _),
    ):
        sending = asyncio.create_task(send(gateway, 1))
        await asyncio.sleep(0.1)
        await send_in_stop(gateway)
        outcome = await sending
        arrivals = sum(len(each.seen) for each in endpoints)
    assert outcome.status == 200
    assert arrivals == 1


async def test_caller_that_reads_slowly_gets_its_whole_answer_in_a_stop(
    store, tmp_path
):
    """The process ended before the answer had left it."""
    store.put(
        "op", "config", route(route_kind="unsafe", target_latency_ms=500)
    )
    body = bytes(BODY_BYTES)

    def script(_received):
        yield scripted.answer(200, body, **{harness.SEAL: "proof"})

    async with (
        harness.endpoints(store, script),
        harness.serving(store, tmp_path, grace_s=GRACE_S) as (gateway, _),
    ):
        host, _, port = gateway.public.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        fields = wiredata.head("r-1", deadline_ms="9000")
        lines = [f"{name}: {value}\r\n" for name, value in fields.items()]
        lines.append("Content-Length: 0\r\n\r\n")
        gateway.process.terminate()
        await asyncio.sleep(0.5)
        writer.write("POST /lookup/1 HTTP/1.1\r\n".encode())
        writer.write("".join(lines).encode())
        await reader.readuntil(b"\r\n\r\n")
        size = 0
        while data := await reader.read(1 << 18):
            size += len(data)
            await asyncio.sleep(0.05)
        writer.close()
        async with asyncio.timeout(GRACE_S):
            assert await gateway.process.wait() == 0
    assert size == BODY_BYTES
