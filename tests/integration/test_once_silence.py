"""A store that falls silent for a moment, or takes writes unheard."""

import asyncio

import pytest

from testkit import ballots
from tests.integration import test_once

EVERYTHING = ("table", *ballots.BALLOTS)
STILL_S = 1.0


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
    """A vote must not be refused for long by a store that takes writes.

    All are silent for a moment; then the store and the endpoints act, and
    their answers are lost.  Reads are answered, and tell what was written.
    """
    async with ballots.cluster(lookup=lookup) as cluster:
        await test_once.lose_answers(cluster, names, 1.0)
        async with ballots.stand_ins_stopped(cluster, STILL_S):
            call = asyncio.create_task(ballots.cast(cluster, 0, "k"))
        await ballots.until(ballots.log, cluster, "k")
        first = await call
        runs = await ballots.log(cluster, "k")
    assert first.outcome == expected
    assert len(runs) == 1


async def test_store_whose_answers_are_all_lost_is_found_again():
    """A breaker must close again for a store that takes writes unheard.

    After a long silence, all its answers to writes are lost; ballots of
    that time would be refused until somebody mended the way back.
    """
    async with ballots.cluster(lookup=False) as cluster:
        cluster.proxies["table"].freeze = True
        await ballots.open_breakers(cluster)
        await test_once.lose_answers(cluster, ("table",), 1.0)
        cluster.proxies["table"].freeze = False
        told = await ballots.until_complete(cluster, 0, "k")
        again = await ballots.until_complete(cluster, 1, "k")
        runs = await ballots.log(cluster, "k")
    assert told == again
    assert len(runs) == 1
