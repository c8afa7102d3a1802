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


async def connect(daemon, *, receive_bytes=None):
    """Open a connection; return its reader and its writer."""
    host, _, port = daemon.public.rpartition(":")
    sock = socket.socket()
    sock.setblocking(False)
    if receive_bytes is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    return await asyncio.open_connection(sock=sock)


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
