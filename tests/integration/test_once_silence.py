"""A store that is briefly unresponsive, or whose write answers are lost."""

import asyncio

import pytest

from testkit import ballots
from tests.integration import test_once

EVERYTHING = ("table", *ballots.BALLOTS)
OUTAGE_S = 1.0


@pytest.mark.parametrize(
    ("names", "lookup", "expected"),
    [
        (("table",), False, "complete"),
        (ballots.BALLOTS, True, "complete"),
        (ballots.BALLOTS, False, "outcome-unknown"),
        (EVERYTHING, True, "complete"),
        (EVERYTHING, False, "outcome-unknown"),
    ],
)
async def test_ballot_cast_into_a_short_silence_runs(names, lookup, expected):
    """A vote must not be rejected for long if the store applies writes.

    The store and the endpoints are unresponsive for a moment; then they
    act, but the answers of one or both to writes and calls are lost.  Reads
    are answered and show what was written.
    """
    async with ballots.cluster(lookup=lookup) as cluster:
        await test_once.lose_answers(cluster, names, 1.0)
        async with ballots.stand_ins_stopped(cluster, OUTAGE_S):
            call = asyncio.create_task(ballots.cast(cluster, 0, "k"))
        await ballots.until(ballots.log, cluster, "k")
        first = await call
        runs = await ballots.log(cluster, "k")
    assert first.outcome == expected
    assert len(runs) == 1


async def test_store_whose_answers_are_all_lost_is_found_again():
    """A breaker must close for a store that applies writes.

    After the store was unresponsive for long, all its answers to writes
    are lost; with the breaker open, ballots would be rejected until
    somebody repaired the return path.
    """
    async with ballots.cluster(lookup=False) as cluster:
        cluster.proxies["table"].freeze = True
        await ballots.open_breakers(cluster)
        await test_once.lose_answers(cluster, ("table",), 1.0)
        cluster.proxies["table"].freeze = False
        first = await ballots.until_complete(cluster, 0, "k")
        again = await ballots.until_complete(cluster, 1, "k")
        runs = await ballots.log(cluster, "k")
    assert first == again
    assert len(runs) == 1
