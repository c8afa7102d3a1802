"""Clients that send what no client should, at each listener.

Run alone, one at a time: memory depends on what the machine does besides.
"""

import asyncio
import contextlib
import json
import pathlib
import typing

import pytest

from standins import platformstore
from testkit import held
from testkit import misbehaving
from testkit import processes
from testkit import wiredata
from tests.integration import harness

# Of the smallest machines, which end a process that takes more.
MEMORY_MB = 160
# Of the connections that are open without callers, those to the store and
# to endpoints come and go.
SPARE_DESCRIPTORS = 16
# Within which connections of callers that have left are closed.
SETTLE_S = 30.0
REQUEST_TIMEOUT_S = 30.0
MAX_LINE_BYTES = 8192
# What is logged of refused requests in one play.
MAX_LOG_BYTES = 2_000_000
# The log has lines for each request that is served.
SERVED_FORMS = (
    "bodies-without-sense",
    "requests-with-long-heads",
    "requests-without-pause",
    "wild-values",
)

CALLERS_FORMS = tuple(misbehaving.FORMS.names())
# At the other listeners, one of each kind.
OTHER_FORMS = (
    "arbitrary-bytes",
    "bodies-without-sense",
    "body-without-end",
    "bytes-after-a-request",
    "empty-lines",
    "fat-head",
    "many-fields",
    "one-byte-chunks",
    "requests-without-pause",
    "trailer-without-end",
    "trailers",
)


class Subject(typing.NamedTuple):
    """A daemon, one of its listeners, and an ordinary request to it."""

    process: asyncio.subprocess.Process
    target: misbehaving.Target
    log: pathlib.Path
    ask: typing.Callable


def _target(address, path, **headers):
    return misbehaving.Target(address, path, {"Host": address, **headers})


async def _status(session, address, path):
    async with session.get(f"http://{address}{path}") as answer:
        await answer.read()
        return answer.status


@contextlib.asynccontextmanager
async def forwarding(listener, folder):
    """Run a forwarding instance with one endpoint; yield a `Subject`."""
    store = platformstore.PlatformStore()
    await store.start()
    store.put("op", "config", wiredata.configuration())
    async with (
        harness.endpoints(store, harness.answer_ok),
        harness.serving(store, folder, memory_mb=MEMORY_MB) as (
            gateway,
            session,
        ),
    ):
        address = gateway.document[listener]
        headers = wiredata.head(deadline_ms="20000")
        paths = {
            "public": "/lookup/1",
            "ready": "/ready",
            "control": "/control/findings",
        }

        async def ask():
            if listener == "public":
                status, _, _ = await harness.call(
                    session, gateway, headers=headers
                )
                return status
            path = "/ready" if listener == "ready" else "/control/status"
            return await _status(session, address, path)

        if listener != "public":
            headers = {"Host": address}
        yield Subject(
            gateway.process,
            misbehaving.Target(address, paths[listener], headers),
            folder / "edge-1.log",
            ask,
        )
    await store.stop()


@contextlib.asynccontextmanager
async def pipelines(listener, folder):
    """Run a daemon of pipelines; yield a `Subject`."""
    async with processes.cluster(memory_mb=MEMORY_MB) as cluster:
        daemon = cluster.daemons[0]
        await daemon.wait_ready()
        address = daemon.document[listener]

        async def ask():
            if listener == "public":
                status, _, _ = await cluster.call(0, "catalogue", {"input": 1})
                return status
            return await _status(cluster.session, address, "/control/status")

        path = {
            "public": "/v1/pipelines/catalogue",
            "control": "/control/notes",
        }[listener]
        yield Subject(
            daemon.process,
            _target(address, path, Team="gaucho"),
            daemon.log,
            ask,
        )


DAEMONS = {"forwarding": forwarding, "pipelines": pipelines}
CASES = [
    *(("forwarding", "public", form) for form in CALLERS_FORMS),
    *(("forwarding", "control", form) for form in OTHER_FORMS),
    *(("forwarding", "ready", form) for form in OTHER_FORMS),
    *(("pipelines", "public", form) for form in OTHER_FORMS),
    *(("pipelines", "control", form) for form in OTHER_FORMS),
]


async def _until_closed(pid, limit):
    """Wait until few descriptors are open; return how many."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(SETTLE_S):
            while held.descriptors(pid) > limit:
                await asyncio.sleep(0.1)
    return held.descriptors(pid)


@pytest.mark.parametrize(
    "daemon, listener, form",
    [pytest.param(*case, id="-".join(case)) for case in CASES],
)
async def test_crowd_takes_little(
    daemon, listener, form, tmp_path, record_property
):
    """What clients sent filled the memory, or kept connections open."""
    async with DAEMONS[daemon](listener, tmp_path) as subject:
        pid = subject.process.pid
        assert await subject.ask() == 200
        before = held.descriptors(pid)
        _, _, port = subject.target.address.rpartition(":")
        watch = held.Watch(pid=pid, port=int(port))
        watching = asyncio.create_task(watch.run())
        crowd = misbehaving.Crowd(target=subject.target, form=form)
        await crowd.run()
        watching.cancel()
        await asyncio.gather(watching, return_exceptions=True)
        assert subject.process.returncode is None
        # Those that are open without callers come and go.
        limit = before + SPARE_DESCRIPTORS
        open_count = await _until_closed(pid, limit)
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            assert await subject.ask() == 200
        peak_mb = max(watch.peak_mb, held.peak_memory_mb(pid))
        assert subject.process.returncode is None
        record_property("peak_mb", round(peak_mb))
        record_property("descriptors", open_count - before)
        record_property("log_bytes", subject.log.stat().st_size)
        assert peak_mb < MEMORY_MB
        assert open_count <= limit
        _check_log(subject.log, form)


def _check_log(log, form):
    """Check that the log is short, and has no errors of the daemon."""
    text = log.read_text()
    assert "Traceback" not in text
    lines = text.splitlines()
    assert max(map(len, lines), default=0) <= MAX_LINE_BYTES
    if form not in SERVED_FORMS:
        assert len(text) <= MAX_LOG_BYTES
    documents = [json.loads(line) for line in lines if line.startswith("{")]
    errors = [
        document
        for document in documents
        if document.get("level") in ("ERROR", "CRITICAL")
        or document.get("event") in ("internal", "task_failed")
    ]
    assert errors == []
