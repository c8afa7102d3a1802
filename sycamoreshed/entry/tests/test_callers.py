"""HTTP handlers for callers, with fakes for the parts they use."""

import asyncio
import contextlib
import json
import time
import types

from aiohttp import test_utils
import pytest

from sycamoreshed.admission import admission
from sycamoreshed.entry import callers
from sycamoreshed.entry import guard
from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel
from sycamoreshed.observe import metrics
from sycamoreshed.pipeline import requests
from sycamoreshed.pipeline import stops
from sycamoreshed.settings import schema
from testkit import builders

PLATFORM = dict.fromkeys(("table", "objects", "instances"), "127.0.0.1:9")
HEADERS = {"Team": "gaucho", "Idempotency-Key": "k"}
COMPLETE = requests.Complete("whole", ("generate",))


class FakeRunner:
    """Fake for the runner and `AtMostOnce`: ends runs with a set result."""

    def __init__(self, result):
        self.result = result
        self.started = asyncio.Event()
        self.gate = asyncio.Event()
        self.gate.set()
        self.finished = 0
        self.early_answer = None

    def track_in_progress(self, _request):
        return contextlib.nullcontext()

    async def answer_before_admission(self, _request):
        return self.early_answer

    async def run(self, _request, *, emit=None):
        if emit is not None:
            await emit(0, "word ")
        self.started.set()
        await self.gate.wait()
        self.finished += 1
        if isinstance(self.result, Exception):
            raise self.result
        return self.result


class Core(kernel.Kernel):
    """A kernel with given parts instead of started plug-ins."""

    def __init__(self, **parts):
        document = builders.settings_document(
            PLATFORM, public="127.0.0.1:9", control="127.0.0.1:9"
        )
        raw = json.dumps(document).encode()
        super().__init__(settings=schema.parse(raw, source="test"))
        self._parts = parts


async def serve(result):
    """Return a client, the handlers and the fake runner behind them."""
    runner = FakeRunner(result)
    core = Core(
        notes=types.SimpleNamespace(config=builders.config(), is_ready=True),
        runner=runner,
        once=runner,
        metrics=metrics.Metrics(),
        stop_limit=stops.StopLimit(clock=time.monotonic),
    )
    core._parts["admission"] = admission.Admission(
        settings=core.settings, live_count=lambda now: 1, clock=core.clock
    )
    core.add_middleware(guard.handle_errors)
    handlers = callers.Callers(core=core)
    core.public.add_routes(handlers.routes())
    server = test_utils.TestServer(core.public)
    await server.start_server()
    return test_utils.TestClient(server), handlers, runner


async def ask(client, pipeline, **body):
    """Call a pipeline; return status, headers and text."""
    url = f"/v1/pipelines/{pipeline}"
    answer = await client.post(url, json={"input": 1, **body}, headers=HEADERS)
    return answer.status, answer.headers, await answer.text()


@pytest.mark.parametrize(
    "pipeline, status, outcome",
    [("summary", 500, "failed"), ("ballot", 504, "outcome-unknown")],
)
async def test_internal_error_is_never_answered_as_not_run(
    pipeline, status, outcome
):
    """A part of the daemon raises an unexpected exception.

    The caller of a ballot must not be told that it failed: it may have
    been recorded.
    """
    client, handlers, _ = await serve(KeyError("broken part"))
    async with client:
        got, headers, text = await ask(client, pipeline)
    assert (got, headers["Outcome"]) == (status, outcome)
    assert "KeyError" in json.loads(text)["detail"]
    assert "broken part" not in text
    assert handlers.in_flight == 0


async def test_internal_error_ends_a_stream_with_an_error_event():
    client, _, _ = await serve(KeyError("broken part"))
    async with client:
        status, _, text = await ask(client, "summary", stream=True)
    assert status == 200
    assert [
        line for line in text.splitlines() if line.startswith("event")
    ] == ["event: token", "event: error"]
    assert "urn:sycamoreshed:error:internal" in text


async def test_disconnected_caller_is_counted():
    """A caller disconnects; its request must not count as complete."""
    client, handlers, runner = await serve(COMPLETE)
    runner.gate.clear()
    async with client:
        call = asyncio.create_task(ask(client, "summary"))
        await runner.started.wait()
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)
        while handlers.in_flight:
            await asyncio.sleep(0)
        text = await (await client.get("/metrics")).text()
    assert (
        'sycamoreshed_requests_total{outcome="gone",pipeline="summary",'
        'team="gaucho"} 1.0'
    ) in text
    assert runner.finished == 0


async def test_keyed_run_continues_and_delays_a_drain():
    """The caller of a ballot disconnects while it is being cast.

    If the instance stopped then, nobody could tell whether the ballot was
    recorded.
    """
    client, handlers, runner = await serve(b"{}")
    runner.gate.clear()
    async with client:
        call = asyncio.create_task(ask(client, "ballot"))
        await runner.started.wait()
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)
        while handlers._open_requests:
            await asyncio.sleep(0)
        assert handlers.in_flight == 1
        runner.gate.set()
        while handlers.in_flight:
            await asyncio.sleep(0)
    assert runner.finished == 1


@pytest.mark.parametrize(
    "pipeline, result", [("summary", COMPLETE), ("ballot", b"{}")]
)
async def test_deadline_of_a_request_that_has_ended_delays_no_drain(
    pipeline, result
):
    """One with a late deadline let slow callers hold up a stop for minutes."""
    client, handlers, runner = await serve(result)
    runner.gate.clear()
    async with client:
        call = asyncio.create_task(ask(client, pipeline))
        await runner.started.wait()
        assert handlers.latest_deadline > handlers._core.clock()
        runner.gate.set()
        await call
        assert handlers.latest_deadline == 0.0


async def test_arriving_body_delays_a_drain():
    """A request is arriving when the instance stops accepting."""
    client, handlers, _ = await serve(COMPLETE)
    gate = asyncio.Event()

    async def body():
        yield b'{"input"'
        await gate.wait()
        yield b": 1}"

    async with client:
        url = "/v1/pipelines/summary"
        call = asyncio.create_task(
            client.post(url, data=body(), headers=HEADERS)
        )
        while not handlers.in_flight:
            await asyncio.sleep(0)
        handlers.accepting = False
        gate.set()
        answer = await call
    assert answer.status == 200
    assert handlers.in_flight == 0


async def test_new_requests_are_rejected_while_draining():
    client, handlers, runner = await serve(COMPLETE)
    async with client:
        first = await ask(client, "summary")
        handlers.accepting = False
        second = await ask(client, "summary")
    assert first[0] == 200
    assert (second[0], second[1]["Outcome"]) == (503, "not-run")
    assert second[1]["Retry-After"] == "0"
    assert runner.finished == 1


async def test_outcomes_and_sheds_are_counted():
    failure = kinds.Failure(kinds.Kind.STAGE_FAILED, "x", sent=True)
    client, handlers, runner = await serve(COMPLETE)
    async with client:
        await ask(client, "summary")
        runner.result = failure
        await ask(client, "summary")
        await ask(client, "summary", unknown=1)
        text = await (await client.get("/metrics")).text()
    labels = 'pipeline="summary",team="gaucho"'
    for line in (
        f'sycamoreshed_requests_total{{outcome="complete",{labels}}} 1.0',
        f'sycamoreshed_requests_total{{outcome="failed",{labels}}} 1.0',
        'sycamoreshed_sheds_total{kind="bad-request"} 1.0',
        'sycamoreshed_request_seconds_count{pipeline="summary"} 2.0',
    ):
        assert line in text


async def test_requests_wait_for_no_slot_while_the_store_is_unavailable():
    """Requests with a key arrive while the store is unavailable.

    If each waited for a slot before its rejection, requests that can run
    without the store would wait behind it.
    """
    client, handlers, runner = await serve(COMPLETE)
    runner.early_answer = kinds.Failure(kinds.Kind.STORE_AWAY, "away")
    async with client:
        status, headers, _ = await ask(client, "ballot")
    assert (status, headers["Outcome"]) == (503, "not-run")
    assert not runner.started.is_set()
