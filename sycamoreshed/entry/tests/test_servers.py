"""The graceful shutdown, step by step."""

import asyncio
import types

import pytest

from sycamoreshed.entry import servers


class Callers:
    """Requests in flight until a moment."""

    def __init__(self, *, until, deadline, clock):
        self._until = until
        self._clock = clock
        self.latest_deadline = deadline
        self.accepting = True

    async def wait_until_read(self):
        """Return at once: nothing waits to be read."""

    @property
    def in_flight(self):
        return int(self._clock() < self._until)


async def drain(monkeypatch, *, until, deadline, drain_s):
    """Run a drain on a clock of its own; return its time and callers."""
    now = [0.0]
    refused = []

    async def sleep(seconds):
        refused.append((now[0], callers.accepting))
        now[0] += seconds

    monkeypatch.setattr(servers.asyncio, "sleep", sleep)
    stopping = asyncio.Event()
    stopping.set()
    callers = Callers(until=until, deadline=deadline, clock=lambda: now[0])
    core = types.SimpleNamespace(
        stopping=stopping,
        settings=types.SimpleNamespace(grace_s=2.0, drain_s=drain_s),
        clock=lambda: now[0],
        part={"callers": callers}.get,
    )
    await servers.drain(core)
    return now[0], callers, refused


@pytest.mark.parametrize(
    "until, deadline, drain_s, ends",
    [
        (0.0, 0.0, 30.0, 2.0),
        (3.0, 5.0, 30.0, 3.0),
        # A request that is allowed more than the drain is.
        (20.0, 20.0, 1.0, 20.0),
        # One that does not end although it should.
        (999.0, 5.0, 30.0, 32.0),
        (999.0, 50.0, 30.0, 51.0),
    ],
)
async def test_drain_waits_for_what_is_in_flight(
    monkeypatch, until, deadline, drain_s, ends
):
    """An instance is stopped while requests run.

    Callers whose request has time left would see it cut off.
    """
    end, callers, refused = await drain(
        monkeypatch, until=until, deadline=deadline, drain_s=drain_s
    )
    assert end == pytest.approx(ends, abs=0.2)
    assert refused[0] == (0.0, True)
    assert not callers.accepting
    assert not any(accepting for _, accepting in refused[1:])
