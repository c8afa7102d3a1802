"""Which attempts follow each other, over all orders of outcomes."""

import itertools

import pytest

from sycamoreshed.errors import kinds
from sycamoreshed.forwarding import attempts
from sycamoreshed.forwarding.tests import builders

# Attempts that a route allows; orders longer than that say nothing new.
MOST = 3


class _Forgetful(attempts.Attempts):
    """Attempts that forget what an answer left open: a fault put in."""

    def may_retry(self, failure):
        """Decide as if nothing could have run."""
        self._may_have_run = False
        return super().may_retry(failure)


async def _play(script, request, kind=attempts.Attempts):
    """Send a request to endpoints with a script."""
    client = builders.ScriptedClient(script)
    tries = kind(request=request, parts=builders.parts(client))
    return client, await tries.open(), tries


def _orders():
    outcomes = builders.OUTCOMES.values()
    return itertools.product(outcomes, repeat=MOST)


async def _runs_twice(kind):
    """Return the orders after which a request may have run twice."""
    found = []
    for script in _orders():
        client, _, _ = await _play(script, builders.request(), kind)
        runs = [each for _, each in client.sent if each.may_have_run]
        if len(runs) > 1:
            found.append([each for _, each in client.sent])
    return found


async def test_what_may_run_once_is_sent_once_after_any_outcome():
    """Endpoints refuse, fail, break off and answer in any order.

    Sent again after it may have run, a ballot is counted twice.
    """
    assert await _runs_twice(attempts.Attempts) == []


async def test_the_check_finds_a_fault_that_is_put_in():
    """The check itself would miss a doubled ballot if this passed."""
    assert await _runs_twice(_Forgetful)


@pytest.mark.parametrize("idempotent", [False, True])
async def test_told_not_run_is_true(idempotent):
    """A caller that is told "not run" sends its request again."""
    for script in _orders():
        client, result, tries = await _play(
            script, builders.request(idempotent=idempotent)
        )
        failure = result
        if isinstance(result, attempts.Ended):
            failure = result.failure
        if not isinstance(failure, kinds.Failure):
            continue
        may_have_run = any(each.may_have_run for _, each in client.sent)
        told_run = failure.sent or tries.may_have_run
        assert told_run or not may_have_run, client.sent


async def test_idempotent_requests_are_sent_until_attempts_are_spent():
    """Each endpoint fails; the route allows three."""
    for outcome in builders.OUTCOMES.values():
        client, _, _ = await _play(
            [outcome] * 9, builders.request(idempotent=True)
        )
        reached = [each for _, each in client.sent if each.reached]
        assert len(reached) <= 4
        if outcome.whole and outcome.status == 200:
            continue
        assert len({address for address, _ in client.sent}) > 1


async def test_an_endpoint_is_asked_once():
    """Whoever refused a request refuses it again a moment later."""
    for script in _orders():
        client, _, _ = await _play(script, builders.request(idempotent=True))
        addresses = [address for address, _ in client.sent]
        assert len(set(addresses)) == len(addresses)


@pytest.mark.parametrize(
    ("terms", "given_s"),
    [
        ({"streaming": True, "resumable": True}, [2.0, 4.0]),
        ({"idempotent": True}, [2.0, 4.0]),
        ({"streaming": True}, [4.0]),
        ({}, [4.0]),
    ],
)
async def test_a_silent_endpoint_is_not_waited_for_to_the_deadline(
    terms, given_s
):
    """An engine goes dark after it took a request, before its first event.

    Its caller would see nothing for the rest of the time it has, though
    another engine could answer; what may run once only has to wait.
    """
    request = builders.request(target_s=1.0, max_attempts=2, **terms)
    client, _, _ = await _play([builders.OUTCOMES["reset"]], request)
    assert client.given_s == given_s
