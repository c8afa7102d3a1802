"""Endpoints that say in their answers that they leave."""

import asyncio
import time

import pytest

from standins import scripted
from testkit import wiredata
from tests.integration import availability
from tests.integration import harness

LEAVING = {"Server-Leaving": "1"}
NOT_RUN = {"X-Sycamoreshed-Not-Executed": "1"}
# Within which an endpoint that leaves must get nothing more.
DRAIN_S = 2.5
LOAD_S = 5.0
LOAD_PER_S = 30
# What a caller that cannot be served waits for its rejection at most.
AT_ONCE_S = 0.5


def failed(**headers):
    """Return the steps of an answer with status 500."""
    return [scripted.answer(500, b"failed", **headers)]


def rejected(**headers):
    """Return the steps of an answer of a full endpoint."""
    return [scripted.answer(503, b"", **headers, **NOT_RUN)]


def limited(**headers):
    """Return the steps of an answer to too many requests."""
    return [scripted.answer(429, b"", **headers, **NOT_RUN)]


class LeavingEndpoint:
    """An endpoint that says from some time on that it leaves.

    Parameters
    ----------
    good, leaving : callable
        Return the steps of answers before and after that, for the headers.
    """

    def __init__(
        self, *, good=availability.served, leaving=availability.served
    ):
        self._good = good
        self._leaving = leaving
        self.endpoint = scripted.Endpoint(self._script)
        self.is_leaving = False
        self.told_at = None
        self.received_at = []

    def _script(self, received):
        self.received_at.append(time.monotonic())
        headers = {harness.SEAL: "proof"}
        if not self.is_leaving:
            return self._good(**headers)
        if self.told_at is None:
            self.told_at = time.monotonic()
        return self._leaving(**headers, **LEAVING)

    @property
    def late_count(self):
        """Requests that came too late after it had said that it leaves."""
        return sum(at > self.told_at + DRAIN_S for at in self.received_at)


async def load(session, instances, *, seconds=LOAD_S, **head):
    """Send requests evenly; see `availability.load`."""
    return await availability.load(
        session, instances, per_s=LOAD_PER_S, seconds=seconds, **head
    )


@pytest.mark.parametrize(
    "leaving",
    [availability.served, failed, rejected, limited],
    ids=lambda f: f.__name__,
)
async def test_endpoint_that_says_it_leaves_gets_no_more_requests(
    store, tmp_path, leaving
):
    """Only the list of endpoints was asked, which still said `ready`."""
    leaver = LeavingEndpoint(leaving=leaving)
    others = [LeavingEndpoint(), LeavingEndpoint()]
    async with availability.serving(
        store, tmp_path, [leaver, *others]
    ) as deployment:
        instances, session = deployment
        await load(session, instances, seconds=1.0)
        leaver.is_leaving = True
        answers = await load(session, instances)
    assert leaver.late_count == 0
    # What reached it before is answered, or served by another endpoint.
    assert {status for status, *_ in answers} <= {200, 500}


async def test_engine_that_says_so_in_a_stream_gets_no_more(store, tmp_path):
    """The head of a stream was not searched for it."""
    leaver = LeavingEndpoint(
        good=availability.streamed, leaving=availability.streamed
    )
    others = [LeavingEndpoint(good=availability.streamed) for _ in range(2)]
    async with availability.serving(
        store,
        tmp_path,
        [leaver, *others],
        configuration=harness.stream_route(resumable=True),
    ) as (instances, session):
        await load(session, instances, seconds=1.0)
        leaver.is_leaving = True
        answers = await load(session, instances)
    assert leaver.late_count == 0
    assert {status for status, *_ in answers} == {200}


async def test_store_that_is_away_does_not_hide_a_leaving(store, tmp_path):
    """Instances went on by their copy of the list while the store was away."""
    leaver = LeavingEndpoint()
    others = [LeavingEndpoint(), LeavingEndpoint()]
    async with availability.serving(
        store, tmp_path, [leaver, *others]
    ) as deployment:
        instances, session = deployment
        store.mood = store.mood._replace(silent=True)
        leaver.is_leaving = True
        answers = await load(session, instances)
        store.mood = store.mood._replace(silent=False)
    assert leaver.late_count == 0
    assert {status for status, *_ in answers} == {200}


async def test_callers_are_rejected_at_once_if_all_endpoints_leave(
    store, tmp_path
):
    """Requests went on to endpoints that all were about to end."""
    leavers = [LeavingEndpoint() for _ in range(3)]
    async with availability.serving(store, tmp_path, leavers) as (
        instances,
        session,
    ):
        await load(session, instances, seconds=1.0)
        for each in leavers:
            each.is_leaving = True
        await load(session, instances, seconds=DRAIN_S)
        answers = await load(session, instances, seconds=2.0)
    assert sum(each.late_count for each in leavers) == 0
    assert {status for status, *_ in answers} == {503}
    assert all(float(retry_after) > 0 for _, retry_after, _ in answers)
    assert max(took_s for *_, took_s in answers) < AT_ONCE_S


async def test_endpoint_that_started_again_gets_requests(store, tmp_path):
    """Its leaving was held against the next process with its id."""
    leaver = LeavingEndpoint()
    async with availability.serving(store, tmp_path, [leaver]) as (
        instances,
        session,
    ):
        leaver.is_leaving = True
        await load(session, instances, seconds=1.0)
        leaver.is_leaving = False
        restarted = wiredata.beat(leaver.endpoint.address, born=1700000009000)
        store.put("servers", "i-0", restarted)
        await asyncio.sleep(1.0)
        answers = await load(session, instances, seconds=1.0)
    assert {status for status, *_ in answers} == {200}


async def test_instance_that_started_again_learns_of_a_leaving(
    store, tmp_path
):
    """A restart forgot which endpoints had said that they leave."""
    leaver = LeavingEndpoint()
    others = [LeavingEndpoint(), LeavingEndpoint()]
    async with availability.serving(
        store, tmp_path, [leaver, *others]
    ) as deployment:
        instances, session = deployment
        leaver.is_leaving = True
        await load(session, instances, seconds=1.0)
        await instances[0].kill()
        await instances[0].start()
        await instances[0].wait_ready()
        await asyncio.sleep(1.0)
        before = len(leaver.received_at)
        await load(session, instances[:1], seconds=2.0)
    assert leaver.told_at is not None
    assert len(leaver.received_at) == before


async def test_endpoint_of_a_stage_that_says_so_gets_no_more_pieces(
    store, tmp_path
):
    """The answers to calls with pieces were not searched for it."""
    received_at = []
    told_at = []

    def leaving(received):
        if received.target == "/v1/stage-free":
            yield scripted.answer(200, **LEAVING)
            return
        received_at.append(time.monotonic())
        for step in harness.pieces_script(lambda _: {"handle": "h"})(received):
            if isinstance(step, bytes):
                told_at.append(time.monotonic())
                head, _, rest = step.partition(b"\r\n")
                step = head + b"\r\nServer-Leaving: 1\r\n" + rest
            yield step

    staying = scripted.Endpoint(
        harness.pieces_script(lambda _: {"handle": "h"})
    )
    leaver = scripted.Endpoint(leaving)
    stages = [{"service": "first", "after": [], "size_bytes": 8000}]
    document = harness.stream_route(stages=stages, resumable=True)
    document["services"] = [
        wiredata.service(),
        wiredata.piece_service("first"),
    ]
    for number, each in enumerate((staying, leaver)):
        await each.start()
        beat = wiredata.beat(each.address, service="first")
        store.put("servers", f"s-{number}", beat)
    engines = [LeavingEndpoint(good=availability.streamed) for _ in range(2)]
    async with availability.serving(
        store, tmp_path, engines, configuration=document
    ) as (
        instances,
        session,
    ):

        async def send(number):
            headers = wiredata.head(
                f"p-{number}", pieces="1", piece_key=f"k-{number}"
            )
            status, *_ = await harness.call(
                session, instances[0], "POST", headers=headers
            )
            return status

        tasks = []
        for number in range(100):
            tasks.append(asyncio.create_task(send(number)))
            await asyncio.sleep(0.05)
        statuses = await asyncio.gather(*tasks)
    for each in (staying, leaver):
        await each.stop()
    assert told_at
    assert sum(at > told_at[0] + DRAIN_S for at in received_at) == 0
    assert statuses.count(200) > 90
