"""What callers of a daemon of pipelines get while it stops."""

import asyncio
import json
import signal
import socket
import time

import pytest

from testkit import builders
from testkit import processes
from testkit import rawcalls

HEAD = (
    b"POST /v1/pipelines/catalogue HTTP/1.1\r\nHost: a\r\nTeam: gaucho\r\n"
    b"Content-Length: %d\r\n\r\n"
)
BODY = b'{"input": 1}'
# Within which a daemon ends that waits for nothing.
END_S = 5.0
# More than the system holds for a caller that does not read.
LARGE_BYTES = 5 << 20
RECEIVE_BYTES = 1 << 16
LARGE = {"max_body_bytes": 2 * LARGE_BYTES}
# Within which it ends after the deadline of its last request.
LARGE_END_S = 10.0
# A daemon that is killed after a stop, and deadlines before and after that.
KILLED = {"grace_s": 1.0, "drain_s": 0.0, "stop_s": 4.0}
SOON_S = 1.0
LATE_S = 60.0
TOKEN_S = 0.05
OPEN = "outcome-unknown"


async def connect(address, *, receive_bytes=None):
    """Open a connection; return its reader and its writer."""
    host, _, port = address.rpartition(":")
    sock = socket.socket()
    sock.setblocking(False)
    if receive_bytes is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    return await asyncio.open_connection(sock=sock)


async def served(cluster):
    """Return how many calls the endpoints of the catalogue have served."""
    counts = [
        await cluster.get(f"catalogue-{number}", "/counts")
        for number in (1, 2)
    ]
    return sum(each["served"] for each in counts)


async def in_flight(cluster):
    """Return the number of requests in flight at the first daemon."""
    url = f"http://{cluster.daemons[0].control}/control/status"
    async with cluster.session.get(url) as answer:
        return (await answer.json())["in_flight"]


async def begin(daemon):
    """Send all but the last byte of a request; return its connection."""
    reader, writer = await connect(daemon.public)
    writer.write(HEAD % len(BODY) + BODY[:-1])
    return reader, writer


async def read(reader):
    """Return the answer that ends a connection, and its problem's type."""
    async with asyncio.timeout(END_S):
        answer = rawcalls.parse(await reader.read())
    assert answer.is_whole
    body = json.loads(answer.body)
    return answer.status, body["outcome"], body.get("type")


async def stop(daemon):
    """Stop a daemon; return its exit code and the seconds that it took."""
    began = time.monotonic()
    daemon.send_signal(signal.SIGTERM)
    code = await daemon.process.wait()
    return code, time.monotonic() - began


NOT_RUN = (503, "not-run", "urn:sycamoreshed:error:draining")


async def test_request_is_not_run_if_its_body_ends_after_the_drain():
    """Callers were told of a bad request, which no other instance serves."""
    async with processes.cluster(drain_s=0.0) as cluster:
        daemon = cluster.daemons[0]
        connections = [await begin(daemon) for _ in range(2)]
        # Until their heads are read.
        assert (await cluster.call(0, "catalogue", {"input": 1}))[0] == 200
        stopping = asyncio.create_task(stop(daemon))
        reader, _ = connections[0]
        assert await read(reader) == NOT_RUN
        connections[1][1].write(BODY[-1:])
        assert await read(connections[1][0]) == NOT_RUN
        code, seconds = await stopping
    assert code == 0
    assert seconds < END_S


async def test_request_is_served_if_its_body_ends_within_the_drain():
    """The time for requests in flight is for those that arrive, too."""
    async with processes.cluster(drain_s=END_S) as cluster:
        daemon = cluster.daemons[0]
        reader, writer = await begin(daemon)
        assert (await cluster.call(0, "catalogue", {"input": 1}))[0] == 200
        stopping = asyncio.create_task(stop(daemon))
        await asyncio.sleep(4 * cluster.daemons[0].document["grace_s"])
        writer.write(BODY[-1:])
        assert (await read(reader))[:2] == (200, "complete")
        code, seconds = await stopping
    assert code == 0
    assert seconds < END_S


async def call_slowly(daemon, deadline_ms):
    """Request a large answer; return its connection, which is not read."""
    body = json.dumps({"input": "x" * LARGE_BYTES}).encode()
    reader, writer = await connect(daemon.public, receive_bytes=RECEIVE_BYTES)
    writer.transport.pause_reading()
    writer.write(
        HEAD.replace(b"\r\n\r\n", b"\r\nDeadline-Ms: %d\r\n\r\n")
        % (len(body), deadline_ms)
        + body
    )
    await writer.drain()
    return reader, writer


async def test_caller_that_does_not_read_does_not_hold_up_the_end():
    """A stopping daemon waited two minutes for one, or was killed."""
    async with processes.cluster(drain_s=0.0, **LARGE) as cluster:
        daemon = cluster.daemons[0]
        _, writer = await call_slowly(daemon, 1000)
        while not await served(cluster):
            await asyncio.sleep(0.05)
        code, seconds = await stop(daemon)
        writer.transport.abort()
    assert code == 0
    assert seconds < LARGE_END_S


async def test_caller_that_reads_slowly_gets_its_whole_answer():
    """The end of the process must not truncate an answer."""
    async with processes.cluster(drain_s=0.0, **LARGE) as cluster:
        daemon = cluster.daemons[0]
        reader, writer = await call_slowly(daemon, 30000)
        while not await served(cluster):
            await asyncio.sleep(0.05)
        stopping = asyncio.create_task(stop(daemon))
        await asyncio.sleep(0.5)
        raw = b""
        while True:
            # Lets no more arrive until it is read.
            writer.transport.resume_reading()
            piece = await reader.read(1 << 16)
            writer.transport.pause_reading()
            if not piece:
                break
            raw += piece
            await asyncio.sleep(0.005)
        code, _ = await stopping
    answer = rawcalls.parse(raw)
    assert answer.is_whole
    assert answer.status == 200
    assert code == 0


async def wait_stopping(cluster):
    """Wait until the first daemon is not ready any more."""
    url = f"http://{cluster.daemons[0].public}/readyz"
    while True:
        async with cluster.session.get(url) as answer:
            if answer.status != 200:
                return
        await asyncio.sleep(0.01)


async def test_request_that_may_not_end_before_the_kill_is_not_run():
    """Requests with late deadlines were begun and cut off by the kill."""
    async with processes.cluster(**KILLED) as cluster:
        daemon = cluster.daemons[0]

        async def call(pipeline, deadline_s):
            status, _, body = await cluster.call(
                0,
                pipeline,
                {"input": 1},
                Deadline_Ms=str(int(deadline_s * 1000)),
            )
            return status, body["outcome"], body.get("type")

        # Shows how long the pipeline takes.
        assert (await call("catalogue", LATE_S))[0] == 200
        stopping = asyncio.create_task(stop(daemon))
        await wait_stopping(cluster)
        assert await call("summary", LATE_S) == NOT_RUN
        assert (await call("catalogue", LATE_S))[0] == 200
        assert (await call("summary", SOON_S))[0] == 200
        code, seconds = await stopping
    assert code == 0
    assert seconds < KILLED["stop_s"]


@pytest.mark.parametrize(
    "pipeline, outcome", [("catalogue", "failed"), ("ballot", OPEN)]
)
async def test_run_that_does_not_end_before_the_kill_is_answered(
    pipeline, outcome
):
    """Callers of runs that were cut off by the kill got no answer."""
    async with processes.cluster(**KILLED) as cluster:
        daemon = cluster.daemons[0]
        call = asyncio.create_task(
            cluster.call(
                0,
                pipeline,
                {"input": {"take_s": LATE_S}},
                Deadline_Ms=str(int(LATE_S * 1000)),
                Idempotency_Key="k",
            )
        )
        while not await in_flight(cluster):
            await asyncio.sleep(0.01)
        code, seconds = await stop(daemon)
        status, headers, body = await call
    assert (status // 100, body["outcome"]) == (5, outcome)
    assert headers["Connection"] == "close"
    assert code == 0
    assert seconds < KILLED["stop_s"]


async def test_stream_that_does_not_end_before_the_kill_ends_with_an_error():
    """Callers could not tell a stream that was cut off from a whole one."""
    specs = [
        *processes.endpoint_specs(1)[:3],
        {
            "kind": "engine",
            "name": "language-1",
            "tokens": int(LATE_S / TOKEN_S),
            "token_s": TOKEN_S,
        },
    ]
    async with processes.cluster(specs=specs, **KILLED) as cluster:
        daemon = cluster.daemons[0]
        url = f"http://{daemon.public}/v1/pipelines/summary"
        headers = {"Team": "gaucho", "Deadline-Ms": str(int(LATE_S * 1000))}
        stream = {"input": 1, "stream": True}
        async with cluster.session.post(
            url, json=stream, headers=headers
        ) as answer:
            await answer.content.readuntil(b"\n\n")
            stopping = asyncio.create_task(stop(daemon))
            await wait_stopping(cluster)
            async with cluster.session.post(
                url, json=stream, headers=headers
            ) as rejected:
                assert rejected.status == 503
            rest = await answer.text()
        code, seconds = await stopping
    event, data = rest.rstrip().splitlines()[-2:]
    assert event == "event: error"
    assert json.loads(data.removeprefix("data: "))["outcome"] == "failed"
    assert code == 0
    assert seconds < KILLED["stop_s"]


async def test_request_of_an_operator_is_served_within_the_drain():
    """Notes that were being sent as an instance stopped were rejected."""
    async with processes.cluster(drain_s=2 * LARGE_END_S) as cluster:
        daemon = cluster.daemons[0]
        body = json.dumps(builders.note(1)).encode()
        reader, writer = await connect(daemon.control)
        head = b"POST /control/notes/check HTTP/1.1\r\nHost: a\r\n"
        writer.write(head + b"Content-Length: %d\r\n\r\n" % len(body))
        writer.write(body[:-1])
        # Until its head is read.
        assert (await cluster.call(0, "catalogue", {"input": 1}))[0] == 200
        stopping = asyncio.create_task(stop(daemon))
        await wait_stopping(cluster)
        await asyncio.sleep(END_S)
        writer.write(body[-1:])
        async with asyncio.timeout(END_S):
            answer = rawcalls.parse(await reader.read())
        code, _ = await stopping
    assert (answer.status, answer.is_whole) == (200, True)
    assert code == 0


async def test_further_signals_change_nothing():
    """A second one must not end the process with requests in flight."""
    async with processes.cluster(drain_s=0.0) as cluster:
        daemon = cluster.daemons[0]
        call = asyncio.create_task(
            cluster.call(0, "catalogue", {"input": {"take_s": SOON_S}})
        )
        while not await in_flight(cluster):
            await asyncio.sleep(0.01)
        stopping = asyncio.create_task(stop(daemon))
        await wait_stopping(cluster)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGINT):
            daemon.send_signal(number)
            await asyncio.sleep(SOON_S / 10)
        assert (await call)[0] == 200
        code, seconds = await stopping
    assert code == 0
    assert seconds < END_S
