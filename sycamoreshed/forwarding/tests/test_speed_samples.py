"""Tests of what forwarding shows of the speed of endpoints."""

import asyncio

import pytest

from sycamoreshed.forwarding import attempts
from sycamoreshed.forwarding import exchanges
from sycamoreshed.forwarding import streams
from sycamoreshed.forwarding.tests import builders
from sycamoreshed.forwarding.tests import paced
from testkit import virtualtime


def played(*, first_s, interval_s, slow_callers_of="", count=120):
    """Play streams of engines, one after the other; return their slowness.

    Callers of one engine may take 50 ms for each event.
    """

    async def play():
        sender = paced.Sender(first_s=first_s, interval_s=interval_s)
        parts = paced.parts(sender)
        for _ in range(count):
            now = parts.clock()
            request = builders.request(streaming=True, resumable=True)
            request = request._replace(started_at=now, deadline=now + 60.0)
            tries = attempts.Attempts(request=request, parts=parts)
            opened = await tries.open()
            assert isinstance(opened, exchanges.Opened)
            is_slow = opened.endpoint.id == slow_callers_of
            sink = paced.Sink(reading_s=0.05 if is_slow else 0.0)
            end = await streams.forward_stream(
                opened, tries, request, sink, parts
            )
            assert end.events == paced.EVENTS
        now = asyncio.get_running_loop().time()
        return [
            parts.engine_speeds.slowness(each, now)
            for each in parts.catalog.endpoints(builders.SERVICE, now)
        ]

    return virtualtime.run(play())


def test_calls_show_the_speed_of_plain_endpoints():
    """Load: calls of 20 ms and 60 ms, one after the other."""

    async def play():
        sender = paced.CallSender(call_s={"e0": 0.02, "e1": 0.06})
        clock = asyncio.get_running_loop().time
        parts = builders.parts(sender, endpoints=2)._replace(clock=clock)
        for _ in range(100):
            request = builders.request()._replace(deadline=clock() + 9.0)
            tries = attempts.Attempts(request=request, parts=parts)
            assert isinstance(await tries.open(), exchanges.Answered)
        return [
            parts.engine_speeds.slowness(each, clock())
            for each in parts.catalog.endpoints(builders.SERVICE, clock())
        ]

    fast, slow = virtualtime.run(play())
    assert slow / fast == pytest.approx(3, rel=0.2)


def test_streams_show_the_speed_of_engines():
    """Load: streams of 10 events, from engines at half and twice the time."""
    fast, slow = played(
        first_s={"e0": 0.1, "e1": 0.1}, interval_s={"e0": 0.01, "e1": 0.04}
    )
    assert slow / fast == pytest.approx(4, rel=0.2)


def test_the_way_to_an_engine_is_not_slowness():
    """Guards against distance that looks like slowness: 20 ms one way."""
    found = played(
        first_s={"e0": 0.1, "e1": 0.14}, interval_s={"e0": 0.01, "e1": 0.01}
    )
    assert found == [1.0, 1.0]


def test_a_slow_caller_does_not_make_its_engine_slow():
    """Guards against the back pressure of a caller that reads slowly."""
    found = played(
        first_s={"e0": 0.1, "e1": 0.1},
        interval_s={"e0": 0.01, "e1": 0.01},
        slow_callers_of="e0",
    )
    assert found == [1.0, 1.0]
