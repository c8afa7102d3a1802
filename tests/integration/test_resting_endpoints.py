"""Endpoints that reject requests and ask instances for rest."""

import asyncio
import collections
import json
import time

import pytest

from standins import scripted
from testkit import wiredata
from tests.integration import availability
from tests.integration import harness

NOT_RUN = {"X-Sycamoreshed-Not-Executed": "1"}
REST_S = 6.0
# Requests may be under way for so long when they are asked for rest.
SLACK_S = 0.5
LOAD_S = 7.0
LOAD_PER_S = 60
# What a caller that cannot be served waits for its rejection at most.
AT_ONCE_S = 0.5


class RestingEndpoint:
    """An endpoint that rejects requests at times, and asks for rest.

    Parameters
    ----------
    good : callable
        Returns the steps of other answers, for the headers.
    rejection : dict of str to str
        Headers of a rejection.
    status : int
        Status of a rejection.
    """

    def __init__(
        self, *, good=availability.served, rejection=None, status=503
    ):
        self._good = good
        self._status = status
        self._rejection = {
            "Retry-After": str(REST_S),
            **(NOT_RUN if rejection is None else rejection),
        }
        self.endpoint = scripted.Endpoint(self._script)
        self.is_resting = False
        # Times of arrivals and rejections by the instance that sent them.
        self.arrivals = collections.defaultdict(list)
        self.rejections = collections.defaultdict(list)

    def _script(self, received):
        instance = _instance(received)
        now = time.monotonic()
        self.arrivals[instance].append(now)
        if not self.is_resting:
            return self._good(**{harness.SEAL: "proof"})
        self.rejections[instance].append(now)
        return [scripted.answer(self._status, b"", **self._rejection)]

    @property
    def most_in_rest(self):
        """Most requests of an instance in a rest that it was asked for."""
        return max(
            (
                sum(
                    at + SLACK_S < arrival < at + REST_S
                    for arrival in self.arrivals[instance]
                )
                for instance, times in self.rejections.items()
                for at in times
            ),
            default=0,
        )


def _instance(received):
    """Return the number of the instance that sent a request."""
    request_id = received.headers.get("x-sycamoreshed-request-id")
    if request_id is None:
        request_id = json.loads(received.body)["items"][0]["id"]
    return int(request_id.partition("-")[2]) % len(harness.ZONES)


async def load(session, instances, *, seconds=LOAD_S, **head):
    """Send requests evenly; see `availability.load`."""
    return await availability.load(
        session, instances, per_s=LOAD_PER_S, seconds=seconds, **head
    )


@pytest.mark.parametrize("resting", [1, 3])
@pytest.mark.parametrize(
    "good",
    [availability.served, availability.streamed],
    ids=lambda f: f.__name__,
)
async def test_endpoint_that_asks_for_rest_gets_none_meanwhile(
    store, tmp_path, resting, good
):
    """Rejected requests were followed by others as if nothing had happened."""
    endpoints = [RestingEndpoint(good=good) for _ in range(4)]
    document = None
    if good is availability.streamed:
        document = harness.stream_route(resumable=True, max_attempts=4)
    async with availability.serving(
        store, tmp_path, endpoints, configuration=document
    ) as (
        instances,
        session,
    ):
        await load(session, instances, seconds=0.5)
        for each in endpoints[:resting]:
            each.is_resting = True
        answers = await load(session, instances)
    assert any(each.rejections for each in endpoints)
    assert max(each.most_in_rest for each in endpoints) == 0
    assert {status for status, *_ in answers} == {200}


@pytest.mark.parametrize(
    "status, rejection",
    [pytest.param(503, {}, id="unmarked"), pytest.param(429, None, id="429")],
)
async def test_other_rejections_that_name_a_time_are_rests(
    store, tmp_path, status, rejection
):
    """Only rejections that are marked as not run were taken for rests."""
    endpoints = [
        RestingEndpoint(status=status, rejection=rejection),
        RestingEndpoint(),
    ]
    async with availability.serving(store, tmp_path, endpoints) as (
        instances,
        session,
    ):
        endpoints[0].is_resting = True
        await load(session, instances)
    assert endpoints[0].rejections
    assert endpoints[0].most_in_rest == 0


async def test_callers_are_rejected_at_once_if_all_endpoints_rest(
    store, tmp_path
):
    """Each request was sent to endpoints that had asked for rest."""
    endpoints = [RestingEndpoint() for _ in range(3)]
    async with availability.serving(store, tmp_path, endpoints) as (
        instances,
        session,
    ):
        for each in endpoints:
            each.is_resting = True
        await load(session, instances, seconds=1.0)
        answers = await load(session, instances, seconds=1.0)
        for each in endpoints:
            each.is_resting = False
        await asyncio.sleep(REST_S)
        later = await load(session, instances, seconds=1.0)
    assert max(each.most_in_rest for each in endpoints) == 0
    assert {status for status, *_ in answers} == {503}
    assert max(took_s for *_, took_s in answers) < AT_ONCE_S
    for _, retry_after, _ in answers:
        assert 0 < float(retry_after) <= REST_S
    assert {status for status, *_ in later} == {200}


def pieces_service(per_call_s=0.05):
    """Return the steps of a call with pieces, for its request."""

    def steps(received):
        if received.target == "/v1/stage-free":
            return [scripted.answer(200)]
        items = json.loads(received.body)["items"]
        body = json.dumps({"items": [{"handle": "h"} for _ in items]})
        return [per_call_s, scripted.answer(200, body.encode())]

    return steps


async def test_endpoint_of_a_stage_that_asks_for_rest_gets_no_pieces(
    store, tmp_path
):
    """Calls with pieces went on to an endpoint that had asked for rest."""
    run = pieces_service()
    arrivals = []
    rejections = []

    def resting(received):
        if received.target == "/v1/stage-free":
            return run(received)
        arrivals.append(time.monotonic())
        rejections.append(time.monotonic())
        rest = {"Retry-After": str(REST_S), **NOT_RUN}
        return [scripted.answer(503, b"", **rest)]

    stage_endpoints = [scripted.Endpoint(resting), scripted.Endpoint(run)]
    for number, each in enumerate(stage_endpoints):
        await each.start()
        beat = wiredata.beat(each.address, service="first")
        store.put("servers", f"s-{number}", beat)
    stages = [{"service": "first", "after": [], "size_bytes": 8000}]
    document = harness.stream_route(stages=stages, resumable=True)
    document["services"] = [
        wiredata.service(),
        wiredata.piece_service("first"),
    ]
    engines = [RestingEndpoint(good=availability.streamed) for _ in range(2)]
    async with availability.serving(
        store, tmp_path, engines, configuration=document
    ) as (
        instances,
        session,
    ):
        answers = await load(
            session, instances[:1], seconds=LOAD_S, pieces="1", piece_key="k"
        )
    for each in stage_endpoints:
        await each.stop()
    assert rejections
    in_rest = [
        sum(at + SLACK_S < arrival < at + REST_S for arrival in arrivals)
        for at in rejections
    ]
    assert max(in_rest) == 0
    statuses = [status for status, *_ in answers]
    assert statuses.count(200) > 0.9 * len(statuses)
