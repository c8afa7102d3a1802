"""Load beyond the capacity of the engines, with real processes."""

import asyncio

from testkit import builders
from testkit import processes

# Two engines that together serve four summaries at a time, 0.2 s each.
SPECS = [
    *(
        {"kind": builders.SERVICES[name]["kind"], "name": f"{name}-1"}
        for name in ("encoder", "retriever", "reranker")
    ),
    *(
        {
            "kind": "engine",
            "name": f"language-{number}",
            "slots": 2,
            "tokens": 4,
            "token_s": 0.05,
        }
        for number in (1, 2)
    ),
]


def summaries(cluster, count, team, **headers):
    """Start summaries through the daemons in turn; return their tasks."""
    return [
        asyncio.create_task(
            cluster.call(
                number % len(cluster.daemons),
                "summary",
                {"input": f"{team} {number}"},
                Team=team,
                **headers,
            )
        )
        for number in range(count)
    ]


async def test_flood_of_one_team_does_not_crowd_out_another():
    """One team sends many requests at once, which fill all slots.

    In order of arrival, another team's few requests would wait for all of
    them.
    """
    async with processes.cluster(daemons=2, specs=SPECS) as cluster:
        long = {"Deadline_Ms": "120000"}
        warm = await asyncio.gather(*summaries(cluster, 8, "ilha", **long))
        flood = summaries(cluster, 84, "gaucho", **long)
        while not any(task.done() for task in flood):
            await asyncio.sleep(0.01)
        few = await asyncio.gather(*summaries(cluster, 8, "ilha", **long))
        finished = sum(task.done() for task in flood)
        for task in flood:
            task.cancel()
        await asyncio.gather(*flood, return_exceptions=True)
    assert [status for status, _, _ in warm + few] == [200] * 16
    assert finished < 50


async def test_full_attainment_returns_after_an_overload():
    """Ten times the requests that can be served in time arrive at once.

    Rejected requests must not have run, and rejections must end with the
    overload: measurements taken during it must not prolong them.
    """
    async with processes.cluster(daemons=2, specs=SPECS) as cluster:
        hasty = {"Deadline_Ms": "1500"}
        await asyncio.gather(*summaries(cluster, 4, "ilha"))
        before = await served(cluster)
        flood = await asyncio.gather(
            *summaries(cluster, 300, "gaucho", **hasty)
        )
        after = await served(cluster)
        outcomes = [body["outcome"] for _, _, body in flood]
        refused = [
            answer for answer in flood if answer[2]["outcome"] == "shed"
        ]
        assert outcomes.count("complete") > 0
        assert refused
        assert all("Retry-After" in headers for _, headers, _ in refused)
        # A stream may be retried on a second engine, so that each request
        # counts up to twice; rejected requests do not count.
        assert after - before <= 2 * (len(outcomes) - len(refused))
        async with asyncio.timeout(60):
            while not await all_complete(cluster, hasty):
                await asyncio.sleep(0.1)
        assert await all_complete(cluster, hasty)


async def all_complete(cluster, headers):
    """Send ten requests in sequence; return whether all succeeded."""
    for number in range(10):
        status, _, _ = await cluster.call(
            number % 2, "summary", {"input": number}, **headers
        )
        if status != 200:
            return False
    return True


async def served(cluster):
    """Return the number of streams that the engines served."""
    counts = [
        await cluster.get(name, "/counts")
        for name in ("language-1", "language-2")
    ]
    return sum(count.get("served", 0) for count in counts)


async def test_limit_of_a_team_holds_for_the_whole_system():
    """A team's limit applies to its requests at all instances together.

    If each instance applied it alone, the team could send three times as
    much.
    """
    async with processes.cluster(daemons=3, specs=SPECS) as cluster:
        limit = {"ilha": {"rate": 6.0, "burst": 6.0}}
        note = builders.note(1, changed={"teams": limit})
        status, _ = await cluster.apply(0, note)
        assert status == 200
        for daemon in cluster.daemons:
            await daemon.wait_ready()
        await wait_applied(cluster)
        answers = await asyncio.gather(
            *summaries(cluster, 90, "ilha", Deadline_Ms="60000")
        )
    over = [answer for answer in answers if answer[0] == 429]
    assert all(body["outcome"] == "not-run" for _, _, body in over)
    assert all("Retry-After" in headers for _, headers, _ in over)
    # Each of three admits its minimum burst, and what the rate allows while
    # ninety requests are sent.
    assert 6 <= 90 - len(over) <= 40


async def wait_applied(cluster):
    """Wait until all instances apply configuration version 2."""
    async with asyncio.timeout(60):
        while True:
            states = [await status_of(cluster, d) for d in cluster.daemons]
            if all(state["version"] == 2 for state in states):
                return
            await asyncio.sleep(0.05)


async def status_of(cluster, daemon):
    """Return a daemon's status."""
    url = f"http://{daemon.control}/control/status"
    async with cluster.session.get(url) as answer:
        return await answer.json()
