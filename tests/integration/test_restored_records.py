"""Votes and release notes as the store comes back from an older copy."""

import asyncio
import os
import time
import uuid

import pytest

from sycamoreshed.idempotency import losses
from testkit import ballots
from testkit import builders


def dated_key():
    """Return a UUID of version 7 that is made now."""
    ms = int(time.time() * 1000)
    rest = int.from_bytes(os.urandom(10)) & ((1 << 80) - 1)
    number = ms << 80 | rest
    number = number & ~(0xF << 76) | 7 << 76
    number = number & ~(0b11 << 62) | 0b10 << 62
    return str(uuid.UUID(int=number))


async def cast_after_the_copy(cluster, index, key):
    """Cast a ballot that the store's copy lacks; return the answer."""
    await cluster.post("table", "/backup")
    first = await ballots.until_complete(cluster, index, key)
    assert await ballots.until(ballots.state_of, cluster, key) == "done"
    return first


async def until_told(cluster, index, key, **more):
    """Cast until the answer is neither "not run" nor a lost connection."""

    async def attempt():
        told = await ballots.cast(cluster, index, key, **more)
        return told if told.outcome not in (None, "not-run", "shed") else None

    return await ballots.until(attempt)


@pytest.mark.parametrize("index", [0, 1])
async def test_vote_whose_record_is_lost_counts_once(index):
    """A member repeats a vote; its record was lost with the store's copy.

    The instance that took the vote writes the record again, and the member
    gets the first answer, through whichever instance.
    """
    key = dated_key()
    async with ballots.cluster(table_era=3) as cluster:
        first = await cast_after_the_copy(cluster, 0, key)
        await cluster.post("table", "/restore")
        early = await ballots.cast(cluster, index, key, repeat=True)
        again = await ballots.until_complete(cluster, index, key)
        runs = await ballots.log(cluster, key)
    assert early.outcome in ("complete", "outcome-unknown")
    assert again == first
    assert len(runs) == 1


@pytest.mark.parametrize("restarts", [False, True])
async def test_vote_whose_instance_is_gone_too_is_told_unknown(restarts):
    """Nobody can write the record again, and the vote must not run again.

    Nor may an instance that starts later take the key for a new one.
    """
    key = dated_key()
    async with ballots.cluster(table_era=3, lookup=False) as cluster:
        await cast_after_the_copy(cluster, 0, key)
        await cluster.daemons[0].kill()
        await cluster.post("table", "/restore")
        if restarts:
            await ballots.until(ballots.state_of_era, cluster)
            await cluster.daemons[0].start()
            await cluster.daemons[0].wait_ready()
        told = [
            await until_told(cluster, 0 if restarts else 1, key),
            await ballots.ask(cluster, 0 if restarts else 1, key),
        ]
        await asyncio.sleep(losses.REWRITE_S)
        told.append(await until_told(cluster, 1, key))
        runs = await ballots.log(cluster, key)
    assert {each.outcome for each in told} == {"outcome-unknown"}
    assert len(runs) == 1


async def test_new_votes_are_taken_once_records_are_written_again():
    """Otherwise members could not vote after the store came back."""
    async with ballots.cluster(table_era=3) as cluster:
        await cast_after_the_copy(cluster, 0, dated_key())
        await cluster.post("table", "/restore")
        key = dated_key()
        told = await until_told(cluster, 1, key, repeat=False)
        later = dated_key()
        later_told = await until_told(cluster, 0, later)
        runs = [await ballots.log(cluster, each) for each in (key, later)]
    assert told.outcome == later_told.outcome == "complete"
    assert [len(each) for each in runs] == [1, 1]


async def test_vote_under_way_as_the_store_comes_back_counts_once():
    """Its claim is lost before it ends; the answer is recorded all the same.

    Otherwise the next request with the key would be told "unknown", or run
    once more.
    """
    key = dated_key()
    async with ballots.cluster(table_era=3) as cluster:
        await cluster.post("table", "/backup")
        ballots.hold(cluster, ballots.BALLOTS, True)
        call = asyncio.create_task(ballots.cast(cluster, 0, key))
        await ballots.until(ballots.log, cluster, key)
        await cluster.post("table", "/restore")
        ballots.hold(cluster, ballots.BALLOTS, False)
        first = await call
        again = await ballots.until_complete(cluster, 1, key)
        runs = await ballots.log(cluster, key)
    assert first.outcome == "complete"
    assert again == first
    assert len(runs) == 1


async def test_accepted_note_stays_in_force_for_instances_that_start_later():
    """A note was accepted and lost; a restarted instance reverted it.

    The next note must not take the place of the lost one.
    """
    async with ballots.cluster(table_era=3) as cluster:
        await cluster.post("table", "/backup")
        lost = builders.note(2, added={"teams": {"lost": {"rate": 5}}})
        status, _ = await cluster.apply(0, lost)
        assert status == 200
        await cluster.post("table", "/restore")

        async def try_next():
            added = {"teams": {"next": {"rate": 5}}}
            status, body = await cluster.apply(
                1, builders.note(3, added=added)
            )
            return body if status == 200 else None

        accepted = await ballots.until(try_next)
        for daemon in cluster.daemons:
            await daemon.kill()
        await cluster.daemons[0].start()
        await cluster.daemons[0].wait_ready()
        url = f"http://{cluster.daemons[0].control}/control/status"
        async with cluster.session.get(url) as answer:
            status = await answer.json()
    assert accepted["version"] == 4
    assert status["version"] == 4
