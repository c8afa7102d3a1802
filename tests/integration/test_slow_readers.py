"""Callers that read answers slowly, and endpoints that read bodies slowly."""

import asyncio
import contextlib
import pathlib

import aiohttp
import pytest

from standins import scripted
from testkit import slowpeers
from testkit import wiredata
from tests.integration import harness

# The smallest instances of the platform; one that takes more is killed.
MEMORY_MB = 160
COUNT = 60
SIZE = 2_000_000
# Less than the engines wait.
SLOW_READER_S = 1.0
# Less than a slow caller takes for its answer, and more than a busy machine
# holds it up.
STEADY_READER_S = 4.0
TIMEOUT_S = 40.0
PATH = "/lookup/long"
BODY = b"x" * SIZE


def peak_memory_mb(gateway):
    """Return the most memory that a daemon has had in use."""
    status = pathlib.Path(f"/proc/{gateway.process.pid}/status").read_text()
    (line,) = [e for e in status.splitlines() if e.startswith("VmHWM")]
    return int(line.split()[1]) / 1024


def answer(seen):
    """Answer some requests with many bytes, the others with few."""
    body = BODY if seen.target == PATH else b"whole"
    yield scripted.answer(200, body, **{harness.SEAL: "proof"})


def huge_answer(_seen):
    """Send more than all connections on the way can hold."""
    count = 7
    head, _, _ = scripted.answer(200, BODY * count).partition(b"\r\n\r\n")
    yield head + b"\r\n\r\n"
    for _ in range(count):
        yield BODY


def broken_answer(_seen):
    """Send a half of a long answer."""
    head, _, _ = scripted.answer(200, BODY).partition(b"\r\n\r\n")
    yield head + b"\r\n\r\n" + BODY[: SIZE // 2]


def stream(_seen):
    """Send large events without a pause."""
    yield scripted.stream_head(**{"Content-Type": "text/event-stream"})
    for number in range(1000):
        data = "x" * 20_000
        yield f"id: {number}\ndata: {data}\n\n".encode()


def configure(store, **changes):
    """Store a configuration whose deadlines leave time to read slowly."""
    route = wiredata.route(timeout_ms=TIMEOUT_S * 1000, **changes)
    store.put("op", "config", wiredata.configuration(2, routes=[route]))


@contextlib.asynccontextmanager
async def serving(store, folder, **settings):
    """Run a daemon whose memory is limited."""
    async with harness.serving(
        store,
        folder,
        **{
            "memory_mb": MEMORY_MB,
            "slow_reader_s": SLOW_READER_S,
            **settings,
        },
    ) as running:
        yield running


def head(number=0):
    """Return the headers of a request with a late deadline."""
    return wiredata.head(f"r-{number}", deadline_ms=str(int(TIMEOUT_S * 1000)))


@contextlib.asynccontextmanager
async def slow_callers(gateway, count=1):
    """Send requests for long answers, which nobody reads."""
    callers = [slowpeers.Caller(gateway.public) for _ in range(count)]
    try:
        for number, caller in enumerate(callers):
            await caller.send(PATH, head(number))
        yield callers
    finally:
        for caller in callers:
            caller.close()


async def until(condition):
    """Wait until a condition holds."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.05)


async def assert_serves(gateway, session):
    """Check that an ordinary request is served."""
    status, _, body = await harness.call(session, gateway)
    assert (status, body) == (200, b"whole")


async def test_callers_that_do_not_read_take_little_memory(store, tmp_path):
    """Whole answers for slow callers filled the memory of an instance."""
    configure(store)
    async with (
        harness.endpoints(store, answer),
        serving(store, tmp_path) as (gateway, session),
        slow_callers(gateway, COUNT),
    ):
        await assert_serves(gateway, session)
        await until(lambda: len(gateway.events("slow_reader")) == COUNT)
        await assert_serves(gateway, session)
        assert peak_memory_mb(gateway) < MEMORY_MB
        assert not any((await gateway.status())["held_bytes"].values())


async def test_endpoints_that_do_not_read_take_little_memory(store, tmp_path):
    """Bodies for slow endpoints filled the memory of an instance."""
    configure(store, max_attempts=1)
    endpoint = slowpeers.SlowEndpoint()
    await endpoint.start()
    store.put("servers", "i-0", wiredata.beat(endpoint.address))

    async def send(session, gateway, number, size):
        data = b"x" * size
        call = harness.call(
            session, gateway, "POST", headers=head(number), data=data
        )
        return await call

    async with serving(store, tmp_path) as (gateway, session):
        tasks = [
            asyncio.create_task(send(session, gateway, number, SIZE))
            for number in range(COUNT)
        ]
        await until(lambda: gateway.events("failed"))
        small = asyncio.create_task(send(session, gateway, COUNT, 1000))
        answers = await asyncio.gather(*tasks)
        rejected = [each for each in answers if each[0] == 503]
        assert 0 < len(rejected) < COUNT
        assert all("Retry-After" in headers for _, headers, _ in rejected)
        # What was rejected has not been sent, and a small request has.
        await until(lambda: endpoint.opened == COUNT - len(rejected) + 1)
        small.cancel()
        assert peak_memory_mb(gateway) < MEMORY_MB
    await endpoint.stop()


@pytest.mark.parametrize("is_stream", [False, True])
async def test_the_engine_of_a_caller_that_does_not_read_is_freed(
    store, tmp_path, is_stream
):
    """An engine worked on for a caller that had stopped reading."""
    kind = "streaming" if is_stream else "safe"
    configure(store, route_kind=kind)
    async with (
        harness.endpoints(store, stream if is_stream else huge_answer) as (
            engine,
        ),
        serving(store, tmp_path) as (gateway, _),
        slow_callers(gateway),
    ):
        await until(lambda: engine.left == 1)
        await until(lambda: gateway.events("slow_reader"))
        (event,) = gateway.events("slow_reader")
        assert event["waited_s"] >= SLOW_READER_S
        assert not gateway.events("caller_left")


async def test_a_caller_that_reads_slowly_gets_the_whole_answer(
    store, tmp_path
):
    """A caller on a slow link was given up although it read steadily."""
    configure(store)
    async with (
        harness.endpoints(store, answer),
        serving(store, tmp_path, slow_reader_s=STEADY_READER_S) as (
            gateway,
            _,
        ),
        slow_callers(gateway) as (caller,),
    ):
        reading = asyncio.create_task(caller.read(size=20_000, pause_s=0.05))
        await until(lambda: gateway.events("answered"))
        caller_head, _, body = (await _read_rest(reading)).partition(
            b"\r\n\r\n"
        )
        assert f"Content-Length: {SIZE}".encode() in caller_head
        assert f"{harness.SEAL}: proof".encode() in caller_head
        assert body == BODY
        assert not gateway.events("slow_reader")


async def _read_rest(reading):
    async with asyncio.timeout(TIMEOUT_S):
        return await reading


async def test_a_long_answer_without_end_is_broken_off(store, tmp_path):
    """An answer without end was passed on until the deadline."""
    configure(store)

    def endless(_seen):
        yield scripted.stream_head(**{harness.SEAL: "proof"})
        while True:
            yield BODY

    async with (
        harness.endpoints(store, endless),
        serving(store, tmp_path) as (gateway, session),
    ):
        with pytest.raises(aiohttp.ClientPayloadError):
            await harness.call(session, gateway, headers=head())
        await until(lambda: gateway.events("broken"))
        (event,) = gateway.events("broken")
        assert event["why"].startswith("answer is too large")


async def test_a_long_answer_that_breaks_off_is_not_taken_for_whole(
    store, tmp_path
):
    """A part of an answer, passed on early, must not look complete."""
    configure(store)
    async with (
        harness.endpoints(store, broken_answer),
        serving(store, tmp_path) as (gateway, session),
    ):
        with pytest.raises(aiohttp.ClientPayloadError):
            await harness.call(session, gateway, url="http://{}" + PATH)
        await until(lambda: gateway.events("broken"))
