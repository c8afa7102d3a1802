"""Order and duration of the graceful shutdown."""

import asyncio
import types

import pytest

from sycamoreshed.entry import servers
from sycamoreshed.pipeline import stops


class Callers:
    """Fake callers with a request in flight until `busy_until`."""

    def __init__(self, *, busy_until, deadline, clock):
        self._busy_until = busy_until
        self._clock = clock
        self.latest_deadline = deadline
        self.accepting = True
        self.is_reading = True

    def end_reading(self):
        """Reject the requests that are still arriving."""
        assert not self.accepting
        self.is_reading = False

    async def wait_until_read(self):
        """Return at once: no request is waiting to be read."""

    @property
    def in_flight(self):
        return int(self._clock() < self._busy_until)


async def drain(monkeypatch, *, busy_until, deadline, drain_s, stop_s=None):
    """Run a drain on a fake clock.

    Return the time of its end, the callers, and for each sleep its time
    and whether requests were accepted.
    """
    now = [0.0]
    sleeps = []

    async def sleep(seconds):
        sleeps.append((now[0], callers.accepting))
        now[0] += seconds

    monkeypatch.setattr(servers.asyncio, "sleep", sleep)
    stopping = asyncio.Event()
    stopping.set()
    callers = Callers(
        busy_until=busy_until, deadline=deadline, clock=lambda: now[0]
    )
    parts = {
        "callers": callers,
        "servers": (),
        "stop_limit": stops.StopLimit(clock=lambda: now[0]),
    }
    core = types.SimpleNamespace(
        stopping=stopping,
        settings=types.SimpleNamespace(
            grace_s=2.0, drain_s=drain_s, stop_s=stop_s
        ),
        clock=lambda: now[0],
        part=parts.get,
    )
    await servers.drain(core)
    return now[0], callers, sleeps


@pytest.mark.parametrize(
    "busy_until, deadline, drain_s, ends",
    [
        (0.0, 0.0, 30.0, 2.0),
        (3.0, 5.0, 30.0, 3.0),
        # A request with a deadline beyond the end of the drain time.
        (20.0, 20.0, 1.0, 20.0),
        # A request that does not end by its deadline.
        (999.0, 5.0, 30.0, 32.0),
        (999.0, 50.0, 30.0, 51.0),
    ],
)
async def test_drain_waits_for_requests_in_flight(
    monkeypatch, busy_until, deadline, drain_s, ends
):
    """An instance is stopped while requests are in flight.

    Requests must not be aborted before their deadline.
    """
    end, callers, sleeps = await drain(
        monkeypatch, busy_until=busy_until, deadline=deadline, drain_s=drain_s
    )
    assert end == pytest.approx(ends, abs=0.2)
    assert sleeps[0] == (0.0, True)
    assert not callers.accepting
    assert not callers.is_reading
    assert not any(accepting for _, accepting in sleeps[1:])


async def test_drain_ends_before_the_process_is_killed(monkeypatch):
    """A request whose deadline is later was cut off by the kill."""
    end, callers, _ = await drain(
        monkeypatch, busy_until=999.0, deadline=50.0, drain_s=30.0, stop_s=20.0
    )
    assert end == pytest.approx(20.0 - servers.STOP_MARGIN_S, abs=0.2)
    assert not callers.is_reading
