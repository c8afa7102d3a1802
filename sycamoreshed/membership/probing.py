"""Load probes of endpoints by a few instances of their zone.

Each endpoint is asked for its load by `PROBERS_PER_ENDPOINT` instances of
its zone, chosen by rendezvous hashing.  The first of them publishes the
load to the zone when it changed by a step, at most once every
`MIN_PUBLISH_INTERVAL_S`.
"""

import asyncio
import random
import time

from loguru import logger

from sycamoreshed.errors import kinds
from sycamoreshed.membership import rendezvous
from sycamoreshed.membership import topics

__all__ = ["Prober", "load_step"]

LOAD = "endpoint-load"
PROBERS_PER_ENDPOINT = 2
PROBE_PERIOD_S = 2.0
RETRY_DELAY_S = 0.5
TIMEOUT_S = 1.0
FAILURES_UNTIL_DOWN = 2
ASSIGNMENT_PERIOD_S = 1.0
MIN_PUBLISH_INTERVAL_S = 5.0
LOAD_STEPS = 4
# Header bytes of a probe and of its response together.
HEADER_BYTES = 330


@topics.topic(LOAD, zone_only=True)
def merge_load(stored, received):
    """Keep the newest load: wall clock (ms), running, waiting, slots."""
    return topics.newest(stored, received)


def load_step(report):
    """Return the load of an endpoint in steps of a quarter of its slots.

    Examples
    --------
    >>> load_step({"running": 3, "waiting": 0, "slots": 8})
    1
    >>> load_step({"running": 8, "waiting": 4, "slots": 8})
    6
    """
    slots = max(report.get("slots", 1), 1)
    busy = report.get("running", 0) + report.get("waiting", 0)
    return int(LOAD_STEPS * busy / slots)


class Prober:
    """Probes the endpoints assigned to this instance.

    Parameters
    ----------
    settings : Settings
    notes : Notes
    gossip : Gossip
    outliers : OutlierDetector
    client : Endpoints
    metrics : Metrics
    clock : callable
    """

    def __init__(
        self, *, settings, notes, gossip, outliers, client, metrics, clock
    ):
        self._settings = settings
        self._notes = notes
        self._gossip = gossip
        self._outliers = outliers
        self._client = client
        self._bytes = metrics.control_bytes.labels("probes")
        self._clock = clock
        self._tasks = {}
        self._failures = {}
        self._published = {}
        self._assignment_inputs = None
        self._assigned = {}
        self.reports = {}
        gossip.on_record(LOAD, self._on_load)

    async def run(self):
        """Keep one task for each assigned endpoint."""
        while True:
            assigned = self._assign(self._clock())
            for name, (assignment, task) in list(self._tasks.items()):
                if task.done():
                    self._log_end(name, task)
                if task.done() or assigned.get(name) != assignment:
                    task.cancel()
                    del self._tasks[name]
            for name, (endpoint, is_publisher) in assigned.items():
                if name not in self._tasks:
                    task = asyncio.create_task(
                        self._probe_loop(endpoint, is_publisher),
                        name=f"watch {name}",
                    )
                    self._tasks[name] = ((endpoint, is_publisher), task)
            await asyncio.sleep(ASSIGNMENT_PERIOD_S)

    async def stop(self):
        """Cancel all probe tasks."""
        tasks = [task for _, task in self._tasks.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @staticmethod
    def _log_end(name, task):
        if not task.cancelled():
            logger.opt(exception=task.exception()).error(
                "probes of {} failed", name
            )

    def _assign(self, now):
        """Return the endpoints to probe, and whether to publish each load."""
        zone = self._settings.zone
        own = self._settings.instance
        names = [item.name for item in self._gossip.view.alive_in_zone(now)]
        inputs = (self._notes.config.version, names)
        if self._assignment_inputs == inputs:
            return self._assigned
        result = {}
        for items in self._notes.config.endpoints.values():
            for endpoint in items:
                if endpoint.zone != zone:
                    continue
                probers = rendezvous.top(
                    endpoint.name, names, PROBERS_PER_ENDPOINT
                )
                if own in probers:
                    result[endpoint.name] = (endpoint, probers[0] == own)
        self._assignment_inputs, self._assigned = inputs, result
        return result

    async def _probe_loop(self, endpoint, is_publisher):
        await asyncio.sleep(random.uniform(0, PROBE_PERIOD_S))
        while True:
            reply = await self._client.request(
                endpoint, "GET", "/load", timeout=TIMEOUT_S
            )
            failed = isinstance(reply, kinds.Failure)
            self._bytes.inc(HEADER_BYTES + (0 if failed else reply.size))
            if failed:
                self._record_failure(endpoint)
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            self._record_reply(endpoint, reply, is_publisher)
            await asyncio.sleep(PROBE_PERIOD_S * random.uniform(0.9, 1.1))

    def _record_failure(self, endpoint):
        count = self._failures.get(endpoint.name, 0) + 1
        self._failures[endpoint.name] = count
        if count >= FAILURES_UNTIL_DOWN:
            now = self._clock()
            self._outliers.eject(endpoint.name, "no answer to probes", now)
            self._outliers.report_down(endpoint.name, True)

    def _record_reply(self, endpoint, reply, is_publisher):
        self._failures.pop(endpoint.name, None)
        self._outliers.report_down(endpoint.name, False)
        if reply.status != 200 or not isinstance(reply.body, dict):
            return
        now = self._clock()
        self.reports[endpoint.name] = (reply.body, now)
        if is_publisher and "slots" in reply.body:
            self._publish(endpoint.name, reply.body, now)

    def _publish(self, name, report, now):
        published_step, published_at = self._published.get(
            name, (0, -MIN_PUBLISH_INTERVAL_S)
        )
        if (
            load_step(report) == published_step
            or now - published_at < MIN_PUBLISH_INTERVAL_S
        ):
            return
        self._published[name] = (load_step(report), now)
        value = [int(time.time() * 1000)]
        value += [report.get(key, 0) for key in ("running", "waiting")]
        self._gossip.put(LOAD, name, [*value, report["slots"]])

    def _on_load(self, name, value, now):
        keys = ("running", "waiting", "slots")
        report = dict(zip(keys, value[1:], strict=True))
        self.reports[name] = (report, now)
