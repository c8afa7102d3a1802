"""A planned stop completes all requests in flight."""

import asyncio
import json
import signal

import aiohttp

from testkit import processes

CALLERS = 20
HEADERS = {"Team": "gaucho"}
RAW_CALL = (
    b"POST /v1/pipelines/catalogue HTTP/1.1\r\nHost: a\r\nTeam: gaucho\r\n"
    b'Content-Length: 12\r\n\r\n{"input": 1}'
)


async def raw_call(reader, writer):
    """Send a call on an open connection; return its status and headers."""
    writer.write(RAW_CALL)
    head = await reader.readuntil(b"\r\n\r\n")
    fields = dict(
        line.split(": ", 1) for line in head.decode().split("\r\n")[1:-2]
    )
    await reader.readexactly(int(fields["Content-Length"]))
    return head.split()[1], fields


async def caller(cluster, results):
    """Repeat calls until one is rejected; return the body of that answer."""
    async with aiohttp.ClientSession() as session:
        url = f"http://{cluster.daemons[0].public}/v1/pipelines/catalogue"
        while True:
            async with session.post(
                url, json={"input": 1}, headers=HEADERS
            ) as answer:
                body = await answer.json()
                results.append(answer.status)
                if answer.status != 200:
                    return body


async def ready(cluster):
    """Return the status of /readyz."""
    url = f"http://{cluster.daemons[0].public}/readyz"
    async with cluster.session.get(url) as answer:
        return answer.status


async def in_flight(cluster):
    """Return the number of requests in flight at the first daemon."""
    url = f"http://{cluster.daemons[0].control}/control/status"
    async with cluster.session.get(url) as answer:
        return (await answer.json())["in_flight"]


async def command(name, daemon):
    """Run an operators' command; return exit code and output."""
    process = await asyncio.create_subprocess_exec(
        *processes.PROGRAM,
        name,
        "--control",
        daemon.control,
        "--json",
        stdout=asyncio.subprocess.PIPE,
    )
    out, _ = await process.communicate()
    return process.returncode, out.decode()


async def test_stop_under_load():
    """An instance that is stopped under load finishes its requests.

    Otherwise connections close on requests in flight, or callers wait for
    an instance that is about to exit.
    """
    async with processes.cluster(
        proxied=True, grace_s=4.0, drain_s=0.0
    ) as cluster:
        daemon = cluster.daemons[0]
        host, _, port = daemon.public.rpartition(":")
        connection = await asyncio.open_connection(host, int(port))
        assert (await raw_call(*connection))[0] == b"200"
        encoders = [cluster.proxies[f"encoder-{n}"] for n in (1, 2)]
        for proxy in encoders:
            proxy.freeze = True
        pending_call = asyncio.create_task(
            cluster.call(0, "summary", {"input": 1}, Deadline_Ms="240000")
        )
        results = []
        callers = [
            asyncio.create_task(caller(cluster, results))
            for _ in range(CALLERS)
        ]
        while not await in_flight(cluster):
            await asyncio.sleep(0.01)
        daemon.send_signal(signal.SIGTERM)
        while await ready(cluster) == 200:
            await asyncio.sleep(0.01)
        served = len(results)
        rejections = await asyncio.gather(*callers)
        again, fields = await raw_call(*connection)
        assert await connection[0].read() == b""
        connection[1].close()
        assert not pending_call.done()
        for proxy in encoders:
            proxy.freeze = False
        status, headers, body = await pending_call
        code = await daemon.stop()
    # No longer ready, but requests were served until the grace was over.
    assert results[served:].count(200) > CALLERS
    assert set(results) == {200, 503}
    assert {body["type"] for body in rejections} == {
        "urn:sycamoreshed:error:draining"
    }
    assert {body["outcome"] for body in rejections} == {"not-run"}
    assert (again, fields["Connection"]) == (b"503", "close")
    assert (status, headers["Connection"]) == (200, "close")
    assert body["outcome"] == "complete"
    assert code == 0


async def test_operators_drain_command():
    """The drain command lets requests in flight complete, then exits."""
    async with processes.cluster() as cluster:
        daemon = cluster.daemons[0]
        calls = [
            asyncio.create_task(cluster.call(0, "summary", {"input": number}))
            for number in range(CALLERS)
        ]
        while not await in_flight(cluster):
            await asyncio.sleep(0.01)
        before = await command("status", daemon)
        drained = await command("drain", daemon)
        answers = await asyncio.gather(*calls)
        code = await daemon.process.wait()
    assert before[0] == drained[0] == 0
    status = json.loads(before[1])
    assert (status["instance"], status["stopping"]) == ("entry-1", False)
    assert json.loads(drained[1]) == {"stopping": True}
    assert [status for status, _, _ in answers] == [200] * CALLERS
    assert code == 0


async def test_stop_with_streams_in_flight():
    """Streams in flight complete when their instance is stopped."""
    tokens = 300
    specs = [
        {"kind": "pool", "name": "encoder-1"},
        {"kind": "pool", "name": "retriever-1"},
        {"kind": "pool", "name": "reranker-1"},
        {
            "kind": "engine",
            "name": "language-1",
            "tokens": tokens,
            "token_s": 0.005,
            "slots": 64,
        },
    ]
    async with processes.cluster(specs=specs) as cluster:
        url = f"http://{cluster.daemons[0].public}/v1/pipelines/summary"
        started = asyncio.Semaphore(0)

        async def stream(session):
            async with session.post(
                url, json={"input": 1, "stream": True}, headers=HEADERS
            ) as answer:
                first = await answer.content.readuntil(b"\n\n")
                started.release()
                return (first + await answer.read()).decode()

        async with aiohttp.ClientSession() as session:
            streams = [
                asyncio.create_task(stream(session)) for _ in range(CALLERS)
            ]
            for _ in range(CALLERS):
                await started.acquire()
            cluster.daemons[0].send_signal(signal.SIGTERM)
            texts = await asyncio.gather(*streams)
        code = await cluster.daemons[0].stop()
    for text in texts:
        assert text.count("event: token\n") == tokens
        assert text.count("event: done\n") == 1
    assert code == 0
