"""Tests of calls with pieces, and of calls that free results."""

import asyncio

import msgspec
import pytest

from sycamoreshed.catalog import types
from sycamoreshed.errors import kinds
from sycamoreshed.forwarding import health
from sycamoreshed.kernel import tasks
from sycamoreshed.platform import calls
from sycamoreshed.staging import batching
from sycamoreshed.staging import pieces
from sycamoreshed.staging.tests import builders
from testkit import crashes
from testkit import journals
from testkit import limiters


# Time of a clock that never advances: no time that is awaited ever comes.
NOW = 100.0


class Sender:
    """Records calls and fails them."""

    def __init__(self):
        self.sent = []

    async def send(
        self,
        _method,
        endpoint,
        path,
        _headers,
        body,
        *,
        timeout_s,
        context=None,
    ):
        """Record a call."""
        self.sent.append((endpoint.address, path, body))
        return kinds.Failure(kinds.Kind.REFUSED, "no answer", sent=True)

    async def post_idempotent(
        self, endpoint, path, headers, body, *, timeout_s
    ):
        """Record a call."""
        return await self.send(
            "POST", endpoint, path, headers, body, timeout_s=timeout_s
        )


class Codec:
    """Encodes the calls of a batcher as the platform does."""

    piece_call = staticmethod(calls.piece_call)
    rate_limit = staticmethod(calls.rate_limit)
    tolerated_rejections = staticmethod(calls.tolerated_rejections)
    free_call = staticmethod(calls.free_call)


@pytest.fixture
def sender():
    """Return a sender that fails all calls."""
    return Sender()


def build_batcher(
    sender, *, endpoints, listed, scheduler=None, name="first", clock=None
):
    """Return a batcher; `listed` are all endpoints of the catalog."""
    journal = journals.Journal()
    service = types.Service(name, "/healthz", 100, None, builders.spec())
    loop = asyncio.get_running_loop()
    return batching.Batcher(
        service=service,
        endpoints=lambda _now: endpoints,
        find_endpoint={each.id: each for each in listed}.get,
        scheduler=scheduler or builders.scheduler(),
        sender=sender,
        codec=Codec(),
        health=health.Health(journal=journal),
        crashes=crashes.Crashes(),
        allows=lambda regions, zone: regions is None or zone in regions,
        limiter=limiters.Limiter(),
        journal=journal,
        clock=clock or loop.time,
        tasks=tasks.BackgroundTasks(clock=clock or loop.time),
    )


async def test_results_at_an_endpoint_that_is_not_in_use_are_freed(sender):
    """An endpoint with results is avoided, or belongs to another zone.

    Without the call, it stores the results until they expire, and rejects
    all pieces because its memory is full.
    """
    avoided = builders.endpoint("avoided")
    batcher = build_batcher(
        sender, endpoints=[builders.endpoint("e")], listed=[avoided]
    )
    batcher.free(
        [pieces.ResultRef("h1", "avoided"), pieces.ResultRef("h2", "avoided")]
    )
    await asyncio.sleep(3 * batching.FREE_DELAY_S)
    ((address, _, body),) = sender.sent
    assert address == "avoided:80"
    assert body == b'{"handles":["h1","h2"]}'


async def test_no_call_frees_results_of_an_endpoint_that_is_gone(sender):
    batcher = build_batcher(sender, endpoints=[], listed=[])
    batcher.free([pieces.ResultRef("h1", "gone")])
    await asyncio.sleep(3 * batching.FREE_DELAY_S)
    assert not sender.sent


def second_piece(request, deadline):
    """Return the piece of a request's second stage."""
    return pieces.Piece(request, 1, 0, deadline=deadline, inputs=("h",))


def second_stage(sender, due_in_s):
    """Return a second stage's batcher and two jobs.

    The first job's piece can be sent; the call that computes the inputs of
    the second job's ends `due_in_s` from now.
    """
    endpoint = builders.endpoint("e")
    scheduler = builders.scheduler()
    batcher = build_batcher(
        sender,
        endpoints=[endpoint],
        listed=[endpoint],
        scheduler=scheduler,
        name="second",
        clock=lambda: NOW,
    )
    ready = scheduler.admit(builders.job("here", counts=(0, 1)), NOW)
    upcoming = scheduler.admit(builders.job("coming", counts=(1, 1)), NOW)
    scheduler.record_sent(upcoming, 0, 1, NOW + due_in_s)
    return batcher, ready, upcoming


async def test_a_call_waits_for_pieces_that_are_due_soon(sender):
    """An endpoint is free 30 ms before the inputs of a second piece are there.

    If a call is sent at once with the first piece alone, it takes its fixed
    time, and the request of the second piece waits for its end.
    """
    batcher, ready, upcoming = second_stage(sender, 0.03)
    tasks = [
        asyncio.create_task(
            batcher.run_pieces(
                ready, [second_piece("here", ready.deadline)], 1
            )
        )
    ]
    await asyncio.sleep(0.005)
    assert not sender.sent
    tasks.append(
        asyncio.create_task(
            batcher.run_pieces(
                upcoming, [second_piece("coming", upcoming.deadline)], 1
            )
        )
    )
    await asyncio.sleep(0.005)
    assert len(sender.sent) == 1
    _, _, body = sender.sent[0]
    assert len(msgspec.json.decode(body)["items"]) == 2
    for task in tasks:
        task.cancel()


async def test_a_call_does_not_wait_if_that_makes_a_piece_late(sender):
    """The queued piece has just the time that its own call takes."""
    batcher, ready, _ = second_stage(sender, 0.09)
    # The deadline of a job, and of its piece, is a second after the target
    # time; a call with one piece takes 0.16 s.
    deadline = ready.target_at + 0.17
    task = asyncio.create_task(
        batcher.run_pieces(ready, [second_piece("here", deadline)], 1)
    )
    await asyncio.sleep(0.005)
    assert len(sender.sent) == 1
    task.cancel()


@pytest.mark.parametrize("regions", [None, frozenset(("north-a",))])
async def test_pieces_are_sent_only_where_their_request_allows(
    sender, regions
):
    """A zone without endpoints used those of a region that is not allowed."""
    remote = builders.endpoint("remote")._replace(zone="south-a")
    batcher = build_batcher(sender, endpoints=[remote], listed=[remote])
    scheduler = builders.scheduler()
    now = asyncio.get_running_loop().time()
    admitted = scheduler.admit(builders.job("r", counts=(1, 0)), now)
    piece = pieces.Piece(
        "r", 0, 0, now + 1.0, "k", origin=pieces.Origin("", regions)
    )
    running = asyncio.create_task(batcher.run_pieces(admitted, [piece], 10))
    await asyncio.sleep(0.05)
    running.cancel()
    assert bool(sender.sent) == (regions is None)
