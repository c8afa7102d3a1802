"""Requests through all stages, with real processes."""

import asyncio
import re
import signal

from testkit import processes


async def test_summary_runs_all_stages():
    async with processes.cluster() as cluster:
        status, headers, body = await cluster.call(
            0, "summary", {"input": "dossier"}
        )
    assert status == 200
    assert headers["Outcome"] == "complete"
    assert body["stages"] == ["encode", "retrieve", "rerank", "generate"]
    assert body["output"].split()[0] == f"{body['request'][:6]}-0"
    assert len(body["output"].split()) == 16


async def test_bytes_to_other_regions_are_counted_by_stage():
    """Bytes to other regions are counted by stage.

    Traffic between regions is billed by volume.
    """
    specs = processes.endpoint_specs(1)
    for spec in specs:
        if spec["name"] in ("encoder-1", "language-1"):
            spec["zone"] = "south-a"
    text_input = "x" * 5000
    async with processes.cluster(specs=specs) as cluster:
        status, _, _ = await cluster.call(0, "summary", {"input": text_input})
        url = f"http://{cluster.daemons[0].public}/metrics"
        async with cluster.session.get(url) as answer:
            text = await answer.text()
        lines = cluster.daemons[0].lines
    pattern = r'cross_region_bytes_total\{.*stage="(\w+)"\} (\S+)'
    moved = {name: float(size) for name, size in re.findall(pattern, text)}
    assert status == 200
    assert set(moved) == {"encode", "generate"}
    # The encoder receives the input and returns it wrapped; the engine
    # receives one prompt and returns 16 lines.
    assert 10000 < moved["encode"] < 12000
    assert 5000 + 16 * 100 < moved["generate"] < 12000
    routed = [line for line in lines if line.get("decision") == "route"]
    assert [line["stage"] for line in routed] == [
        "encode",
        "retrieve",
        "rerank",
        "generate",
    ]
    for line in routed:
        assert line["team"] == "gaucho"
        assert line["candidates"] and line["choice"] and line["why"]


# Faults by endpoint: shares of calls, and delays in seconds.
MIXED_UP = {
    "encoder-1": {"swap": 0.3, "other_attempt": 0.1, "jitter_s": 0.02},
    "reranker-2": {"swap": 0.2, "lose": 0.1, "jitter_s": 0.02},
    "catalogue-1": {"swap": 0.3, "other_attempt": 0.1, "jitter_s": 0.02},
    "catalogue-2": {"fail": 0.1, "jitter_s": 0.05},
    "language-1": {"repeat": 0.3, "stray": 0.3, "skip": 0.1, "garble": 0.1},
    "language-2": {"break_": 0.1, "wrong_finish": 0.1, "jitter_s": 0.02},
}


async def test_each_caller_gets_its_own_answer():
    """Endpoints delay, repeat, reorder and swap their answers.

    Unchecked, a member would receive another caller's summary, or one with
    words missing.
    """
    request_count = 200
    async with processes.cluster(daemons=3) as cluster:
        for name, spec in MIXED_UP.items():
            await cluster.faults(name, **spec)
        calls = [
            cluster.call(number % 3, pipeline, {"input": number})
            for number in range(request_count)
            for pipeline in ("catalogue", "summary")
        ]
        answers = await asyncio.gather(*calls)
    complete = {"catalogue": 0, "summary": 0}
    for index, (status, headers, body) in enumerate(answers):
        assert headers["Outcome"] == body["outcome"]
        if status != 200:
            assert body["outcome"] in ("failed", "not-run", "late", "shed")
            continue
        pipeline = ("catalogue", "summary")[index % 2]
        complete[pipeline] += 1
        if pipeline == "catalogue":
            assert body["output"]["of"] == index // 2
        else:
            prefix = body["request"][:6]
            words = [f"{prefix}-{offset} " for offset in range(16)]
            assert body["output"] == "".join(words)
    assert min(complete.values()) > request_count // 2


async def test_ballot_runs_once_and_repeats_its_answer():
    async with processes.cluster(daemons=2) as cluster:
        first = await cluster.call(
            0, "ballot", {"input": "film 7"}, Idempotency_Key="k1"
        )
        second = await cluster.call(
            1, "ballot", {"input": "film 7"}, Idempotency_Key="k1"
        )
        other = await cluster.call(
            1, "ballot", {"input": "film 8"}, Idempotency_Key="k1"
        )
        missing = await cluster.call(0, "ballot", {"input": "film 7"})
        runs = [
            (await cluster.get(name, "/runs")).get("gaucho/k1", 0)
            for name in ("ballot-1", "ballot-2")
        ]
    assert first[0] == 200
    assert second[2] == first[2]
    assert other[0] == 422
    assert missing[0] == 400
    assert sum(runs) == 1


async def test_stop_under_load_cuts_nothing_off():
    """An instance is stopped while requests are in flight.

    If it did not complete them, their connections would close.
    """
    async with processes.cluster() as cluster:
        calls = [
            asyncio.create_task(cluster.call(0, "summary", {"input": n}))
            for n in range(40)
        ]
        await asyncio.sleep(0.05)
        cluster.daemons[0].send_signal(signal.SIGTERM)
        answers = await asyncio.gather(*calls)
        code = await cluster.daemons[0].stop()
    assert [status for status, _, _ in answers] == [200] * 40
    assert code == 0


async def test_stop_serves_what_arrived_during_a_pause():
    """Requests that arrive before SIGTERM are not rejected as "draining"."""
    async with processes.cluster() as cluster:
        daemon = cluster.daemons[0]
        daemon.send_signal(signal.SIGSTOP)
        calls = [
            asyncio.create_task(cluster.call(0, "summary", {"input": n}))
            for n in range(100)
        ]
        await asyncio.sleep(0.2)
        daemon.send_signal(signal.SIGTERM)
        daemon.send_signal(signal.SIGCONT)
        answers = await asyncio.gather(*calls)
        code = await daemon.stop()
    assert [status for status, _, _ in answers] == [200] * 100
    assert code == 0


async def test_cut_off_instance_still_serves_reads():
    """A daemon is cut off from the platform; reads need only endpoints."""
    platform = ("table", "objects", "instances")
    async with processes.cluster(daemons=2, proxied=True) as cluster:
        cluster.cut([1], platform)
        read, _, _ = await cluster.call(1, "catalogue", {"input": 1})
        _, refusal, ballot = await cluster.call(
            1, "ballot", {"input": 1}, Idempotency_Key="k"
        )
        cluster.cut([], platform)
        # The daemon retries the store only at intervals, so the caller
        # retries after the time it was given.
        async with asyncio.timeout(30):
            again = 503
            while again == 503:
                await asyncio.sleep(float(refusal["Retry-After"]))
                again, refusal, _ = await cluster.call(
                    1, "ballot", {"input": 1}, Idempotency_Key="k"
                )
    assert read == 200
    assert ballot["outcome"] == "not-run"
    assert again == 200
