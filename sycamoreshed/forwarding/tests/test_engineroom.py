"""Tests of requests that wait for room in the memory of engines."""

import asyncio

import pytest

from sycamoreshed.catalog import types
from sycamoreshed.engineload import work
from sycamoreshed.errors import kinds
from sycamoreshed.forwarding import attempts
from sycamoreshed.forwarding import engineroom
from sycamoreshed.forwarding import forwarder
from sycamoreshed.forwarding.tests import builders
from sycamoreshed.forwarding.tests import test_forwarder
from testkit import enginepool
from testkit import virtualtime

SPEC = types.EngineSpec(16, 10_000)


def engine_pool(count=1, instances=1, **options):
    """Return a pool of equal engines of `SPEC`."""
    slowness = {f"e{number}": 1.0 for number in range(count)}
    return enginepool.Pool(
        slowness=slowness, spec=SPEC, instances=instances, **options
    )


def arrival(at, tokens, work_s=0.5, priority=0):
    """Return a request that holds some tokens of memory."""
    return enginepool.Arrival(at, work.Work(tokens), work_s, priority=priority)


def play(arrivals, **options):
    """Return the pool, and the records of requests that it serves."""

    async def main():
        pool = engine_pool(**options)
        return pool, await pool.play(arrivals)

    return virtualtime.run(main())


def test_more_urgent_request_gets_room_first():
    """Requests got room in the order in which they came."""
    _, records = play(
        [
            arrival(0.0, 9000),
            arrival(0.1, 9000, priority=2),
            arrival(0.2, 9000, priority=0),
        ]
    )
    first, less_urgent, urgent = (each.took_s for each in records)
    assert first < urgent < less_urgent
    assert not any(each.overflow for each in records)


@pytest.mark.parametrize("instances", [1, 20])
def test_large_urgent_request_is_not_starved_by_small_ones(instances):
    """Small requests took the room whenever a part of it became free."""
    small = [arrival(0.02 * number, 1000, 0.4, 1) for number in range(200)]
    large = arrival(0.5, 9000, 0.1)
    _, records = play([*small, large], instances=instances)
    assert records[-1].failure is None
    assert records[-1].took_s < 2.0


def test_request_larger_than_engines_is_rejected_at_once():
    """A request that no engine can hold waited for its deadline."""
    _, (record,) = play([arrival(0.0, 10_001)])
    assert record.took_s == 0.0
    assert record.failure.kind is kinds.Kind.LARGER_THAN_ENGINES
    assert not record.failure.sent


def test_request_that_cannot_begin_in_time_is_rejected_at_once():
    """Requests waited behind more than what ends within their time."""
    known = [arrival(4.0 * number, 9000, 2.9) for number in range(9)]
    late = [arrival(32.5, 9000, 2.9), arrival(32.6, 9000, 2.9)]
    _, records = play([*known, *late])
    assert records[-2].failure is None
    rejected = records[-1]
    assert rejected.took_s == pytest.approx(0.0)
    assert rejected.failure.kind is kinds.Kind.OVER_LIMIT
    assert rejected.failure.retry_after > 1.0


def test_without_observations_a_request_waits_while_there_is_time():
    """A request was rejected on a guess, or held beyond its time."""
    _, (_, record) = play([arrival(0.0, 9000, 9.0), arrival(0.1, 9000)])
    assert record.failure.kind is kinds.Kind.OVER_LIMIT
    assert 2.0 < record.took_s < 4.0


def test_least_urgent_request_is_rejected_if_too_many_wait(monkeypatch):
    """An urgent request was rejected as less urgent ones waited."""
    monkeypatch.setattr(engineroom, "MAX_WAITING", 2)
    _, records = play(
        [
            arrival(0.0, 9000),
            arrival(0.1, 9000, priority=1),
            arrival(0.2, 9000, priority=2),
            arrival(0.3, 9000, priority=0),
        ]
    )
    assert [bool(each.failure) for each in records] == [0, 0, 1, 0]


def test_wait_that_is_given_up_leaves_nothing_counted():
    """Memory that a caller had waited for stayed counted after it left."""

    async def main():
        pool = engine_pool()
        instance = pool.instances[0]
        playing = asyncio.ensure_future(
            pool.play([arrival(0.0, 9000, 0.9), arrival(0.1, 9000)])
        )
        await asyncio.sleep(0.1 + 2 * engineroom.CLAIM_AFTER_S)
        boot = pool.endpoints[0].boot
        assert instance.view.ledger.load(boot).held_tokens == 18_000
        playing.cancel()
        await asyncio.sleep(0.1)
        assert instance.room.waiting_count == 0
        # The first one, whose record the pool does not end, is left.
        assert instance.view.ledger.loads() == {boot: work.Load(1, 9000, 9000)}

    virtualtime.run(main())


def request_of(tokens, **options):
    """Return a request with a prompt of some tokens."""
    request = builders.request(**options)
    head = request.head._replace(prompt_tokens=tokens, pieces=(1,))
    return request._replace(head=head)


def full_parts(script=(), held=(9900,) * 4):
    """Return parts in virtual time whose engines hold some tokens."""
    parts = builders.parts(
        builders.ScriptedSender(script),
        engine=SPEC,
        clock=asyncio.get_running_loop().time,
    )
    for endpoint, tokens in zip(
        parts.catalog.endpoints(None, 0.0), held, strict=True
    ):
        parts.engine_load.ledger.record_start(endpoint.boot, work.Work(tokens))
    return parts


@pytest.mark.parametrize("last_event_id", [None, "3"])
def test_all_attempts_wait_for_room(last_event_id):
    """A stream was resumed, or a request sent, at an engine that was full."""

    async def main():
        parts = full_parts()
        tries = attempts.Attempts(request=request_of(500), parts=parts)
        opening = asyncio.ensure_future(
            tries.open(last_event_id=last_event_id)
        )
        await asyncio.sleep(1.0)
        assert not parts.sender.sent
        parts.engine_load.ledger.record_end(2)
        result = await opening
        assert result.failure is None
        assert [address for address, _ in parts.sender.sent] == ["e1:80"]
        (line,) = (
            fields
            for name, fields in parts.journal.lines
            if name == "engine_wait"
        )
        assert (line["why"], line["endpoint"]) == ("room", "e1")

    virtualtime.run(main())


def test_retry_goes_only_where_there_is_room():
    """A request was sent again to an engine without memory for it."""

    async def main():
        parts = full_parts([builders.OUTCOMES["full"]], (0, 9900, 9900, 0))
        request = request_of(500, idempotent=True)
        result = await attempts.Attempts(request=request, parts=parts).open()
        assert result.failure is None
        sent = {address for address, _ in parts.sender.sent}
        assert sent == {"e0:80", "e3:80"}

    virtualtime.run(main())


def test_rejection_after_an_attempt_that_may_have_run_says_so():
    """A request that may have run was reported as not run."""

    async def main():
        parts = full_parts([builders.OUTCOMES["reset"]], (0, 9900, 9900, 9900))
        request = request_of(500, idempotent=True)
        result = await attempts.Attempts(request=request, parts=parts).open()
        assert result.sent

    virtualtime.run(main())


def test_request_does_not_wait_for_memory_if_connections_are_used_up():
    """A request waited for room that was there, and got no other instance."""

    async def main():
        parts = full_parts(held=(0,) * 4)
        for endpoint in parts.catalog.endpoints(None, 0.0):
            for _ in range(100):
                parts.placer.record_start(endpoint)
        tries = attempts.Attempts(request=request_of(500), parts=parts)
        result = await tries.open()
        assert result.kind is kinds.Kind.NO_ENDPOINT
        assert asyncio.get_running_loop().time() == 0.0

    virtualtime.run(main())


def test_request_without_room_in_time_runs_no_stages():
    """Stages worked for requests that no engine had room for in time."""

    async def main():
        parts = full_parts()
        parts.placer.engines.record_held(builders.SERVICE, 1000.0)
        stages = test_forwarder.StageRunner()
        outcome = await forwarder.Forwarder(
            parts=parts, stages=stages
        ).forward(
            request_of(500, stages=(types.Stage("first", (), 8000),)),
            sink=None,
        )
        assert outcome.failure.kind is kinds.Kind.OVER_LIMIT
        assert not outcome.failure.sent
        assert (stages.runs, parts.sender.sent) == (0, [])

    virtualtime.run(main())


def test_instance_that_stops_rejects_what_waits():
    """Callers that waited for room were cut off as the instance ended."""

    async def main():
        parts = full_parts()
        tries = attempts.Attempts(request=request_of(500), parts=parts)
        opening = asyncio.ensure_future(tries.open())
        await asyncio.sleep(0.5)
        parts.stop_deadline.set(asyncio.get_running_loop().time())
        result = await opening
        assert result.kind is kinds.Kind.DRAINING
        assert not result.sent

    virtualtime.run(main())
