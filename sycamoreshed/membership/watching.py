"""Watching endpoints from a few instances of their zone.

Each endpoint is asked for its load by `WATCHERS` instances of its zone,
chosen by rendezvous hashing; what they see is told to the zone only when
it changes by a step.
"""

import asyncio
import random
import time

from sycamoreshed.errors import kinds
from sycamoreshed.membership import rendezvous
from sycamoreshed.membership import topics

__all__ = ["Watching", "step"]

LOAD = "endpoint-load"
WATCHERS = 2
PROBE_S = 2.0
AGAIN_S = 0.5
TIMEOUT_S = 1.0
FAILURES = 2
ROUND_S = 1.0
TELL_S = 5.0
STEPS = 4
# Bytes of the lines of a probe and of its answer beside the body.
LINES_BYTES = 330


@topics.topic(LOAD, zone_only=True)
def merge_load(held, came):
    """Keep the newest: wall clock (ms), running, waiting, slots."""
    return topics.newest(held, came)


def step(report):
    """Return the load of an endpoint in steps of a quarter of its slots.

    Examples
    --------
    >>> step({"running": 3, "waiting": 0, "slots": 8})
    1
    >>> step({"running": 8, "waiting": 4, "slots": 8})
    6
    """
    slots = max(report.get("slots", 1), 1)
    busy = report.get("running", 0) + report.get("waiting", 0)
    return int(STEPS * busy / slots)


class Watching:
    """Probes the endpoints this instance has to watch.

    Parameters
    ----------
    settings : Settings
    notes : Notes
    gossip : Gossip
    evidence : Evidence
    client : Endpoints
    metrics : Metrics
    clock : callable
    """

    def __init__(
        self, *, settings, notes, gossip, evidence, client, metrics, clock
    ):
        self._settings = settings
        self._notes = notes
        self._gossip = gossip
        self._evidence = evidence
        self._client = client
        self._bytes = metrics.control_bytes.labels("probes")
        self._clock = clock
        self._tasks = {}
        self._failed = {}
        self._told = {}
        self._basis = None
        self._duties = {}
        self.reports = {}
        gossip.on_record(LOAD, self._hear)

    async def run(self):
        """Keep one task for each endpoint to watch."""
        while True:
            wanted = self._wanted(self._clock())
            for name in list(self._tasks):
                if wanted.get(name) != self._tasks[name][0]:
                    self._tasks.pop(name)[1].cancel()
            for name, (endpoint, first) in wanted.items():
                if name not in self._tasks:
                    task = asyncio.create_task(
                        self._watch(endpoint, first), name=f"watch {name}"
                    )
                    self._tasks[name] = ((endpoint, first), task)
            await asyncio.sleep(ROUND_S)

    async def stop(self):
        """End all watching."""
        tasks = [task for _, task in self._tasks.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _wanted(self, now):
        """Return endpoints to watch, and whether as the first watcher."""
        zone = self._settings.zone
        own = self._settings.instance
        names = [item.name for item in self._gossip.view.alive_in_zone(now)]
        basis = (self._notes.config.version, names)
        if self._basis == basis:
            return self._duties
        result = {}
        for items in self._notes.config.endpoints.values():
            for endpoint in items:
                if endpoint.zone != zone:
                    continue
                chosen = rendezvous.top(endpoint.name, names, WATCHERS)
                if own in chosen:
                    result[endpoint.name] = (endpoint, chosen[0] == own)
        self._basis, self._duties = basis, result
        return result

    async def _watch(self, endpoint, first):
        await asyncio.sleep(random.uniform(0, PROBE_S))
        while True:
            reply = await self._client.request(
                endpoint, "GET", "/load", timeout=TIMEOUT_S
            )
            failed = isinstance(reply, kinds.Failure)
            self._bytes.inc(LINES_BYTES + (0 if failed else reply.size))
            if failed:
                self._note_failure(endpoint)
                await asyncio.sleep(AGAIN_S)
                continue
            self._note_answer(endpoint, reply, first)
            await asyncio.sleep(PROBE_S * random.uniform(0.9, 1.1))

    def _note_failure(self, endpoint):
        count = self._failed.get(endpoint.name, 0) + 1
        self._failed[endpoint.name] = count
        if count >= FAILURES:
            now = self._clock()
            self._evidence.eject(endpoint.name, "no answer to probes", now)
            self._evidence.tell_down(endpoint.name, True)

    def _note_answer(self, endpoint, reply, first):
        self._failed.pop(endpoint.name, None)
        self._evidence.tell_down(endpoint.name, False)
        if reply.status != 200 or not isinstance(reply.body, dict):
            return
        now = self._clock()
        self.reports[endpoint.name] = (reply.body, now)
        if first and "slots" in reply.body:
            self._tell(endpoint.name, reply.body, now)

    def _tell(self, name, report, now):
        level, at = self._told.get(name, (0, -TELL_S))
        if step(report) == level or now - at < TELL_S:
            return
        self._told[name] = (step(report), now)
        value = [int(time.time() * 1000)]
        value += [report.get(key, 0) for key in ("running", "waiting")]
        self._gossip.put(LOAD, name, [*value, report["slots"]])

    def _hear(self, name, value, now):
        keys = ("running", "waiting", "slots")
        report = dict(zip(keys, value[1:], strict=True))
        self.reports[name] = (report, now)
