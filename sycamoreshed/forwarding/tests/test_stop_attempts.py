"""Attempts at requests of an instance that stops."""

import types

import pytest

from sycamoreshed.errors import kinds
from sycamoreshed.forwarding import attempts
from sycamoreshed.forwarding import forwarder
from sycamoreshed.forwarding.tests import builders

# Ends before the deadline of the builders' request, and too soon for a route
# of which nothing is known.
ENDS_AT = 2.0
TARGET_S = 1.0


class _Stop:
    """Sends requests; the instance begins to stop at the first one."""

    def __init__(self, *, outcomes):
        self._sender = builders.ScriptedSender(outcomes)
        self.parts = builders.parts(self)

    @property
    def sent_count(self):
        """Number of requests that were sent."""
        return len(self._sender.sent)

    async def send(self, *args, **options):
        """Send a request while the instance stops."""
        self.parts.stop_deadline.set(ENDS_AT)
        return await self._sender.send(*args, **options)


async def open_in_stop(name, **route):
    """Return the result of a request, and how often it was sent."""
    stop = _Stop(outcomes=[builders.OUTCOMES[name]])
    request = builders.request(target_s=TARGET_S, **route)
    tries = attempts.Attempts(request=request, parts=stop.parts)
    return await tries.open(), stop.sent_count


@pytest.mark.parametrize("name", ["reset", "failed", "cut"])
async def test_repeat_is_not_begun_if_it_would_not_end(name):
    """An idempotent request was sent once more and cut off."""
    _, sent_count = await open_in_stop(name, idempotent=True)
    assert sent_count == 1


async def test_request_that_was_not_sent_is_told_so_in_a_stop():
    """Another instance could have served it, and was not asked."""
    result, sent_count = await open_in_stop("no connection")
    assert sent_count == 1
    assert isinstance(result, kinds.Failure)
    assert not result.sent


async def test_repeat_that_ends_in_time_is_begun_in_a_stop():
    """Requests failed that another endpoint would have served."""
    stop = _Stop(outcomes=[builders.OUTCOMES["full"]])
    request = builders.request(target_s=0.1)
    tries = attempts.Attempts(request=request, parts=stop.parts)
    result = await tries.open()
    assert stop.sent_count == 2
    assert result.failure is None


async def test_first_attempt_that_would_not_end_is_not_sent():
    """A request that waited for long was passed on and cut off."""
    sender = builders.ScriptedSender([])
    parts = builders.parts(sender)
    parts.stop_deadline.set(ENDS_AT)
    request = builders.request(target_s=TARGET_S)
    result = await attempts.Attempts(request=request, parts=parts).open()
    assert result.kind is kinds.Kind.DRAINING
    assert not result.sent
    assert sender.sent == []


async def test_attempt_is_not_given_up_for_one_that_would_not_end():
    """An answer that would have come in time was given up in a stop."""
    sender = builders.ScriptedSender([])
    parts = builders.parts(sender)
    request = builders.request(target_s=0.9, idempotent=True)
    await attempts.Attempts(request=request, parts=parts).open()
    assert sender.timeouts_s == [pytest.approx(1.8)]
    (extend,) = sender.extensions
    assert extend() == 0.0
    # The stop may begin while the attempt is under way.
    parts.stop_deadline.set(3.0)
    assert extend() == request.deadline


async def test_attempt_is_given_up_for_one_that_is_known_to_be_short():
    """A request waited for a stalled endpoint until the end of the stop."""
    sender = builders.ScriptedSender([])
    parts = builders.parts(sender)
    for number in range(20):
        request = builders.request(target_s=0.9, idempotent=True)
        request = request._replace(id=builders.ID, started_at=float(number))
        measurement = parts.stop_deadline.measure(request)
        measurement.begin_attempt(float(number))
        measurement.end(number + 0.05, is_whole=True)
    await attempts.Attempts(request=request, parts=parts).open()
    parts.stop_deadline.set(3.0)
    (extend,) = sender.extensions
    assert extend() == 0.0


async def test_request_that_may_have_run_is_not_told_that_it_has_not():
    """A first attempt was reset, and the second one answered "not run"."""
    outcomes = [builders.OUTCOMES["reset"], builders.OUTCOMES["full"]]

    class Stop(_Stop):
        async def send(self, *args, **options):
            """Send a request; the stop begins at the second attempt."""
            if self.sent_count:
                return await super().send(*args, **options)
            return await self._sender.send(*args, **options)

    stop = Stop(outcomes=outcomes)
    request = builders.request(target_s=TARGET_S, idempotent=True)
    stages = types.SimpleNamespace(
        free=lambda _handles: None, zone_bytes=lambda *_: {}
    )
    forwarding = forwarder.Forwarder(parts=stop.parts, stages=stages)
    outcome = await forwarding.forward(request, None)
    assert stop.sent_count == 2
    assert outcome.failure.sent
