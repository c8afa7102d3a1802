"""Tests of jobs that run through all their stages."""

import asyncio
import math

import pytest

from sycamoreshed.catalog import types
from sycamoreshed.errors import kinds
from sycamoreshed.staging import coordinator
from sycamoreshed.staging import pieces
from sycamoreshed.staging.tests import builders
from sycamoreshed.stopping.tests import builders as deadlines
from testkit import crashes
from testkit import journals
from testkit import retries
from testkit import stagezone
from testkit import virtualtime


class Batcher:
    """Gets the outcomes of pieces from a script; records freed results."""

    def __init__(self, name, script):
        self.service = types.Service(name, "/", 9, None, builders.spec())
        self.concurrency = 1
        self.stored_bytes = 0
        self.freed = []
        self.calls = 0
        self.call_s = 0.01
        self._script = script

    async def run_pieces(self, _admitted, requested, _result_bytes):
        """Return the outcomes of pieces, after a moment."""
        self.calls += 1
        await asyncio.sleep(self.call_s)
        return [self._script(piece) for piece in requested]

    def free(self, refs):
        """Record the handles of freed results."""
        self.freed += [ref.handle for ref in refs]

    def wake(self):
        """Do nothing."""


def succeed(piece):
    """Return a result whose handle names its piece."""
    handle = f"{piece.stage}/{piece.index}"
    return pieces.PieceOutcome(pieces.ResultRef(handle, "e"), None, sent=True)


def fail(_piece):
    """Return a failure."""
    return pieces.PieceOutcome(None, "gone", sent=True)


def build_coordinator(**scripts):
    """Return a coordinator, and its batchers by service."""
    return build_stopping(math.inf, **scripts)[:2]


def build_stopping(seconds, **scripts):
    """Return a coordinator, its batchers, and its `StopDeadline`.

    The instance ends in so many seconds.
    """
    clock = asyncio.get_running_loop().time
    stop_deadline = deadlines.make_deadline(clock)
    stop_deadline.set(clock() + seconds)
    batchers = {name: Batcher(name, each) for name, each in scripts.items()}
    zone_coordinator = coordinator.Coordinator(
        zone="north-a",
        find_service=lambda name: (
            batchers[name].service if name in batchers else None
        ),
        endpoints=lambda _name, _now: [builders.endpoint("e")],
        make_batcher=lambda service, _endpoints, _scheduler: batchers[
            service.name
        ],
        crashes=crashes.Crashes(),
        budget=retries.Spending(ratio=1.0, slack=9),
        stop_deadline=stop_deadline,
        journal=journals.Journal(),
        clock=clock,
    )
    return zone_coordinator, batchers, stop_deadline


def job(*stages):
    """Return a job; a stage is its service, inputs and number of pieces."""
    stage_works = [
        pieces.StageWork(service, after, count, 10)
        for service, after, count in stages
    ]
    return pieces.Job("r", stage_works, "key", 5.0, 6.0, 9.0, None, 0, 0)


async def test_results_of_final_stages_in_order():
    """Results of other stages are freed once no stage needs them."""
    zone_coordinator, batchers = build_coordinator(
        first=succeed, second=succeed
    )
    outcome = await zone_coordinator.run(
        job(("first", (), 2), ("second", (0,), 2))
    )
    assert [ref.handle for ref in outcome.results] == ["1/0", "1/1"]
    assert sorted(batchers["first"].freed) == ["0/0", "0/1"]
    assert not batchers["second"].freed


def test_the_failure_of_a_branch_cancels_the_others():
    """One of two branches fails while the next stage waits for the other.

    Cancelling the wait must not raise in the coordinator, or the instance
    that delegated the job sees a closed connection instead of an answer.
    """

    async def scenario():
        zone_coordinator, batchers = build_coordinator(
            bad=fail, first=succeed, second=succeed
        )
        outcome = await zone_coordinator.run(
            job(("bad", (), 1), ("first", (), 2), ("second", (1,), 1))
        )
        await asyncio.sleep(0.05)
        return outcome, batchers["first"].freed

    # Both branches end at the same simulated moment.
    outcome, freed = virtualtime.run(scenario())
    assert outcome.results is None
    assert outcome.reason == "gone"
    assert not outcome.is_late
    assert sorted(freed) == ["1/0", "1/1"]


async def test_pieces_that_were_rejected_are_taken_from_the_budget():
    """Pieces were sent without end to endpoints that have no room."""

    def reject(_piece):
        return pieces.PieceOutcome(None, "full", is_rejected=True)

    zone_coordinator, batchers = build_coordinator(first=reject)
    zone_coordinator._budget = retries.Spending(slack=0)
    outcome = await zone_coordinator.run(job(("first", (), 2)))
    assert outcome.results is None
    assert batchers["first"].calls == 1


async def test_only_missing_pieces_are_retried():
    """An endpoint fails one of three pieces, once."""
    attempted = []

    def flaky(piece):
        attempted.append(piece.index)
        if piece.index == 1 and attempted.count(1) == 1:
            return pieces.PieceOutcome(None, "error", sent=True)
        return succeed(piece)

    zone_coordinator, _ = build_coordinator(first=flaky)
    outcome = await zone_coordinator.run(job(("first", (), 3)))
    assert len(outcome.results) == 3
    assert attempted == [0, 1, 2, 1]


async def test_stages_without_pieces_are_skipped():
    zone_coordinator, batchers = build_coordinator(
        first=succeed, second=succeed
    )
    outcome = await zone_coordinator.run(
        job(("first", (), 0), ("second", (), 1))
    )
    assert [ref.handle for ref in outcome.results] == ["1/0"]
    assert not batchers["first"].calls


def test_results_are_freed_when_the_caller_disconnects():
    """The caller disconnects while the second stage is processed."""

    async def scenario():
        zone_coordinator, batchers = build_coordinator(
            first=succeed, second=succeed
        )
        task = asyncio.create_task(
            zone_coordinator.run(job(("first", (), 1), ("second", (0,), 1)))
        )
        await asyncio.sleep(0.015)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        await asyncio.sleep(0.05)
        return batchers

    batchers = virtualtime.run(scenario())
    assert batchers["first"].freed == ["0/0"]


@pytest.mark.parametrize("left_s", [0.1, 0.3])
async def test_job_that_may_not_end_before_the_instance_is_refused(left_s):
    """A stopping instance took on stages, which ended with it."""
    zone_coordinator, batchers, _ = build_stopping(
        left_s, first=succeed, second=succeed
    )
    outcome = await zone_coordinator.run(
        job(("first", (), 2), ("second", (0,), 2))
    )
    assert outcome.kind is kinds.Kind.DRAINING
    assert not outcome.sent
    assert not batchers["first"].calls


@pytest.mark.parametrize("left_s", [1.0, 20.0])
async def test_job_that_ends_before_the_instance_is_run(left_s):
    """A stopping instance refused all stages, though it had time for them."""
    zone_coordinator, *_ = build_stopping(
        left_s, first=succeed, second=succeed
    )
    outcome = await zone_coordinator.run(
        job(("first", (), 2), ("second", (0,), 2))
    )
    assert [ref.handle for ref in outcome.results] == ["1/0", "1/1"]


@pytest.mark.parametrize("has_begun", [True, False])
def test_job_that_lasts_too_long_is_given_up_before_the_instance_ends(
    has_begun,
):
    """It was cut off with the instance, and its results were kept."""

    async def scenario():
        zone_coordinator, batchers, stop_deadline = build_stopping(
            math.inf if has_begun else 0.9, first=succeed, second=succeed
        )
        batchers["second"].call_s = 60.0
        running = asyncio.create_task(
            zone_coordinator.run(job(("first", (), 1), ("second", (0,), 1)))
        )
        await asyncio.sleep(0.05)
        now = asyncio.get_running_loop().time()
        if has_begun:
            stop_deadline.set(now + 0.9)
        async with asyncio.timeout(1.0):
            outcome = await running
        return outcome, batchers["first"].freed

    outcome, freed = virtualtime.run(scenario())
    assert outcome.kind is kinds.Kind.DRAINING
    assert freed == ["0/0"]


async def test_no_pieces_are_sent_that_cannot_end_before_the_instance():
    """A stopping instance repeated pieces until the end, and began stages."""

    def stop(piece):
        stop_deadline.set(asyncio.get_running_loop().time() + 0.1)
        if piece.index:
            return pieces.PieceOutcome(None, "error", sent=True)
        return succeed(piece)

    for count in (1, 2):
        zone_coordinator, batchers, stop_deadline = build_stopping(
            math.inf, first=stop, second=succeed
        )
        outcome = await zone_coordinator.run(
            job(("first", (), count), ("second", (0,), 1))
        )
        assert outcome.kind is kinds.Kind.DRAINING
        assert batchers["first"].calls == 1
        assert not batchers["second"].calls
        assert batchers["first"].freed == ["0/0"]


@pytest.mark.parametrize("after_s", [0.1, 0.25, 0.4, 0.6])
def test_job_that_is_given_up_leaves_no_results_and_sends_no_pieces(after_s):
    """Results of a stage that was not done yet stayed until they expired."""

    async def scenario():
        zone = stagezone.Zone(
            specs={"first": builders.spec(), "second": builders.spec()},
            endpoints={"first": 1, "second": 1},
            sizes={0: 100, 1: 10},
        )
        sent = []
        send = zone.send

        async def record_and_send(method, endpoint, path, headers, body, **to):
            sent.append(path)
            return await send(method, endpoint, path, headers, body, **to)

        zone.send = record_and_send
        running = asyncio.create_task(
            zone.coordinator.run(builders.job(counts=(6, 6)))
        )
        await asyncio.sleep(after_s)
        assert not running.done()
        running.cancel()
        before = len(sent)
        await asyncio.sleep(1.0)
        return len(sent) - before, [
            each.stored_count for each in zone.endpoints.values()
        ]

    assert virtualtime.run(scenario()) == (0, [0, 0])


async def test_results_are_freed_when_a_job_is_given_up_within_a_repeat():
    """What the first attempt had computed stayed until it expired."""
    again = asyncio.Event()

    def fail_second(piece):
        if piece.index:
            batchers["first"].call_s = 60.0
            again.set()
            return pieces.PieceOutcome(None, "error", sent=True)
        return succeed(piece)

    zone_coordinator, batchers = build_coordinator(first=fail_second)
    running = asyncio.create_task(zone_coordinator.run(job(("first", (), 2))))
    await again.wait()
    while batchers["first"].calls < 2:
        await asyncio.sleep(0.01)
    running.cancel()
    with pytest.raises(asyncio.CancelledError):
        await running
    await asyncio.sleep(0.05)
    assert batchers["first"].freed == ["0/0"]
