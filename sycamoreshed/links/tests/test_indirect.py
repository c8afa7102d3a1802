"""Tests of calls to endpoints that another instance sends."""

import asyncio

import pytest

from standins import earlyanswers
from standins import scripted
from sycamoreshed.buffering import budget
from sycamoreshed.buffering import slowreaders
from sycamoreshed.catalog import rests
from sycamoreshed.errors import kinds
from sycamoreshed.forwarding import client as clients
from sycamoreshed.links import indirect
from sycamoreshed.links.tests import builders
from sycamoreshed.links import wire
from sycamoreshed.platform import names
from testkit import brokenheads

SEAL = names.SIGNATURE
SOUTH = frozenset(("south",))
LONG_S = 30.0
AT_ONCE_S = 0.3
# Until the end of an instance that stops, of which calls may last longer.
SOON_S = 0.5
# Until an endpoint reads an upload, and until it then resets the connection.
READ_S = 0.3
RESET_S = 0.3
MANY = indirect.MAX_REFUSALS
MAX_CHECKS = 2000


def answer(_received):
    """Answer with a body."""
    yield scripted.answer(200, b"whole", **{SEAL: "proof"})


def names_of(system, event="sent_indirectly"):
    """Return the instances that were asked, in order."""
    lines = [f for name, f in system.journal.lines if name == event]
    return [each["instance"] for each in lines]


async def test_request_and_answer_pass_unchanged():
    body = bytes(range(256)) * 8000
    async with builders.running(answer) as system:
        response = await builders.send(system, body=body)
        whole = await clients.read_full(response, timeout_s=5.0)
        (received,) = system.server.seen
    assert (whole.status, whole.body) == (200, b"whole")
    assert whole.headers[SEAL] == "proof"
    assert (received.method, received.target) == ("POST", "/a%2Fb?q=1")
    assert received.body == body
    sent = {key.lower(): value for key, value in received.headers.items()}
    assert sent[names.REQUEST_ID.lower()] == "r1"
    assert sent["host"] == "h"
    assert int(sent[names.DEADLINE_MS.lower()]) <= 3000


async def test_only_instances_of_allowed_regions_get_a_request():
    """The body of a request went through a region that must not have it."""
    context = wire.Context("r1", (), SOUTH)
    async with builders.running(answer) as system:
        for _ in range(5):
            response = await builders.send(system, context=context)
            response.close()
    assert set(names_of(system)) == {"edge-south-a"}


@pytest.mark.parametrize("why", ["leaving", "unknown", "restarted"])
async def test_instances_send_nothing_that_they_would_not_send_themselves(why):
    """An endpoint that leaves or is evacuated got requests of others."""
    async with builders.running(answer) as system:
        for each in system.helpers:
            if why == "leaving":
                each.catalog.usable = ()
            elif why == "unknown":
                each.catalog.known = {}
            else:
                restarted = system.endpoint._replace(started_at_ms=7)
                each.catalog.known = {"e1": restarted}
        await builders.send(system)
    events = [name for h in system.helpers for name in h.journal.names()]
    assert set(events) == {"not_sent_for_other"}


async def test_long_requests_of_others_are_refused_while_memory_is_short():
    """An instance that helps others was killed for what it held for them."""
    long_body = b"x" * 500_000
    async with builders.running(answer) as system:
        for each in system.helpers:
            each.server._buffers = budget.BufferBudget(max_bytes=100_000)
        refused = await builders.send(system, body=long_body)
        assert isinstance(refused, kinds.Failure) and not refused.sent
        assert not system.server.seen
    async with builders.running(answer) as system:
        system.helpers[0].server._buffers = budget.BufferBudget(max_bytes=0)
        response = await builders.send(system, body=long_body)
        response.close()
        (received,) = system.server.seen
        assert received.body == long_body
        response = await builders.send(system, body=b"short")
        response.close()
        assert len(system.server.seen) == 2


async def test_an_instance_that_does_not_read_an_answer_is_given_up():
    """An instance that froze held up an engine through another instance."""

    def endless(_received):
        yield scripted.stream_head()
        while True:
            yield b"x" * 100_000

    async with builders.running(endless) as system:
        readers = slowreaders.SlowReaders(
            journal=system.helpers[0].journal, buffers=budget.BufferBudget()
        )
        system.helpers[0].server._slow_readers = readers
        response = await builders.send(system)
        for now in range(MAX_CHECKS):
            readers.check(float(now))
            await asyncio.sleep(0.01)
            if system.server.left:
                break
        assert system.server.left
        assert "slow_reader" in system.helpers[0].journal.names()
        response.close()


async def test_a_request_that_crashes_endpoints_is_not_sent_for_others():
    async with builders.running(answer) as system:
        for each in system.helpers:
            each.crashes.rejected.add("f1")
        context = wire.Context("r1", ("f1",), None)
        result = await builders.send(system, context=context)
        assert result.kind is kinds.Kind.CRASHES_ENDPOINTS
        assert not result.sent
        assert not system.server.seen


async def test_cut_off_and_stopping_instances_are_passed_over():
    """A request was lost with an instance that was about to end."""
    async with builders.running(answer) as system:
        first, second, _ = system.helpers
        first.end_in(SOON_S)
        second.cut_off()
        for _ in range(3):
            response = await builders.send(system)
            response.close()
    assert len(system.server.seen) == 3
    assert names_of(system)[-1] == "edge-south-a"
    # No instance passes a call on to a third one.
    assert not any(
        name == "sent_indirectly"
        for each in system.helpers
        for name, _ in each.journal.lines
    )


async def test_instance_that_stops_sends_calls_that_end_before_it_does():
    """Instances were of no use to others from the begin of their stop on."""
    async with builders.running(answer) as system:
        for each in system.helpers:
            # The caller's deadline is nearer.
            each.end_in(LONG_S)
        response = await builders.send(system)
        whole = await clients.read_full(response, timeout_s=5.0)
    assert whole.body == b"whole"
    assert len(names_of(system)) == 1


@pytest.mark.parametrize("is_known", [True, False])
async def test_instance_that_stops_sends_what_usually_ends_in_time(is_known):
    """Calls with late deadlines were sent and cut off, or all refused."""
    async with builders.running(answer) as system:
        for each in system.helpers:
            if is_known:
                each.serve_quickly()
            each.end_in(SOON_S)
        result = await builders.send(system)
        if is_known:
            whole = await clients.read_full(result, timeout_s=5.0)
            assert whole.body == b"whole"
        else:
            assert not result.sent
            assert not system.server.seen


@pytest.mark.parametrize("has_begun", [True, False])
async def test_call_that_lasts_beyond_the_end_of_its_instance_fails(has_begun):
    """An endpoint counted as broken that was cut off by an instance's end."""

    def wait(_received):
        if has_begun:
            yield scripted.stream_head() + b"part"
        yield LONG_S

    async with builders.running(wait) as system:
        call = asyncio.create_task(builders.send(system, timeout_s=LONG_S))
        while not system.server.seen:
            await asyncio.sleep(0.01)
        if has_begun:
            response = await call
        for each in system.helpers:
            each.end_in(AT_ONCE_S)
        async with asyncio.timeout(5.0):
            if has_begun:
                failure = await clients.read_full(response, timeout_s=LONG_S)
            else:
                failure = await call
        assert isinstance(failure, kinds.Failure) and failure.sent
        if not has_begun:
            assert failure.kind is kinds.Kind.DRAINING
        assert not any(each.crashes.broken for each in system.helpers)
        assert len(system.server.seen) == 1


async def test_a_call_that_may_have_arrived_is_not_sent_again():
    """A request that may run once only ran at two endpoints."""

    def reset(_received):
        yield scripted.RESET

    async with builders.running(reset) as system:
        result = await builders.send(system)
        assert isinstance(result, kinds.Failure)
        assert result.sent
        assert len(system.server.seen) == 1
        assert len(names_of(system)) == 1


async def test_an_instance_that_ends_with_a_call_may_have_sent_it():
    """A caller was told that its request had not run, but it had."""

    def wait(_received):
        yield LONG_S

    async with builders.running(wait) as system:
        call = asyncio.create_task(builders.send(system))
        while not system.server.seen:
            await asyncio.sleep(0.01)
        await asyncio.gather(*(each.stop() for each in system.helpers))
        result = await call
    assert result.sent
    assert len(names_of(system)) == 1


@pytest.mark.parametrize("is_framed", [True, False])
async def test_an_answer_that_is_cut_off_is_not_whole(is_framed):
    """A part of an answer passed for all of it."""

    def break_off(_received):
        if is_framed:
            yield scripted.answer(200, b"x" * 100)[:-50]
        else:
            yield scripted.stream_head() + b"data: 1\n\n"
        yield 0.1
        yield scripted.RESET

    async with builders.running(break_off) as system:
        response = await builders.send(system)
        whole = await clients.read_full(response, timeout_s=5.0)
        broken = [each.crashes.broken for each in system.helpers]
    assert isinstance(whole, kinds.Failure)
    assert whole.sent
    assert ["e1"] in broken


async def test_events_of_a_stream_pass_as_they_arrive():
    """A stream was held back until its end."""

    def stream(_received):
        yield scripted.stream_head() + b"id: 0\n\n"
        yield LONG_S

    async with builders.running(stream) as system:
        response = await builders.send(system)
        async with asyncio.timeout(5.0):
            assert await response.content.readany() == b"id: 0\n\n"
        response.close()
        async with asyncio.timeout(5.0):
            while not system.server.left:
                await asyncio.sleep(0.01)


async def test_an_endpoint_stops_when_the_caller_has_left():
    """Endpoints worked on requests that nobody waited for."""

    def wait(_received):
        yield LONG_S

    async with builders.running(wait) as system:
        call = asyncio.create_task(builders.send(system))
        while not system.server.seen:
            await asyncio.sleep(0.01)
        call.cancel()
        async with asyncio.timeout(5.0):
            while not system.server.left:
                await asyncio.sleep(0.01)


async def test_a_call_that_nobody_can_send_is_rejected_at_once():
    """Callers waited for connections that were known to hang."""
    async with builders.running(answer) as system:
        system.sender._indirect._peers.members.clear()
        async with asyncio.timeout(AT_ONCE_S):
            result = await builders.send(system)
    assert not result.sent
    assert not system.server.seen


async def test_helpers_are_not_asked_without_end():
    """Each request asked all instances while all endpoints were down."""
    async with builders.running(answer) as system:
        for each in system.helpers:
            each.cut_off()
        for _ in range(20):
            response = await builders.send(system)
            if not isinstance(response, kinds.Failure):
                response.close()
    assert len(names_of(system)) <= indirect.MAX_REFUSALS


async def test_calls_that_one_instance_loses_do_not_end_the_search():
    """Requests failed while other instances could have sent them."""
    async with builders.running(answer) as system:
        system.helpers[0].end_in(SOON_S)
        calls = [builders.send(system) for _ in range(3 * MANY)]
        results = await asyncio.gather(*calls)
        for each in results:
            each.close()
    events = [name for h in system.helpers for name in h.journal.names()]
    assert events.count("sent_for_other") == 3 * MANY


async def test_refusals_of_instances_that_stop_do_not_end_the_search():
    """Three instances that stopped lost a request that nobody had sent."""
    count = indirect.MAX_STOPPING
    async with builders.running(answer, helpers=count) as system:
        for each in system.helpers[:-1]:
            each.end_in(SOON_S)
        for _ in range(3):
            response = await builders.send(system)
            response.close()
        assert len(system.server.seen) == 3
        # Those that stop are not asked again while others send calls.
        assert len(names_of(system)) <= count + 2


async def test_all_instances_that_stop_are_asked_again_for_shorter_calls():
    """An instance that had refused a long call got no short ones either."""
    async with builders.running(answer) as system:
        for each in system.helpers:
            each.end_in(1.0)
        refused = await builders.send(system)
        assert not refused.sent
        assert not system.server.seen
        response = await builders.send(system, timeout_s=0.4)
        response.close()
        assert len(system.server.seen) == 1


async def test_an_instance_that_is_frozen_gets_no_second_call():
    """Each request waited for an instance that did not answer."""
    async with builders.running(answer) as system:
        system.helpers[0].freeze()
        late = await builders.send(system, timeout_s=0.2)
        response = await builders.send(system)
        response.close()
    assert late.kind is kinds.Kind.LATE
    assert late.sent
    assert len(set(names_of(system))) == 2


async def test_results_are_freed_through_another_instance():
    """Results stayed at their endpoints until they expired."""
    async with builders.running(answer) as system:
        for each in system.helpers:
            # Those that leave still store results.
            each.catalog.usable = ()
        freed = await system.sender.post_idempotent(
            system.endpoint, "/free", {}, b"x", timeout_s=5.0
        )
    assert freed.status == 200
    assert len(system.server.seen) == 1


@pytest.mark.parametrize("status, is_told", [(200, True), (421, False)])
async def test_instance_that_sends_for_others_learns_of_a_departure(
    status, is_told
):
    """An endpoint went on getting the calls of instances that are cut off."""

    def leave(_received):
        yield scripted.answer(status, b"", **{names.LEAVING: "1"})

    async with builders.running(leave) as system:
        response = await builders.send(system)
        response.close()
    told = [
        each
        for journal in (
            system.journal,
            *(each.journal for each in system.helpers),
        )
        for each in journal.names()
        if each == "endpoint_leaves"
    ]
    # The sender and the instance that it asked.
    assert len(told) == (2 if is_told else 0)


async def test_nothing_is_sent_to_an_endpoint_that_takes_no_work():
    """A call that had waited was sent by an older choice."""
    async with builders.running(answer) as system:
        system.sender._catalog.usable = ()
        result = await builders.send(system)
        assert result.kind is kinds.Kind.NO_ENDPOINT
        assert not result.sent
        assert not names_of(system)
        assert not system.server.seen


async def test_instance_that_was_asked_for_rest_sends_nothing_for_others():
    """Calls of instances that are cut off went on to a resting endpoint."""
    rest = {names.NOT_RUN: "1", names.RETRY_AFTER: "30"}

    def reject(_received):
        yield scripted.answer(503, b"", **rest)

    async with builders.running(reject) as system:
        response = await builders.send(system)
        response.close()
        # The sender knows it as well, unless it forgets.
        system.sender._catalog.rests = rests.Rests()
        response = await builders.send(system)
        response.close()
    asked = names_of(system)
    # The first one refuses, and another one was not asked for rest yet.
    assert asked[0] in asked[1:]
    assert len(system.server.seen) == 2
    refused = [
        fields["why"]
        for each in system.helpers
        for name, fields in each.journal.lines
        if name == "not_sent_for_other"
    ]
    assert refused == ["endpoint takes no new work"]


async def test_resting_endpoint_gets_no_calls_that_free_results():
    """An endpoint that wants no requests got those that free results."""
    async with builders.running(answer) as system:
        system.sender._catalog.rests.record(
            system.endpoint, 30.0, system.sender._clock()
        )
        result = await system.sender.post_idempotent(
            system.endpoint, "/free", {}, b"", timeout_s=1.0
        )
        assert result.kind is kinds.Kind.NO_ENDPOINT
        assert not system.server.seen


@pytest.mark.parametrize("name", ["zero", "control byte in a value", "coding"])
async def test_broken_head_is_a_failure_through_another_instance(name):
    """An instance passed on a head that is none, or closed the connection."""
    async with builders.running(brokenheads.broken(name)) as system:
        result = await builders.send(system)
        assert isinstance(result, kinds.Failure) and result.sent
        # It may have run, so no other instance was asked.
        assert len(system.server.seen) == 1


async def test_part_of_an_answer_through_another_instance_is_not_whole():
    """An endpoint reset an answer without a length."""

    def script(_received):
        yield scripted.stream_head() + b"part"
        yield 0.1
        yield scripted.RESET

    async with builders.running(script) as system:
        response = await builders.send(system)
        result = await clients.read_full(response, timeout_s=5.0)
        assert isinstance(result, kinds.Failure) and result.sent


async def test_early_part_that_is_reset_later_is_not_whole():
    """The other instance took a part of an answer for all of it."""
    step = earlyanswers.Step
    part = scripted.stream_head(**{SEAL: "proof"}) + b"par"
    then = [step.END_SIDE, READ_S, step.READ, RESET_S, step.RESET]
    async with (
        earlyanswers.EarlyAnswers(sent=part, then=then) as server,
        builders.running(answer, address=server.address) as system,
    ):
        response = await builders.send(system, body=bytes(4_000_000))
        result = await clients.read_full(response, timeout_s=LONG_S)
    assert server.bodies == [4_000_000]
    assert isinstance(result, kinds.Failure) and result.sent
