"""Handlers of the callers' interface, before parts that fail."""

import asyncio
import contextlib
import json
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
from sycamoreshed.settings import schema
from testkit import builders

PLATFORM = dict.fromkeys(("table", "objects", "instances"), "127.0.0.1:9")
HEADERS = {"Team": "gaucho", "Idempotency-Key": "k"}
COMPLETE = requests.Complete("whole", ("generate",))


class Part:
    """Runs a request as it is told to."""

    def __init__(self, result):
        self.result = result
        self.begun = asyncio.Event()
        self.gate = asyncio.Event()
        self.gate.set()
        self.finished = 0
        self.refused = None

    def track_in_progress(self, _request):
        return contextlib.nullcontext()

    async def answer_before_admission(self, _request):
        return self.refused

    async def run(self, _request, *, emit=None):
        if emit is not None:
            await emit(0, "word ")
        self.begun.set()
        await self.gate.wait()
        self.finished += 1
        if isinstance(self.result, Exception):
            raise self.result
        return self.result


class Core(kernel.Kernel):
    """A kernel with parts that are given."""

    def __init__(self, **parts):
        document = builders.settings_document(
            PLATFORM, public="127.0.0.1:9", control="127.0.0.1:9"
        )
        raw = json.dumps(document).encode()
        super().__init__(settings=schema.parse(raw, source="test"))
        self._parts = parts


async def serve(result):
    """Return a client, the callers' part and the part that runs."""
    part = Part(result)
    core = Core(
        notes=types.SimpleNamespace(config=builders.config(), is_ready=True),
        runner=part,
        once=part,
        metrics=metrics.Metrics(),
    )
    core._parts["admission"] = admission.Admission(
        settings=core.settings, live_count=lambda now: 1, clock=core.clock
    )
    core.guard(guard.guarded)
    entry = callers.Callers(core=core)
    core.public.add_routes(entry.routes())
    server = test_utils.TestServer(core.public)
    await server.start_server()
    return test_utils.TestClient(server), entry, part


async def ask(client, pipeline, **body):
    """Call a pipeline; return status, headers and text."""
    url = f"/v1/pipelines/{pipeline}"
    answer = await client.post(url, json={"input": 1, **body}, headers=HEADERS)
    return answer.status, answer.headers, await answer.text()


@pytest.mark.parametrize(
    "pipeline, status, outcome",
    [("summary", 500, "failed"), ("ballot", 504, "outcome-unknown")],
)
async def test_fault_inside_never_says_not_run(pipeline, status, outcome):
    """A part of the daemon raises what nobody expected.

    The caller of a ballot must not be told that it failed: it may have
    been recorded.
    """
    client, entry, _ = await serve(KeyError("broken part"))
    async with client:
        got, headers, text = await ask(client, pipeline)
    assert (got, headers["Outcome"]) == (status, outcome)
    assert "KeyError" in json.loads(text)["detail"]
    assert "broken part" not in text
    assert entry.in_flight == 0


async def test_fault_inside_ends_a_stream_with_an_error_event():
    client, _, _ = await serve(KeyError("broken part"))
    async with client:
        status, _, text = await ask(client, "summary", stream=True)
    assert status == 200
    assert [
        line for line in text.splitlines() if line.startswith("event")
    ] == ["event: token", "event: error"]
    assert "urn:sycamoreshed:error:internal" in text


async def test_caller_that_goes_away_is_counted():
    """A caller gives up; its request has not attained its deadline."""
    client, entry, part = await serve(COMPLETE)
    part.gate.clear()
    async with client:
        call = asyncio.create_task(ask(client, "summary"))
        await part.begun.wait()
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)
        while entry.in_flight:
            await asyncio.sleep(0)
        text = await (await client.get("/metrics")).text()
    assert (
        'sycamoreshed_requests_total{outcome="gone",pipeline="summary",'
        'team="gaucho"} 1.0'
    ) in text
    assert part.finished == 0


async def test_keyed_run_goes_on_and_holds_up_a_drain():
    """The caller of a ballot goes away while it is being cast.

    An instance that stopped then would leave nobody who knows whether
    the ballot was recorded.
    """
    client, entry, part = await serve(b"{}")
    part.gate.clear()
    async with client:
        call = asyncio.create_task(ask(client, "ballot"))
        await part.begun.wait()
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)
        while entry._open:
            await asyncio.sleep(0)
        assert entry.in_flight == 1
        part.gate.set()
        while entry.in_flight:
            await asyncio.sleep(0)
    assert part.finished == 1


async def test_body_on_its_way_holds_up_a_drain():
    """A request has begun to arrive when the instance stops accepting."""
    client, entry, _ = await serve(COMPLETE)
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
        while not entry.in_flight:
            await asyncio.sleep(0)
        entry.accepting = False
        gate.set()
        answer = await call
    assert answer.status == 200
    assert entry.in_flight == 0


async def test_nothing_new_is_accepted_while_draining():
    client, entry, part = await serve(COMPLETE)
    async with client:
        first = await ask(client, "summary")
        entry.accepting = False
        second = await ask(client, "summary")
    assert first[0] == 200
    assert (second[0], second[1]["Outcome"]) == (503, "not-run")
    assert second[1]["Retry-After"] == "0"
    assert part.finished == 1


async def test_outcomes_and_sheds_are_counted():
    failure = kinds.Failure(kinds.Kind.STAGE_FAILED, "x", sent=True)
    client, entry, part = await serve(COMPLETE)
    async with client:
        await ask(client, "summary")
        part.result = failure
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


async def test_no_slot_is_waited_for_while_the_store_is_away():
    """The store is away while requests with a key come in.

    Each would wait for a slot first, only to hear that nothing can be
    recorded, and reads would wait behind it.
    """
    client, entry, part = await serve(COMPLETE)
    part.refused = kinds.Failure(kinds.Kind.STORE_AWAY, "away")
    async with client:
        status, headers, _ = await ask(client, "ballot")
    assert (status, headers["Outcome"]) == (503, "not-run")
    assert not part.begun.is_set()
