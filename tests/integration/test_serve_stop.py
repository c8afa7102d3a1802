"""What callers of a daemon of pipelines get while it stops."""

import asyncio
import json
import signal
import socket
import time

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


async def connect(daemon, *, receive_bytes=None):
    """Open a connection; return its reader and its writer."""
    host, _, port = daemon.public.rpartition(":")
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


async def begin(daemon):
    """Send all but the last byte of a request; return its connection."""
    reader, writer = await connect(daemon)
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
    reader, writer = await connect(daemon, receive_bytes=RECEIVE_BYTES)
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
