"""Answers to retries whose record cannot be written or read."""

import asyncio

import pytest

from testkit import ballots
from tests.integration import test_once

EVERYTHING = ("table", *ballots.BALLOTS)
PROMISES = ("not-run", "shed")


async def outcomes_of(cluster, key, **options):
    """Retry and look up a key at each instance; return all outcomes."""
    outcomes = []
    for index in range(len(cluster.daemons)):
        again = await ballots.cast(cluster, index, key, ms=1500, **options)
        asked = await ballots.ask(cluster, index, key)
        outcomes += [again.outcome, asked.outcome]
    return outcomes


@pytest.mark.parametrize("lookup", [True, False])
async def test_key_that_ran_is_not_denied_while_answers_are_lost(lookup):
    """A retry of a vote that counted must not be answered "not run".

    The store and the endpoints act, but all their answers are lost.
    """
    async with ballots.cluster(lookup=lookup) as cluster:
        await test_once.lose_answers(cluster, EVERYTHING, 1.0)
        await ballots.cast(cluster, 0, "k")
        outcomes = await outcomes_of(cluster, "k")
        runs = await ballots.log(cluster, "k")
    assert len(runs) == 1
    assert not set(outcomes) & set(PROMISES)


@pytest.mark.parametrize("lookup", [True, False])
@pytest.mark.parametrize("repeat", [None, True])
async def test_key_that_ran_is_not_denied_by_a_silent_store(lookup, repeat):
    """A retry of a completed vote must not be answered "not run".

    Only the store is unresponsive; other ballots open the circuit breakers.
    """
    async with ballots.cluster(lookup=lookup) as cluster:
        first = await ballots.cast(cluster, 0, "k")
        cluster.proxies["table"].freeze = True
        await ballots.open_breakers(cluster)
        outcomes = await outcomes_of(cluster, "k", repeat=repeat)
        runs = await ballots.log(cluster, "k")
    assert first.outcome == "complete"
    assert len(runs) == 1
    assert not set(outcomes) & set(PROMISES)


async def test_new_key_is_told_as_not_run_by_a_silent_store():
    """A member whose vote certainly was not cast must be told so.

    Otherwise nobody could vote in another way while the store is
    unresponsive.  The endpoints support no lookup, so the caller's
    statement that the key is new decides.
    """
    async with ballots.cluster(lookup=False) as cluster:
        cluster.proxies["table"].freeze = True
        await ballots.open_breakers(cluster)
        new = await ballots.cast(cluster, 0, "new", repeat=False)
        undeclared = await ballots.cast(cluster, 0, "new-2")
        cluster.proxies["table"].freeze = False
        again = await ballots.until_complete(cluster, 0, "new")
        runs = await ballots.log(cluster)
    assert (new.status, new.outcome) == (503, "not-run")
    assert (undeclared.status, undeclared.outcome) == (503, "outcome-unknown")
    assert again.outcome == "complete"
    assert [run["key"] for run in runs] == ["gaucho/new"]


async def test_answer_that_is_not_recorded_yet_is_given_again():
    """A retry gets an answer that the store has not recorded yet.

    The instance still has the answer, while the store takes no writes.
    """
    async with ballots.cluster(lookup=False) as cluster:
        ballots.hold(cluster, ballots.BALLOTS, True)
        call = asyncio.create_task(ballots.cast(cluster, 0, "k"))
        await ballots.until(ballots.log, cluster, "k")
        cluster.proxies["table"].freeze = True
        ballots.hold(cluster, ballots.BALLOTS, False)
        first = await call
        await ballots.open_breakers(cluster)
        again = await ballots.cast(cluster, 0, "k")
        asked = await ballots.ask(cluster, 0, "k")
        other = await ballots.cast(cluster, 0, "k", body="another film")
    assert first.outcome == "complete"
    assert first == again == asked
    assert other.status == 422


async def test_refusals_for_load_deny_no_key_that_ran():
    """A retry of a vote that counted must not be rejected as "not run".

    Deadlines, limits and stops reject a request before its record is read;
    the test uses deadlines.
    """
    async with ballots.cluster(lookup=False) as cluster:
        await ballots.cast(cluster, 0, "k")
        late = [
            await ballots.cast(cluster, index, "k", ms=0.001)
            for index in (0, 1)
        ]
        sure = await ballots.cast(cluster, 1, "new", ms=0.001, repeat=False)
        denied = await ballots.cast(cluster, 0, "k", ms=0.001, repeat=False)
        declared = await ballots.cast(cluster, 1, "n", ms=0.001, repeat=True)
    assert {answer.outcome for answer in late} == {"outcome-unknown"}
    assert sure.outcome == "not-run"
    assert denied.outcome == "outcome-unknown"
    assert declared.outcome == "outcome-unknown"
