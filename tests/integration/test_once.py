"""Requests that must run at most once, with real processes and faults."""

import asyncio
import json
import signal

import pytest

from testkit import ballots

CALL = ["/call"]
WRITE = ["/transact"]


async def lose_answers(cluster, names, share):
    for name in names:
        path = WRITE if name == "table" else CALL
        await cluster.faults(name, lose=share, paths=path)


async def test_killed_before_the_record():
    """An instance is killed before its record reaches the store.

    The member gets no answer and retries, and the vote counts once.
    """
    async with ballots.cluster() as cluster:
        await cluster.faults("table", delay_s=60, paths=WRITE)
        first = asyncio.create_task(ballots.cast(cluster, 0, "k"))
        await asyncio.sleep(0.2)
        await cluster.daemons[0].kill()
        await cluster.faults("table")
        again = await ballots.until_complete(cluster, 1, "k")
        runs = await ballots.log(cluster, "k")
    assert (await first).status is None
    assert [run["request"] for run in runs] == [
        json.loads(again.raw)["request"]
    ]


async def test_killed_after_the_record():
    """An instance is killed after its record was written, before sending.

    No other instance can tell that it did not send, so the member is told
    "unknown" and never "not run", and the vote does not count.
    """
    async with ballots.cluster(store_timeout_s=20) as cluster:
        ballots.hold(cluster, ["table"], True)
        first = asyncio.create_task(ballots.cast(cluster, 0, "k"))
        await ballots.until(ballots.state_of, cluster, "k")
        await cluster.daemons[0].kill()
        ballots.hold(cluster, ["table"], False)
        again = await ballots.cast(cluster, 1, "k", ms=1000)
        asked = await ballots.ask(cluster, 1, "k")
        runs = await ballots.log(cluster, "k")
    assert (await first).status is None
    assert again.outcome == asked.outcome == "outcome-unknown"
    assert runs == []


@pytest.mark.parametrize("lookup", [True, False])
async def test_killed_after_sending(lookup):
    """An instance is killed after the vote counted, before its answer.

    Where the endpoint supports lookup by key, the member gets the answer
    through another instance; otherwise "unknown".  The vote counts once.
    """
    async with ballots.cluster(lookup=lookup) as cluster:
        ballots.hold(cluster, ballots.BALLOTS, True)
        first = asyncio.create_task(ballots.cast(cluster, 0, "k"))
        runs = await ballots.until(ballots.log, cluster, "k")
        await cluster.daemons[0].kill()
        ballots.hold(cluster, ballots.BALLOTS, False)
        again = await ballots.cast(cluster, 1, "k", ms=1500)
        asked = await ballots.ask(cluster, 1, "k")
        later = await ballots.log(cluster, "k")
    assert (await first).status is None
    assert len(later) == 1
    if not lookup:
        assert again.outcome == asked.outcome == "outcome-unknown"
        return
    assert again.outcome == "complete"
    assert json.loads(again.raw)["request"] == runs[0]["request"]
    assert asked == again


async def test_killed_after_the_answer_and_before_it_was_recorded():
    """An instance answers, but is killed before it recorded the answer.

    The store fails after the vote counted.  Another instance must later
    give the same answer, byte for byte.
    """
    async with ballots.cluster() as cluster:
        ballots.hold(cluster, ballots.BALLOTS, True)
        call = asyncio.create_task(ballots.cast(cluster, 0, "k"))
        await ballots.until(ballots.log, cluster, "k")
        cluster.proxies["table"].refuse = True
        ballots.hold(cluster, ballots.BALLOTS, False)
        first = await call
        await cluster.daemons[0].kill()
        cluster.proxies["table"].refuse = False
        state = await ballots.state_of(cluster, "k")
        again = await ballots.until_complete(cluster, 1, "k")
        after = await ballots.state_of(cluster, "k")
        runs = await ballots.log(cluster, "k")
    assert first.outcome == "complete"
    assert (state, after) == ("begun", "done")
    assert again == first
    assert len(runs) == 1


async def test_paused_between_record_and_sending():
    """An instance is paused for longer than any timeout, then continues.

    Meanwhile another instance tells the member "unknown".  The paused one
    finds its deadline passed, sends nothing and answers "not run"; after
    that the vote can be cast with the same key.
    """
    async with ballots.cluster() as cluster:
        ballots.hold(cluster, ["table"], True)
        first = asyncio.create_task(ballots.cast(cluster, 0, "k", ms=700))
        await ballots.until(ballots.state_of, cluster, "k")
        cluster.daemons[0].send_signal(signal.SIGSTOP)
        ballots.hold(cluster, ["table"], False)
        during = await ballots.cast(cluster, 1, "k", ms=1500)
        asked = await ballots.ask(cluster, 1, "k")
        none = await ballots.log(cluster, "k")
        # A lower bound; every timeout has passed by then.
        await asyncio.sleep(1.0)
        cluster.daemons[0].send_signal(signal.SIGCONT)
        paused = await first
        again = await ballots.until_complete(cluster, 1, "k")
        runs = await ballots.log(cluster, "k")
    assert during.outcome == asked.outcome == "outcome-unknown"
    assert none == []
    assert paused.outcome == "not-run"
    assert len(runs) == 1
    assert runs[0]["request"] == json.loads(again.raw)["request"]
    assert runs[0]["request"] != json.loads(paused.raw)["request"]


@pytest.mark.parametrize(
    ("names", "lookup", "expected"),
    [
        (("table",), False, "complete"),
        (ballots.BALLOTS, True, "complete"),
        (ballots.BALLOTS, False, "outcome-unknown"),
        (("table", *ballots.BALLOTS), True, "complete"),
        (("table", *ballots.BALLOTS), False, "outcome-unknown"),
    ],
)
async def test_answers_lost_after_taking_effect(names, lookup, expected):
    """The store, the endpoint or both act, but their answer is lost.

    The vote counts once, and the member gets a true answer, then and
    later.
    """
    async with ballots.cluster(lookup=lookup) as cluster:
        await lose_answers(cluster, names, 1.0)
        # While the store is unresponsive for long, ballots are rejected
        # unsent.
        call = asyncio.create_task(ballots.cast_until_sent(cluster, 0, "k"))
        await ballots.until(ballots.log, cluster, "k")
        await lose_answers(cluster, ("table",), 0.0)
        first = await call
        await lose_answers(cluster, names, 0.0)
        again = await ballots.cast(cluster, 1, "k", ms=1500)
        asked = await ballots.ask(cluster, 1, "k")
        runs = await ballots.log(cluster, "k")
    assert first.outcome == again.outcome == asked.outcome == expected
    if expected == "complete":
        assert first == again == asked
    assert len(runs) == 1


async def test_record_arrives_after_its_request_was_given_up():
    """The store applies writes only after their sender abandoned them.

    The member is told "not run".  A fence, a write that changes the row's
    version, keeps the late record from taking effect.  Without it that
    record would block the key permanently; with it the next request runs.
    """
    async with ballots.cluster() as cluster:
        await cluster.faults("table", late=1.0, late_s=3.0, paths=WRITE)
        first = await ballots.cast(cluster, 0, "k", ms=1500)
        await ballots.until(ballots.state_of, cluster, "k")
        await cluster.faults("table")
        again = await ballots.until_complete(cluster, 1, "k")
        runs = await ballots.log(cluster, "k")
    assert first.outcome == "not-run"
    assert [run["request"] for run in runs] == [
        json.loads(again.raw)["request"]
    ]


async def test_call_takes_effect_after_its_caller_gave_up():
    """The endpoint counts the vote late, after its connection broke.

    A lookup before that returns "never"; the member must not be told
    "not run" then.
    """
    async with ballots.cluster() as cluster:
        for name in ballots.BALLOTS:
            await cluster.faults(name, late=1.0, late_s=2.0, paths=CALL)
        first = await ballots.cast(cluster, 0, "k", ms=1500)
        again = await ballots.cast(cluster, 1, "k")
        runs = await ballots.log(cluster, "k")
    assert first.outcome == "outcome-unknown"
    assert again.outcome == "complete"
    assert len(runs) == 1


async def test_same_key_through_five_instances_at_once():
    """A member's browser sends the same vote several times at once.

    All get the first answer, byte for byte, and the vote counts once.
    """
    async with ballots.cluster(daemons=5) as cluster:
        calls = [ballots.cast(cluster, n % 5, "k") for n in range(15)]
        answers = await asyncio.gather(*calls)
        later = await ballots.cast(cluster, 3, "k")
        asked = await ballots.ask(cluster, 4, "k")
        runs = await ballots.log(cluster, "k")
    assert {*answers, later, asked} == {answers[0]}
    assert answers[0].outcome == "complete"
    assert len(runs) == 1


async def test_stage_after_the_ballot_fails():
    """The vote counts, then the engine of the next stage fails.

    The answer reports that the ballot's stage ran, with its output, and
    stays the same later, also once the engine works again.
    """
    async with ballots.cluster() as cluster:
        for name in ("language-1", "language-2"):
            await cluster.faults(name, fail=1.0, paths=["/generate"])
        first = await ballots.cast(cluster, 0, "k", pipeline="middle")
        for name in ("language-1", "language-2"):
            await cluster.faults(name)
        again = await ballots.cast(cluster, 1, "k", pipeline="middle")
        asked = await ballots.ask(cluster, 1, "k", pipeline="middle")
        new_key = await ballots.cast(cluster, 1, "k2", pipeline="middle")
        other = await ballots.cast(cluster, 1, "k")
        runs = await ballots.log(cluster)
    assert first.outcome == "failed"
    ran = json.loads(first.raw)["ran"]
    assert ran == {
        "stage": "cast",
        "output": {"recorded": "gaucho/k", "run": 1},
    }
    assert first == again == asked
    assert new_key.outcome == "complete"
    assert other.status == 422
    assert sorted(run["key"] for run in runs) == ["gaucho/k", "gaucho/k2"]


async def test_stage_before_the_ballot_fails():
    """The encoder fails before the vote: nothing is recorded or counted."""
    async with ballots.cluster() as cluster:
        for name in ("encoder-1", "encoder-2"):
            await cluster.faults(name, fail=1.0, paths=CALL)
        first = await ballots.cast(cluster, 0, "k", pipeline="middle")
        state = await ballots.state_of(cluster, "k")
        for name in ("encoder-1", "encoder-2"):
            await cluster.faults(name)
        again = await ballots.cast(cluster, 1, "k", pipeline="middle")
        runs = await ballots.log(cluster, "k")
    assert first.outcome == "not-run"
    assert state is None
    assert again.outcome == "complete"
    assert len(runs) == 1


async def test_caller_goes_away_during_the_call():
    """A member disconnects while the vote is being counted.

    The instance completes the call, so a retry gets the answer.
    """
    async with ballots.cluster() as cluster:
        ballots.hold(cluster, ballots.BALLOTS, True)
        call = asyncio.create_task(ballots.cast(cluster, 0, "k"))
        await ballots.until(ballots.log, cluster, "k")
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)
        ballots.hold(cluster, ballots.BALLOTS, False)
        again = await ballots.cast(cluster, 1, "k")
        runs = await ballots.log(cluster, "k")
    assert again.outcome == "complete"
    assert len(runs) == 1


async def test_teams_that_choose_the_same_key_share_nothing():
    """Two teams use the same idempotency key.

    If keys were not separate by team, one team would get the other's
    answer, and its own vote would be lost.
    """
    async with ballots.cluster(daemons=1) as cluster:
        for name in ballots.BALLOTS:
            await cluster.faults(name, lose=1.0, paths=CALL)
        answers = [
            await ballots.cast(cluster, 0, "1", team=team)
            for team in ("gaucho", "ilha")
        ]
        runs = await ballots.log(cluster)
    keys = [json.loads(item.raw)["output"]["recorded"] for item in answers]
    assert keys == ["gaucho/1", "ilha/1"]
    assert sorted(run["key"] for run in runs) == keys


async def test_keys_that_cannot_be_used_are_refused():
    async with ballots.cluster(daemons=1) as cluster:
        for key in ("a b", "x" * 201, "\u00e9"):
            answer = await ballots.cast(cluster, 0, key)
            assert (answer.status, answer.outcome) == (400, "not-run")
        # Its time is in 2023, so that its record would have been swept.
        old = "01890a5d-ac96-774b-bcce-b302099a8057"
        expired = await ballots.cast(cluster, 0, old)
        runs = await ballots.log(cluster)
        unknown = await ballots.ask(cluster, 0, "nobody")
        longest = await ballots.cast(cluster, 0, "/%?~" * 50)
        asked = await ballots.ask(cluster, 0, "/%?~" * 50)
    assert (expired.status, expired.outcome) == (410, "outcome-unknown")
    assert runs == []
    assert (unknown.status, unknown.outcome) == (404, "outcome-unknown")
    assert longest.outcome == "complete"
    assert asked == longest


async def test_stop_waits_for_an_answer_that_is_not_recorded_yet():
    """An instance is stopped just after the store was unavailable.

    The member has the answer already; if its record stayed open, a retry
    through another instance would always get "outcome unknown".
    """
    async with ballots.cluster(lookup=False) as cluster:
        ballots.hold(cluster, ballots.BALLOTS, True)
        call = asyncio.create_task(ballots.cast(cluster, 0, "k"))
        await ballots.until(ballots.log, cluster, "k")
        cluster.proxies["table"].refuse = True
        ballots.hold(cluster, ballots.BALLOTS, False)
        first = await call
        before = await ballots.state_of(cluster, "k")
        cluster.proxies["table"].refuse = False
        code = await cluster.daemons[0].stop()
        after = await ballots.state_of(cluster, "k")
        again = await ballots.until_complete(cluster, 1, "k")
    assert (first.outcome, before) == ("complete", "begun")
    assert (code, after) == (0, "done")
    assert again.raw == first.raw
