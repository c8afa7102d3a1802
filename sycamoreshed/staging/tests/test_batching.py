"""Calls with pieces, and results that are given up."""

import asyncio

import msgspec
import pytest

from sycamoreshed.catalog import types
from sycamoreshed.errors import kinds
from sycamoreshed.forwarding import health
from sycamoreshed.platform import calls
from sycamoreshed.staging import batching
from sycamoreshed.staging import pieces
from sycamoreshed.staging.tests import builders
from testkit import journals


# A clock that stands still: what waits for a time waits for ever.
NOW = 100.0


class Client:
    """Keeps the addresses and paths that were sent to; answers nothing."""

    def __init__(self):
        self.sent = []

    async def send(self, _method, address, path, _headers, body, *, timeout_s):
        """Keep a call."""
        self.sent.append((address, path, body))
        return kinds.Failure(kinds.Kind.REFUSED, "no answer", sent=True)

    async def post_idempotent(
        self, address, path, headers, body, *, timeout_s
    ):
        """Keep a call."""
        return await self.send(
            "POST", address, path, headers, body, timeout_s=timeout_s
        )


class Codec:
    """The calls of the platform that a batcher makes."""

    piece_call = staticmethod(calls.piece_call)
    free_call = staticmethod(calls.free_call)


@pytest.fixture
def client():
    """Return a client that answers nothing."""
    return Client()


def batcher(client, *, endpoints, known, plans=None, name="first", clock=None):
    """Return a batcher; `known` are all endpoints there are."""
    journal = journals.Journal()
    service = types.Service(name, "/healthz", 100, None, builders.spec())
    loop = asyncio.get_running_loop()
    return batching.Batcher(
        service=service,
        endpoints=lambda _now: endpoints,
        lookup={each.id: each for each in known}.get,
        plans=plans or builders.plans(),
        client=client,
        codec=Codec(),
        health=health.Health(journal=journal),
        journal=journal,
        clock=clock or loop.time,
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


def second_piece(request, deadline):
    """Return the piece of a request's second stage."""
    return pieces.Piece(request, 1, 0, deadline=deadline, inputs=("h",))


def second_stage(client, due_in_s):
    """Return a second stage's batcher, its plans and two of them.

    The first plan's piece can be sent; the call that the second one's
    needs ends `due_in_s` from now.
    """
    endpoint = builders.endpoint("e")
    plans = builders.plans()
    found = batcher(
        client,
        endpoints=[endpoint],
        known=[endpoint],
        plans=plans,
        name="second",
        clock=lambda: NOW,
    )
    here = plans.admit(builders.job("here", counts=(0, 1)), NOW)
    coming = plans.admit(builders.job("coming", counts=(1, 1)), NOW)
    plans.started(coming, 0, 1, NOW + due_in_s)
    return found, here, coming


async def test_a_call_waits_for_pieces_that_come_in_a_moment(client):
    """A stage's call ends 30 ms after the next stage's endpoint is free.

    Sent at once with one request's piece, the next stage's call takes its
    fixed time, and the other request waits for all of it.
    """
    found, here, coming = second_stage(client, 0.03)
    tasks = [
        asyncio.create_task(
            found.make(here, [second_piece("here", here.deadline)], 1)
        )
    ]
    await asyncio.sleep(0.005)
    assert not client.sent
    tasks.append(
        asyncio.create_task(
            found.make(coming, [second_piece("coming", coming.deadline)], 1)
        )
    )
    await asyncio.sleep(0.005)
    assert len(client.sent) == 1
    _, _, body = client.sent[0]
    assert len(msgspec.json.decode(body)["items"]) == 2
    for task in tasks:
        task.cancel()


async def test_a_call_does_not_wait_where_that_makes_it_late(client):
    """The piece that waits has just the time that its own call takes."""
    found, here, _ = second_stage(client, 0.09)
    # The job is given up a second after its aim, and so is its piece; a
    # call with one piece takes 0.16 s.
    deadline = here.aim + 0.17
    task = asyncio.create_task(
        found.make(here, [second_piece("here", deadline)], 1)
    )
    await asyncio.sleep(0.005)
    assert len(client.sent) == 1
    task.cancel()
