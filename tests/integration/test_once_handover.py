"""A key passes from one request to the next while another reads it."""

import asyncio
import json

import pytest

from testkit import ballots

# Time in which an instance reads one row of an idle store.  If it were too
# short, a test here would read a row that is not outdated.
READ_S = 0.5
# A request whose record is not written by then sends nothing.
DEADLINE_MS = 700
WRITE = ["/transact"]


async def handed_over(cluster, look, *, writes_fail=False):
    """Pass a key from one request to another during a concurrent read.

    Instance 0 writes its record and gets the answer only after its
    deadline, so it sends nothing and releases the key.  Meanwhile `look`
    reads the record through instance 1, which receives the row only after
    instance 2 has claimed the key and its call has run; the answer of that
    call is still in transit.

    Returns
    -------
    tuple of Told
        Answers to the first request, the reader and the second request.
    """
    ballots.hold_from(cluster, ["table"], [0])
    first = asyncio.create_task(ballots.cast(cluster, 0, "k", ms=DEADLINE_MS))
    await ballots.until(ballots.state_of, cluster, "k")
    ballots.hold_from(cluster, ["table"], [0, 1])
    reading = asyncio.create_task(look(cluster))
    await asyncio.sleep(max(READ_S, DEADLINE_MS / 1000))
    ballots.hold_from(cluster, ["table"], [1])
    first = await first
    ballots.hold_from(cluster, ballots.BALLOTS, [2])
    second = asyncio.create_task(ballots.cast(cluster, 2, "k"))
    await ballots.until(ballots.log, cluster, "k")
    if writes_fail:
        await cluster.faults("table", fail=1.0, paths=WRITE)
    ballots.hold_from(cluster, ["table"], [])
    await asyncio.wait({reading}, timeout=READ_S)
    await cluster.faults("table")
    ballots.hold_from(cluster, ballots.BALLOTS, [])
    return first, await reading, await second


async def ask(cluster):
    return await ballots.ask(cluster, 1, "k")


async def repeat(cluster):
    return await ballots.cast(cluster, 1, "k")


@pytest.mark.parametrize("look", [ask, repeat])
async def test_an_answer_names_the_request_that_ran(look):
    """An outdated record must not be completed with another request's result.

    The first request with a key releases it unsent, and its caller is told
    "not run".  A second one claims the key and runs.  A third instance has
    read the record of the first, looks the key up at the endpoints and
    gets "ran", which is true of the second.  If it answers that the first
    request ran, a member holds two different answers for one vote, one of
    them for a request that was answered "not run".

    The write of that answer conflicts: it expects version 5 of the row,
    which is at version 7 by the second request ("complete", "conflict" in
    the log).  The answer must not be sent all the same.
    """
    async with ballots.cluster(daemons=3, store_timeout_s=20) as cluster:
        first, seen, second = await handed_over(cluster, look)
        again = await ballots.ask(cluster, 0, "k")
        runs = await ballots.log(cluster, "k")
    assert first.outcome == "not-run"
    assert second.outcome == "complete"
    assert [run["request"] for run in runs] == [
        json.loads(second.raw)["request"]
    ]
    assert again == second
    if look is repeat:
        assert seen == second
    else:
        assert seen == second or seen.outcome == "outcome-unknown"


async def test_an_answer_that_cannot_be_recorded_is_not_told():
    """The store takes no writes when a reader has an outdated record.

    The key has passed to a second request, as in the test above.  Only a
    write over the row that the reader read could show which request ran.
    Without it, the answer may name the request that did not run;
    "outcome unknown" is true, and the member asks again.
    """
    async with ballots.cluster(daemons=3, store_timeout_s=20) as cluster:
        first, seen, second = await handed_over(cluster, ask, writes_fail=True)
        again = await ballots.until_complete(cluster, 0, "k")
    assert first.outcome == "not-run"
    assert seen.outcome == "outcome-unknown"
    assert second.outcome == "complete"
    assert again == second
