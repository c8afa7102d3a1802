"""Servers that stop within the head of an answer, and close.

An answer whose head is not whole was passed on elsewhere as one with an
empty body.
"""

import asyncio
import functools

import aiohttp
import pytest

from standins import tornheads
from sycamoreshed.adapters import web
from sycamoreshed.errors import kinds
from sycamoreshed.forwarding import client
from sycamoreshed.kernel import loops

ENDS = [(False, 0.0), (True, 0.0), (False, 0.02)]
CALL_S = 5.0
# Until a connection is opened; a result that is still not sent is a failure.
MAX_CALLS = 4


async def until_sent(call):
    """Repeat a call that found no connection in time; return its result."""
    for _ in range(MAX_CALLS):
        result = await call()
        if not isinstance(result, kinds.Failure) or result.sent:
            break
    return result


async def call_endpoint(address):
    """Send a request as to an endpoint; return what comes of it."""
    async with client.open_client() as endpoint_client:
        response = await endpoint_client.send(
            "POST", address, "/", {}, b"x", timeout_s=CALL_S
        )
        if isinstance(response, kinds.Failure):
            return response
        return await client.read_full(response, timeout_s=CALL_S)


async def free_results(address):
    """Send calls that share a connection; return what comes of the last."""
    async with client.open_client() as endpoint_client:
        call = functools.partial(
            endpoint_client.post_idempotent,
            address,
            "/",
            {},
            b"x",
            timeout_s=CALL_S,
        )
        assert not isinstance(await until_sent(call), kinds.Failure)
        return await until_sent(call)


async def _fetch(address, method, calls):
    session = aiohttp.ClientSession(connector=web.Connector(limit=0))
    async with session:
        call = functools.partial(
            web.fetch, session, method, address, "/", timeout=CALL_S, body={}
        )
        for _ in range(calls - 1):
            assert not isinstance(await until_sent(call), kinds.Failure)
        return await until_sent(call)


async def read_other(address):
    """Read from the store or another instance."""
    return await _fetch(address, "GET", 1)


async def write_other(address):
    """Write to the store or another instance, on a used connection."""
    return await _fetch(address, "POST", 2)


# Calls, and the whole answers before the torn one.
CALLS = {
    "endpoint": (call_endpoint, 0),
    "freed results": (free_results, 1),
    "read": (read_other, 0),
    "write": (write_other, 1),
}


async def run_all(call, form, **options):
    """Return what comes of a call for each torn head, all at once."""

    async def run_one(size):
        sent = tornheads.HEADS[form][:size]
        async with tornheads.TornHeads(sent=sent, **options) as server:
            return await until_sent(functools.partial(call, server.address))

    return await asyncio.gather(*map(run_one, tornheads.torn_at(form)))


@pytest.mark.parametrize("resets, pause_s", ENDS)
@pytest.mark.parametrize("form", tornheads.HEADS)
@pytest.mark.parametrize("name", CALLS)
def test_answer_with_a_torn_head_is_a_failure(name, form, resets, pause_s):
    """It may have run, and must not look like an answer."""
    call, whole_answers = CALLS[name]
    with asyncio.Runner(loop_factory=loops.Loop) as runner:
        results = runner.run(
            run_all(
                call,
                form,
                whole_answers=whole_answers,
                resets=resets,
                pause_s=pause_s,
            )
        )
    outcomes = {
        (type(each).__name__, getattr(each, "sent", None)) for each in results
    }
    assert outcomes == {("Failure", True)}
