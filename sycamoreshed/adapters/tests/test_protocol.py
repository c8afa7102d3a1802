"""Connections whose responses share memory and processing time."""

import asyncio

import pytest

from standins import earlyanswers
from standins import scripted
from sycamoreshed.adapters import protocol
from sycamoreshed.adapters import web
from sycamoreshed.errors import kinds
from sycamoreshed.intake import allowance
from sycamoreshed.intake import pacing

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKS = 200_000
TIMEOUT_S = 30.0
STEP = earlyanswers.Step
# Until a server reads a request; its head has arrived by then.
READ_S = 0.3
# More than the buffers between a client and a server hold.
UPLOAD = "u" * 4_000_000


async def fetch(script, intake):
    """Return what a server's answer is read as."""
    server = scripted.Endpoint(script)
    await server.start()
    async with web.open_session(web.Connector(intake=intake)) as session:
        result = await web.fetch(
            session, "GET", server.address, "/", timeout=TIMEOUT_S
        )
    await server.stop()
    return result


async def test_response_with_most_of_a_head_yields():
    """Heads that were not whole filled the memory, from calls enough."""
    intake = protocol.ResponseIntake(
        allowance.Allowance(max_bytes=45_000), pacing.Pacer()
    )

    def script_of(size):
        def script(_received):
            yield OK + b"A: " + b"a" * size
            yield 1.0
            yield b"\r\nContent-Length: 2\r\n\r\n[]"

        return script

    sizes = (8000, 28_000, 10_000)
    scripts = map(script_of, sizes)
    results = await asyncio.gather(*[fetch(each, intake) for each in scripts])
    assert isinstance(results[1], kinds.Failure) and results[1].sent
    assert "no memory" in results[1].reason
    assert [results[0].body, results[2].body] == [[], []]
    assert intake.allowance.total == 0


async def test_body_of_framing_is_read_whole_after_pauses():
    """A body of short chunks takes its time, and no other takes it."""
    intake = protocol.ResponseIntake.of_memory()._replace(
        pacer=pacing.Pacer(units_per_s=100_000)
    )

    def script(_received):
        yield OK + b"Transfer-Encoding: chunked\r\n\r\n"
        yield b'1\r\n"\r\n' + CHUNKS * b"1\r\na\r\n" + b'1\r\n"\r\n'
        yield b"0\r\n\r\n"

    reply = await fetch(script, intake)
    assert reply.body == "a" * CHUNKS


async def fetch_early(answer, then, *, timeout_s=TIMEOUT_S):
    """Upload to a server that answers early; return what it is read as."""
    async with (
        earlyanswers.EarlyAnswers(sent=answer, then=then) as server,
        web.open_session(web.Connector()) as session,
    ):
        return await web.fetch(
            session,
            "POST",
            server.address,
            "/",
            timeout=timeout_s,
            body=UPLOAD,
        )


@pytest.mark.parametrize("pause_s", [0.0, 0.05, 0.3])
@pytest.mark.parametrize("begin", [(), (READ_S, STEP.READ)])
async def test_early_part_that_is_reset_soon_is_a_failure(begin, pause_s):
    """A part of a number was taken for the whole, of any server called."""
    then = [STEP.END_SIDE, *begin, pause_s, STEP.RESET]
    result = await fetch_early(OK + b"\r\n12", then)
    assert isinstance(result, kinds.Failure) and result.sent


@pytest.mark.parametrize("then", [[STEP.CLOSE], []])
async def test_early_answer_without_a_reset_is_whole(then):
    """A server may answer early, if it reads the request after all."""
    then = [STEP.END_SIDE, READ_S, STEP.READ, *then]
    assert (await fetch_early(OK + b"\r\n12", then)).body == 12


async def test_early_answer_to_a_request_that_is_not_read_is_late():
    """A server that ends its side and reads nothing kept its client."""
    result = await fetch_early(OK + b"\r\n12", [STEP.END_SIDE], timeout_s=1.5)
    assert (result.kind, result.sent) == (kinds.Kind.LATE, True)


@pytest.mark.parametrize(
    "answer",
    [
        b"Content-Length: 2\r\n\r\n12",
        b"Transfer-Encoding: chunked\r\n\r\n2\r\n12\r\n0\r\n\r\n",
    ],
)
async def test_early_answer_with_an_end_does_not_wait(monkeypatch, answer):
    """All early answers took the time that those without an end need."""
    monkeypatch.setattr(protocol, "EARLY_END_WAIT_S", 10 * TIMEOUT_S)
    then = [STEP.END_SIDE, 0.3, STEP.RESET]
    assert (await fetch_early(OK + answer, then)).body == 12


async def test_answer_after_the_request_does_not_wait(monkeypatch):
    """An answer without length was late though it was no early one."""
    monkeypatch.setattr(protocol, "EARLY_END_WAIT_S", 10 * TIMEOUT_S)
    server = scripted.Endpoint(lambda _: [OK + b"\r\n12"])
    await server.start()
    async with web.open_session(web.Connector()) as session:
        for body in ({}, UPLOAD):
            reply = await web.fetch(
                session, "POST", server.address, "/", timeout=10, body=body
            )
            assert reply.body == 12
    await server.stop()
