"""Streams and staged requests through the forwarding daemon."""

import asyncio
import json

import aiohttp
import pytest

from standins import scripted
from testkit import wiredata
from tests.integration import harness


def one_result():
    """Return an endpoint whose result handle differs in each call."""
    endpoint = scripted.Endpoint(
        harness.pieces_script(lambda _: {"handle": f"h{len(endpoint.seen)}"})
    )
    return endpoint


async def test_a_resumable_stream_goes_on_at_another_engine(store, tmp_path):
    """An engine crashes in the middle of its second event.

    The caller receives each event once and the end, from two engines.
    """
    sent = []

    def crash_or_go_on(seen):
        yield scripted.stream_head(**{harness.SEAL: f"proof {len(sent)}"})
        sent.append(seen.headers.get("last-event-id"))
        if len(sent) == 1:
            yield harness.event(0) + harness.event(1)[:9]
            yield 0.1
            yield scripted.RESET
            return
        yield harness.event(1) + harness.event(2)

    store.put("op", "config", harness.stream_route(resumable=True))
    async with harness.endpoints(store, crash_or_go_on, crash_or_go_on):
        async with harness.serving(store, tmp_path) as (gateway, session):
            status, answer_headers, body = await harness.call(
                session, gateway, "POST"
            )
    assert status == 200
    assert answer_headers[harness.SEAL] == "proof 0"
    assert body == harness.event(0) + harness.event(1) + harness.event(2)
    assert sent == [None, "0"]


async def test_a_broken_stream_does_not_look_whole(store, tmp_path):
    """An engine crashes after the first event of a stream.

    The stream is not resumable, and the caller must see that the end is
    missing.  The log must contain "broken" soon after, although lines are
    buffered: an instance that stalls for 0.7 s may not have written it.
    """

    def crash(_seen):
        yield scripted.stream_head(**{harness.SEAL: "proof"}) + harness.event(
            0
        )
        yield 0.1
        yield scripted.RESET

    store.put("op", "config", harness.stream_route())
    async with harness.endpoints(store, crash, crash) as endpoints:
        async with harness.serving(store, tmp_path) as (gateway, session):
            with pytest.raises(aiohttp.ClientPayloadError):
                await harness.call(session, gateway, "POST")
            await asyncio.sleep(0.5)
            assert len(gateway.events("broken")) == 1
    assert sum(len(each.seen) for each in endpoints) == 1


async def test_a_stream_with_stages_goes_on_at_another_engine(store, tmp_path):
    """An engine crashes late in a long stream with stages.

    The stage results were freed when the stream started, and the time
    limit for the stages of a new request has passed.  The stages run again
    for the other engine.

    An instance that gets no processor time for a second meanwhile must not
    end the stream early.  That happens if the answered stage call counts
    as lost (log: "retry", "first: error") and the results are due after
    1.8 s (log: "staged", until_s 1.8).
    """
    sent = []

    def crash_or_go_on(seen):
        sent.append(seen.headers.get("x-sycamoreshed-inputs"))
        yield scripted.stream_head(**{harness.SEAL: "proof"})
        if len(sent) == 1:
            yield harness.event(0)
            yield 0.7
            yield scripted.RESET
            return
        yield harness.event(1)

    status, body = await harness.call_with_stage(
        store, tmp_path, crash_or_go_on, one_result()
    )
    assert (status, body) == (200, harness.event(0) + harness.event(1))
    assert len(sent) == 2 and sent[0] != sent[1]


async def test_stages_run_before_a_request_and_are_freed(store, tmp_path):
    """A request has two pieces of one stage and three of the next.

    Each piece of the second stage takes both results of the first; the
    engine receives the results of the second; all are freed afterwards.
    """
    stages = [
        {"service": "first", "after": [], "size_bytes": 8000},
        {"service": "second", "after": [0], "size_bytes": 6000},
    ]
    services = [
        wiredata.service(),
        wiredata.piece_service("first"),
        wiredata.piece_service("second"),
    ]
    document = harness.stream_route(stages=stages)
    store.put("op", "config", {**document, "services": services})

    def handle(item):
        return {"handle": f"{item['phase']}/{item['segment']}"}

    def engine_script(_seen):
        yield scripted.stream_head(**{harness.SEAL: "proof"}) + harness.event(
            0
        )

    stage_endpoints = {}
    for name in ("first", "second"):
        stage_endpoints[name] = scripted.Endpoint(
            harness.pieces_script(handle)
        )
        await stage_endpoints[name].start()
        beat = wiredata.beat(stage_endpoints[name].address, service=name)
        store.put("servers", f"i-{name}", beat)
    async with harness.endpoints(store, engine_script) as (engine,):
        async with harness.serving(store, tmp_path) as (gateway, session):
            status, _, body = await harness.call(
                session,
                gateway,
                "POST",
                headers=wiredata.head(pieces="2,3", piece_key="k-7"),
            )
            await asyncio.sleep(0.5)
    assert (status, body) == (200, harness.event(0))
    (seen,) = engine.seen
    assert seen.headers["x-sycamoreshed-inputs"] == "1/0,1/1,1/2"
    freed = []
    for endpoint in stage_endpoints.values():
        for each in endpoint.seen:
            if each.target == "/v1/stage-free":
                freed += json.loads(each.body)["handles"]
        await endpoint.stop()
    assert sorted(freed) == ["0/0", "0/1", "1/0", "1/1", "1/2"]
    calls = [
        json.loads(each.body)["items"]
        for each in stage_endpoints["second"].seen
        if each.target == "/v1/stage-run"
    ]
    assert all(
        item["inputs"] == ["0/0", "0/1"] and "key" not in item
        for items in calls
        for item in items
    )


async def test_results_are_freed_while_an_engine_reads_its_prompt(
    store, tmp_path
):
    """Stage results are freed before the first event of an engine.

    The engine has fetched its inputs by then.  If they are stored until
    the first event, they fill the memory of their endpoints, which then
    reject other callers.  The engine crashes, and another one needs the
    inputs again.
    """
    sent = []

    def crash_or_answer(seen):
        sent.append(seen.headers.get("x-sycamoreshed-inputs"))
        if len(sent) == 1:
            yield 0.4
            freed.extend(each.target for each in first.seen)
            yield scripted.RESET
            return
        yield scripted.stream_head(**{harness.SEAL: "proof"})
        yield harness.event(0)

    freed = []
    first = one_result()
    status, body = await harness.call_with_stage(
        store, tmp_path, crash_or_answer, first
    )
    assert "/v1/stage-free" in freed
    assert (status, body) == (200, harness.event(0))
    assert len(sent) == 2 and sent[0] != sent[1]
