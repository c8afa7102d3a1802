"""Calls with pieces, and results that are given up."""

import asyncio

import pytest

from sycamoreshed.catalog import types
from sycamoreshed.errors import kinds
from sycamoreshed.forwarding import health
from sycamoreshed.platform import calls
from sycamoreshed.staging import batching
from sycamoreshed.staging import pieces
from sycamoreshed.staging.tests import builders
from testkit import journals


class Client:
    """Keeps the addresses and paths that were sent to; answers nothing."""

    def __init__(self):
        self.sent = []

    async def send(self, _method, address, path, _headers, body, *, within):
        """Keep a call."""
        self.sent.append((address, path, body))
        return kinds.Failure(kinds.Kind.REFUSED, "no answer", sent=True)


class Codec:
    """The calls of the platform that a batcher makes."""

    piece_call = staticmethod(calls.piece_call)
    free_call = staticmethod(calls.free_call)


@pytest.fixture
def client():
    """Return a client that answers nothing."""
    return Client()


def batcher(client, *, endpoints, known):
    """Return a batcher; `known` are all endpoints there are."""
    journal = journals.Journal()
    service = types.Service("first", "/healthz", 100, None, builders.spec())
    loop = asyncio.get_running_loop()
    return batching.Batcher(
        service=service,
        endpoints=lambda _now: endpoints,
        lookup={each.id: each for each in known}.get,
        plans=builders.plans(),
        client=client,
        codec=Codec(),
        health=health.Health(journal=journal),
        journal=journal,
        clock=loop.time,
        spawn=lambda call, name: asyncio.create_task(call, name=name),
    )


async def test_results_at_an_endpoint_that_is_not_used_now_are_freed(client):
    """An endpoint with results is avoided, or was borrowed from a zone.

    Not told, it keeps the results until they expire, has no room, and
    refuses the pieces of everybody.
    """
    avoided = builders.endpoint("avoided")
    found = batcher(
        client, endpoints=[builders.endpoint("e")], known=[avoided]
    )
    found.free([pieces.Held("h1", "avoided"), pieces.Held("h2", "avoided")])
    await asyncio.sleep(3 * batching.FREE_DELAY_S)
    ((address, _, body),) = client.sent
    assert address == "avoided:80"
    assert body == b'{"handles":["h1","h2"]}'


async def test_results_of_an_endpoint_that_is_gone_are_forgotten(client):
    found = batcher(client, endpoints=[], known=[])
    found.free([pieces.Held("h1", "gone")])
    await asyncio.sleep(3 * batching.FREE_DELAY_S)
    assert not client.sent
