"""Endpoints that crash under some requests, in simulated time."""

import asyncio
import random

from sycamoreshed.catalog import types
from sycamoreshed.findings import blame
from sycamoreshed.findings import board
from sycamoreshed.findings import crashes
from sycamoreshed.membership import rendezvous
from testkit import journals

__all__ = ["World"]

CRASH_AFTER_S = 0.1
RESTART_S = 1.5
MAX_RUN_S = 2.0
# Requests wait this long until an endpoint begins to run them.
MAX_WAIT_S = 0.4
# Until the crash of an endpoint is known to all instances.
REPORT_DELAY_S = 0.05


class _Engine:
    def __init__(self, number):
        self.endpoint = types.Endpoint(f"e{number}", "s", "", "north-a", 4)
        self.in_flight = {}
        self.crashed = asyncio.Event()


class World:
    """Callers that repeat their requests for as long as the world runs.

    All requests prefer the same endpoint, until they are suspected.

    Parameters
    ----------
    engines : int
    seed : int
    crashes_by_itself_s : float, optional
        Mean time between crashes of endpoints that no request causes.

    Attributes
    ----------
    sent_at : dict of str to list of float
        By fingerprint, when a request was sent to an endpoint.
    crashed_at : dict of str to list of float
        By fingerprint, when an endpoint crashed under a request.
    served : dict of str to int
        By fingerprint, how often a request was served.
    rejected : set of str
        Fingerprints of requests that were rejected at least once.
    """

    def __init__(self, *, engines, seed, crashes_by_itself_s=None):
        self._rng = random.Random(seed)
        self._clock = asyncio.get_running_loop().time
        self._engines = {_Engine(number) for number in range(engines)}
        self._started = engines
        self._crashes_by_itself_s = crashes_by_itself_s
        self._tasks = set()
        self.records = crashes.CrashRecords(
            board=board.Board(), instance="i", journal=journals.Journal()
        )
        self.sent_at = {}
        self.crashed_at = {}
        self.served = {}
        self.rejected = set()

    async def run(self, *, poisons, others, seconds):
        """Repeat requests, some of which crash endpoints, for a time."""
        for name in poisons + others:
            self._spawn(self._repeat(name, name in poisons))
        if self._crashes_by_itself_s is not None:
            self._spawn(self._crash_at_random())
        await asyncio.sleep(seconds)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _spawn(self, call):
        task = asyncio.create_task(call)
        self._tasks.add(task)

    async def _repeat(self, name, is_poison):
        while True:
            await asyncio.sleep(self._rng.uniform(0.05, 0.8))
            if self.records.is_rejected(name, self._clock()):
                self.rejected.add(name)
                continue
            engine = self._choose(name)
            if engine is not None:
                await self._send(engine, name, is_poison)

    def _choose(self, name):
        is_suspect = self.records.blamed(name, self._clock()) > 0
        key = name if is_suspect else "shared prefix"
        return max(
            self._engines,
            key=lambda each: rendezvous.rank(key, each.endpoint.id),
            default=None,
        )

    async def _send(self, engine, name, is_poison):
        call = object()
        sent_at = self._clock()
        wait_s = self._rng.uniform(0.0, MAX_WAIT_S)
        begins_at = float("inf") if is_poison else sent_at + wait_s
        engine.in_flight[call] = name, sent_at, begins_at
        self.sent_at.setdefault(name, []).append(sent_at)
        run_s = wait_s + CRASH_AFTER_S
        if not is_poison:
            run_s = wait_s + self._rng.uniform(0.1, MAX_RUN_S)
        try:
            async with asyncio.timeout(run_s):
                await engine.crashed.wait()
        except TimeoutError:
            if is_poison:
                self.crashed_at.setdefault(name, []).append(self._clock())
                self._crash(engine)
                return
            self.served[name] = self.served.get(name, 0) + 1
            self.records.record_served(name, **self._times())
        finally:
            engine.in_flight.pop(call, None)

    async def _crash_at_random(self):
        while True:
            mean_s = self._crashes_by_itself_s
            await asyncio.sleep(self._rng.expovariate(1 / mean_s))
            if self._engines:
                ids = sorted(self._engines, key=lambda e: e.endpoint.id)
                self._crash(self._rng.choice(ids))

    def _crash(self, engine):
        if engine.crashed.is_set():
            return
        engine.crashed.set()
        self._engines.discard(engine)
        now = self._clock()
        suspects = [
            blame.Suspect(name, now - sent_at, now >= begins_at)
            for name, sent_at, begins_at in engine.in_flight.values()
        ]
        self._spawn(self._report(engine.endpoint, suspects))
        self._spawn(self._restart())

    async def _report(self, endpoint, suspects):
        await asyncio.sleep(REPORT_DELAY_S)
        self.records.record_crash(endpoint, suspects, **self._times())

    async def _restart(self):
        await asyncio.sleep(RESTART_S)
        self._started += 1
        self._engines.add(_Engine(self._started))

    def _times(self):
        now = self._clock()
        return {"now": now, "unix_ms": int(now * 1000)}
