"""Endpoints that crash under parts of prompts, in simulated time."""

import asyncio
import itertools
import random
import typing

from sycamoreshed.catalog import types
from sycamoreshed.findings import blame
from sycamoreshed.findings import board
from sycamoreshed.findings import crashes
from testkit import journals

__all__ = ["Load", "World"]

CRASH_AFTER_S = 0.08
RESTART_S = (1.5, 4.0)
# Requests wait this long until an endpoint begins to run them.
MAX_WAIT_S = 0.4
RUN_S = (0.1, 1.5)
BEGIN_S = 0.5
ATTEMPTS = 3
# Until findings of an instance are known to all.
REPORT_DELAY_S = 0.1
CLEAR_INTERVAL_S = 0.6


class Load(typing.NamedTuple):
    """Requests that callers send.

    Parameters
    ----------
    bad : sequence of str
        Parts that crash endpoints, in turn.
    bad_per_s, sound_per_s : float
    middles : int
        Parts that stand behind the first one, one in each request.
    is_bad_first : bool
        Whether the bad part stands before all others.
    """

    bad: tuple = ()
    bad_per_s: float = 3.0
    sound_per_s: float = 20.0
    middles: int = 4
    is_bad_first: bool = False


class _Engine:
    def __init__(self, number):
        self.endpoint = types.Endpoint(f"e{number}", "s", "", "north-a", 4)
        self.in_flight = {}
        self.crashed = asyncio.Event()


class World:
    """Callers whose requests have parts in common, and endpoints.

    Parameters
    ----------
    engines : int
    seed : int
    load : Load
    crash_at : callable, optional
        Takes a random number generator; yields seconds to wait and how many
        endpoints crash then without a cause.

    Attributes
    ----------
    sent_at, crashed_at : dict of str to list of float
        By part, when an endpoint received or crashed under a bad request.
    rejected : dict of str to float
        When each key was first rejected.
    """

    def __init__(self, *, engines, seed, load, crash_at=None):
        self._rng = random.Random(seed)
        self._clock = asyncio.get_running_loop().time
        self._engines = [_Engine(number) for number in range(engines)]
        self._numbers = itertools.count(engines)
        self._load = load
        self._crash_at = crash_at
        self._tasks = set()
        self.records = crashes.CrashRecords(
            board=board.Board(), instance="i", journal=journals.Journal()
        )
        self.sent_at = {}
        self.crashed_at = {}
        self.rejected = {}

    async def run(self, seconds):
        """Send requests for a time."""
        self._spawn(self._arrivals(self._load.sound_per_s, self._sound))
        if self._load.bad:
            self._spawn(self._arrivals(self._load.bad_per_s, self._bad))
        if self._crash_at is not None:
            self._spawn(self._crash_without_cause())
        self._spawn(self._clear())
        await asyncio.sleep(seconds)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _spawn(self, call):
        task = asyncio.create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _arrivals(self, per_s, request):
        while True:
            await asyncio.sleep(self._rng.expovariate(per_s))
            self._spawn(request())

    def _middle(self):
        # The first of them are the most frequent ones.
        count = self._load.middles
        return f"m{min(self._rng.randrange(count) for _ in range(2))}"

    async def _sound(self):
        await self._request(["first", self._middle()], None)

    async def _bad(self):
        part = self._load.bad[next(self._numbers) % len(self._load.bad)]
        parts = ["first", self._middle(), part]
        if self._load.is_bad_first:
            parts = [part, "first", self._middle()]
        await self._request(parts, part)

    async def _request(self, parts, bad):
        name = "/".join([f"r{next(self._numbers)}", *parts])
        for _ in range(ATTEMPTS):
            is_probe = self.records.record_probe(
                name, **self._times(), delay_s=lambda _part: 0.3
            )
            is_rejected = not is_probe and self._is_rejected(name)
            if is_rejected or not self._engines:
                return
            engine = min(
                self._engines,
                key=lambda e: (len(e.in_flight), self._rng.random()),
            )
            if await self._send(engine, name, bad):
                return

    def _is_rejected(self, name):
        now = self._clock()
        if not self.records.is_rejected(name, now):
            return False
        for each in self.records.record_rejection(name, **self._times()):
            self.rejected.setdefault(each.key, now)
        return True

    async def _send(self, engine, name, bad):
        """Return whether an endpoint answered."""
        call = object()
        wait_s = self._rng.uniform(0.0, MAX_WAIT_S)
        run_s = CRASH_AFTER_S if bad else self._rng.uniform(*RUN_S)
        now = self._clock()
        engine.in_flight[call] = name, now, now + wait_s
        if bad:
            self.sent_at.setdefault(bad, []).append(now)
        try:
            async with asyncio.timeout(wait_s + run_s):
                await engine.crashed.wait()
        except TimeoutError:
            if bad:
                self.crashed_at.setdefault(bad, []).append(self._clock())
                self._crash(engine)
                return False
            self.records.record_served(name, **self._times())
            self.records.record_sound(name, self._clock())
            return True
        finally:
            engine.in_flight.pop(call, None)
        return False

    async def _clear(self):
        while True:
            await asyncio.sleep(CLEAR_INTERVAL_S)
            parts = self.records.suspected_parts(self._clock())
            parts |= self.records.rejected_parts(self._clock())
            self.records.clear_parts(parts, **self._times())

    async def _crash_without_cause(self):
        for wait_s, count in self._crash_at(self._rng):
            await asyncio.sleep(wait_s)
            crashing = self._rng.sample(
                self._engines, min(count, len(self._engines))
            )
            for engine in crashing:
                self._crash(engine)

    def _crash(self, engine):
        if engine.crashed.is_set():
            return
        engine.crashed.set()
        self._engines.remove(engine)
        now = self._clock()
        suspects = []
        for name, sent_at, begins_at in engine.in_flight.values():
            has_begun = now >= begins_at + BEGIN_S
            suspects.append(blame.Suspect(name, now - sent_at, has_begun))
            if has_begun:
                self.records.record_sound(name, begins_at + BEGIN_S)
        self._spawn(self._report(engine.endpoint, suspects))
        self._spawn(self._restart())

    async def _report(self, endpoint, suspects):
        await asyncio.sleep(REPORT_DELAY_S)
        self.records.record_crash(endpoint, suspects, **self._times())

    async def _restart(self):
        await asyncio.sleep(self._rng.uniform(*RESTART_S))
        self._engines.append(_Engine(next(self._numbers)))

    def _times(self):
        now = self._clock()
        return {"now": now, "unix_ms": int(now * 1000)}
