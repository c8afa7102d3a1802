"""Ballots under random faults, and the store's breaker under load."""

import asyncio

import pytest

from bench import chaos
from testkit import ballots


@pytest.mark.parametrize(
    ("seed", "lookup"), [(1, True), (2, False)], ids=["asked", "unasked"]
)
async def test_no_promise_is_broken_under_random_faults(seed, lookup):
    """Instances crash and pause, answers are lost, the store is unavailable.

    No vote may count twice, be answered "not run" although it counts, or
    get two different answers.
    """
    async with ballots.cluster(daemons=3, lookup=lookup) as cluster:
        summary = await chaos.run(cluster, seed=seed, count=100)
    print(summary)
    assert summary.violations == []
    for outcome in ("complete", "not-run", "outcome-unknown"):
        assert summary.outcomes[outcome] > 0
    assert summary.runs > 0


async def test_store_down_under_load():
    """Reads and summaries are served while the store is unavailable.

    Ballots are rejected at once as "not run" with a time to retry, instead
    of each running into a timeout that would delay everything else.
    """
    async with ballots.cluster(store_timeout_s=2) as cluster:
        before = await ballots.cast(cluster, 0, "before")
        cluster.proxies["table"].freeze = True
        answers = await asyncio.gather(
            *(ballots.cast(cluster, 0, f"a{n}") for n in range(10))
        )
        answers += await asyncio.gather(
            *(ballots.cast(cluster, 0, f"b{n}") for n in range(100))
        )
        reads = await asyncio.gather(
            *(cluster.call(0, "catalogue", {"input": n}) for n in range(50)),
            *(cluster.call(0, "summary", {"input": n}) for n in range(10)),
        )
        name = 'sycamoreshed_record_calls_total{result="%s"}'
        refused = await ballots.metric(cluster, 0, name % "refused")
        failed = await ballots.metric(cluster, 0, name % "failed")
        cluster.proxies["table"].freeze = False
        after = await ballots.until_complete(cluster, 0, "a0")
        again = await ballots.cast(cluster, 1, "before")
        runs = await ballots.log(cluster)
    assert {item.outcome for item in answers} == {"not-run"}
    assert {status for status, _, _ in reads} == {200}
    assert refused >= 100
    assert failed <= 30
    assert after.outcome == "complete"
    assert again == before
    assert sorted(run["key"] for run in runs) == [
        "gaucho/a0",
        "gaucho/before",
    ]
