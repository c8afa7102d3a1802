"""Requests through the forwarding daemon, run as a process."""

import asyncio
import contextlib

import pytest

from standins import scripted
from testkit import wiredata
from tests.integration import harness


async def test_a_request_passes_unchanged(store, tmp_path):
    """Method, path, query, body and response seal are forwarded unchanged.

    Headers that only the system may set are dropped from a caller's
    request, and its key is not forwarded.
    """
    headers = wiredata.head(
        tenant="team-b",
        hold="h-1",
        pin_ms="4000",
        inputs="10.0.0.1:1/x",
        length_hint="7",
    )
    headers["Kv-From"] = "10.0.0.1:1/x"
    store.put(
        "op",
        "config",
        wiredata.configuration(
            2, routes=[wiredata.route(route_kind="unsafe")]
        ),
    )
    async with harness.endpoints(store, harness.answer_ok) as (endpoint,):
        async with harness.serving(store, tmp_path) as (gateway, session):
            status, answer_headers, body = await harness.call(
                session, gateway, "POST", headers=headers, data=b"ballot"
            )
    assert (status, body, answer_headers[harness.SEAL]) == (
        200,
        b"whole",
        "proof",
    )
    (seen,) = endpoint.seen
    assert seen.method == "POST"
    assert seen.target == "/lookup/a%2Fb//c?q=1"
    assert seen.body == b"ballot"
    assert seen.headers["host"] == "pages.example"
    assert seen.headers["x-sycamoreshed-tenant"] == "team-a"
    assert seen.headers["x-sycamoreshed-expect-instance"] == "i-0"
    assert seen.headers["x-sycamoreshed-length-hint"] == "7"
    assert 2000 < int(seen.headers["x-sycamoreshed-deadline-ms"]) <= 3000
    for name in ("authorization", "kv-from", "x-sycamoreshed-hold"):
        assert name not in seen.headers
    for name in ("x-sycamoreshed-pin-ms", "x-sycamoreshed-inputs"):
        assert name not in seen.headers


@pytest.mark.parametrize(
    ("headers", "url", "status"),
    [
        ({"Authorization": "Token other"}, harness.URL, 401),
        ({"Host": "other.example"}, harness.URL, 404),
        ({}, "http://{}/none/", 404),
    ],
)
async def test_who_has_no_route_or_key_is_told(
    store, tmp_path, headers, url, status
):
    async with harness.endpoints(store, harness.answer_ok) as (endpoint,):
        async with harness.serving(store, tmp_path) as (gateway, session):
            actual, _, _ = await harness.call(
                session,
                gateway,
                headers={**wiredata.head(), **headers},
                url=url,
            )
    assert actual == status
    assert not endpoint.seen


async def test_an_answer_without_length_that_is_reset_is_not_whole(
    store, tmp_path
):
    """An endpoint crashes within an answer that has no length.

    The HTTP library takes the connection reset for the end of the body, so
    that a caller would receive a partial page as if it were complete.
    """

    def crash(_seen):
        yield scripted.stream_head(**{harness.SEAL: "proof"}) + b"who"
        yield scripted.RESET

    store.put(
        "op",
        "config",
        wiredata.configuration(
            2, routes=[wiredata.route(route_kind="unsafe")]
        ),
    )
    async with harness.endpoints(store, crash):
        async with harness.serving(store, tmp_path) as (gateway, session):
            # Whether bytes and reset are read together depends on timing.
            results = [
                await harness.call(session, gateway, "POST") for _ in range(60)
            ]
    assert {status for status, _, _ in results} == {502}
    assert not any(
        harness.SEAL in answer_headers for _, answer_headers, _ in results
    )


@pytest.mark.parametrize("kind", ["unsafe", "streaming"])
async def test_what_may_run_once_is_not_sent_again(store, tmp_path, kind):
    """The connection of an endpoint breaks before it answers a ballot.

    The ballot may have run: a retry would record it twice, and with the
    outcome "not run" the member would vote again.
    """

    def lost(_seen):
        yield scripted.RESET

    store.put(
        "op",
        "config",
        wiredata.configuration(2, routes=[wiredata.route(route_kind=kind)]),
    )
    async with harness.endpoints(store, lost, lost) as endpoints:
        async with harness.serving(store, tmp_path) as (gateway, session):
            status, _, _ = await harness.call(
                session, gateway, "POST", data=b"vote"
            )
    assert status == 502
    assert sum(len(each.seen) for each in endpoints) == 1


async def test_what_an_endpoint_did_not_run_goes_to_another(store, tmp_path):
    """An endpoint at capacity reports that it did not run the ballot."""

    def full(_seen):
        yield scripted.answer(503, **{"X-Sycamoreshed-Not-Executed": "1"})

    store.put(
        "op",
        "config",
        wiredata.configuration(
            2, routes=[wiredata.route(route_kind="unsafe")]
        ),
    )
    async with harness.endpoints(
        store, full, full, harness.answer_ok
    ) as endpoints:
        async with harness.serving(store, tmp_path) as (gateway, session):
            results = [
                await harness.call(session, gateway, "POST", data=b"vote")
                for _ in range(6)
            ]
    statuses = {status for status, _, _ in results}
    # Two attempts are allowed, and two endpoints are at capacity.
    assert 200 in statuses and statuses <= {200, 503}
    for status, answer_headers, _ in results:
        assert status == 200 or float(answer_headers["Retry-After"]) > 0
    assert all(len(each.seen) <= 6 for each in endpoints)


async def test_a_promise_without_the_endpoints_word_is_not_passed_on(
    store, tmp_path
):
    """A faulty endpoint answers 503 after it ran a ballot.

    Forwarded without the header by which an endpoint reports that it did
    not run the request, the status would tell the member that the vote was
    not cast.
    """

    def wrong(_seen):
        yield scripted.answer(503, b"busy", **{harness.SEAL: "proof"})

    store.put(
        "op",
        "config",
        wiredata.configuration(
            2, routes=[wiredata.route(route_kind="unsafe")]
        ),
    )
    async with harness.endpoints(store, wrong):
        async with harness.serving(store, tmp_path) as (gateway, session):
            status, answer_headers, _ = await harness.call(
                session, gateway, "POST"
            )
    assert status == 502
    assert harness.SEAL not in answer_headers


async def test_a_read_that_fails_is_read_elsewhere(store, tmp_path):
    """Reads that fail at one of two endpoints are retried at the other."""

    def fails(_seen):
        yield scripted.answer(500, b"no", **{harness.SEAL: "proof"})

    async with harness.endpoints(store, fails, harness.answer_ok):
        async with harness.serving(store, tmp_path) as (gateway, session):
            results = [await harness.call(session, gateway) for _ in range(8)]
    assert {status for status, _, _ in results} == {200}


async def test_the_only_endpoints_failure_is_told_as_it_is(store, tmp_path):
    """The only endpoint of a service fails a read.

    The caller receives that answer with its seal, not one of the gateway.
    """

    def fails(_seen):
        yield scripted.answer(500, b"no", **{harness.SEAL: "proof"})

    async with harness.endpoints(store, fails):
        async with harness.serving(store, tmp_path) as (gateway, session):
            status, answer_headers, body = await harness.call(session, gateway)
    assert (status, body, answer_headers[harness.SEAL]) == (
        500,
        b"no",
        "proof",
    )


async def test_work_ends_when_the_caller_leaves(store, tmp_path):
    """A caller disconnects while an engine works.

    Its request to the engine must be closed as well, or the engine
    continues work that nobody receives.
    """

    def slow(_seen):
        yield scripted.stream_head() + harness.event(0)
        yield 20.0

    store.put("op", "config", harness.stream_route())
    async with harness.endpoints(store, slow) as (engine,):
        async with harness.serving(store, tmp_path) as (gateway, session):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.5):
                    await harness.call(session, gateway, "POST")
            async with asyncio.timeout(0.5):
                while not engine.left:
                    await asyncio.sleep(0.02)


async def test_a_stop_ends_requests_and_closes_connections(store, tmp_path):
    """An instance is stopped while a request runs.

    The caller receives its answer, and the process exits with 0 within the
    grace period.
    """

    def slow(_seen):
        yield 1.0
        yield scripted.answer(200, b"whole", **{harness.SEAL: "proof"})

    async with harness.endpoints(store, slow):
        async with harness.serving(store, tmp_path) as (gateway, session):
            running = asyncio.create_task(harness.call(session, gateway))
            await asyncio.sleep(0.3)
            stopping = asyncio.create_task(gateway.stop())
            status, answer_headers, body = await running
            assert (status, body) == (200, b"whole")
            assert answer_headers["Connection"] == "close"
            assert not await gateway.is_ready()
            assert await stopping == 0
