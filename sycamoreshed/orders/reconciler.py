"""Reconciles the engines of a zone with the configuration.

The holder of the lease reads the state of the engines, selects the orders
that may be sent now, sends them and reads again, until all engines have
their targets; it then reads them more rarely.  Each read or order of an
engine is a task of its own.
"""

import asyncio
import contextlib

from aiohttp import web

from sycamoreshed.adapters import engines as control
from sycamoreshed.orders import assignment
from sycamoreshed.orders import rollout
from sycamoreshed.orders import tracking

__all__ = ["Reconciler"]

ROUND_INTERVAL_S = 0.25
# A slow engine occupies one of these tasks and delays no other engine.
MAX_IN_FLIGHT = 32
READ_TIMEOUT_S = 1.0


class Reconciler:
    """Reconciles one zone while this instance holds the zone's lease.

    Parameters
    ----------
    leadership : Leadership
    lease : Lease
    dispatcher : Dispatcher
    zone : str
    notes : Notes
    client : Engines
    pacer : LoadPacer
    unavailable : UnavailableEngines
    settings : Settings
    clock : callable
    """

    def __init__(
        self,
        *,
        leadership,
        lease,
        dispatcher,
        zone,
        notes,
        client,
        pacer,
        unavailable,
        settings,
        clock,
    ):
        self._leadership = leadership
        self._lease = lease
        self._dispatcher = dispatcher
        self._zone = zone
        self._notes = notes
        self._client = client
        self._pacer = pacer
        self._unavailable = unavailable
        self._load_slots = settings.loads_at_once
        self._max_read_interval_s = settings.order_look_s
        self._clock = clock
        self._trackers = {}
        self._tasks = {}
        self._assigned = {}
        self._engines = {}
        self._placements = []
        self._epoch = None
        self._is_plan_stale = True
        self._is_new_holder = True
        self._stopped = asyncio.Event()

    async def run(self):
        """Run reconciliation rounds until `stop`."""
        stopping = self._leadership.stopping
        while not stopping.is_set():
            now = self._clock()
            if self._leadership.can_order(now):
                self._run_round(now)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(stopping.wait(), ROUND_INTERVAL_S)

    async def stop(self):
        """Wait for all own orders to end, then release the lease.

        Notes
        -----
        The successor does not wait after a release.  An order whose
        response was lost may still take effect, so the release is written
        only after the maximum duration of an order.
        """
        if self._leadership.stopping.is_set():
            await self._stopped.wait()
            return
        self._leadership.begin_stop()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)
        remaining_s = self._dispatcher.outstanding_until - self._clock()
        await asyncio.sleep(max(0.0, remaining_s))
        await self._leadership.release()
        self._stopped.set()

    async def status(self, _http):
        """Serve the state of the lease and the engines to operators."""
        now = self._clock()
        names = sorted(self._trackers)
        return web.json_response(
            {
                "zone": self._zone,
                "holds": self._lease.is_valid(now),
                "fence": self._lease.fence,
                "config": self._lease.config,
                "store": {
                    "reads": self._lease.reads,
                    "writes": self._lease.writes,
                },
                "engines": {name: self._describe(name, now) for name in names},
            }
        )

    def _describe(self, name, now):
        tracker = self._trackers[name]
        state = tracker.state
        return {
            "wanted": self._target(name),
            "loaded": state and state.loaded,
            "loading": state and state.loading,
            "dead": tracker.is_dead(now),
        }

    def _run_round(self, now):
        epoch = (self._lease.fence, self._notes.config.version)
        if self._epoch != epoch:
            self._start_epoch(epoch)
        if self._is_plan_stale and self._has_read_all():
            self._plan_and_start(now)
        for name, tracker in self._trackers.items():
            if tracker.next_read_at <= now:
                self._start(name, self._read(self._engines[name], epoch))

    def _start_epoch(self, epoch):
        """Start an epoch: a new lease or a new configuration version."""
        existing = self._trackers
        if self._epoch is None or self._epoch[0] != epoch[0]:
            # States read before another instance held the lease are outdated.
            existing = {}
            self._is_new_holder = True
        self._epoch = epoch
        config = self._notes.config
        self._engines = assignment.engines(config, self._zone)
        self._placements = assignment.placements(config, self._zone)
        self._trackers = {
            name: existing.get(name)
            or tracking.EngineTracker(max_interval_s=self._max_read_interval_s)
            for name in self._engines
        }
        for tracker in self._trackers.values():
            tracker.read_soon()
        self._is_plan_stale = True

    def _has_read_all(self):
        """Return whether each engine has responded or failed at least once.

        Orders planned from some of the engines would move placements that
        engines not yet read have loaded.
        """
        return all(
            tracker.state is not None or tracker.unresponsive_since is not None
            for tracker in self._trackers.values()
        )

    def _plan_and_start(self, now):
        responded = {
            name: tracker
            for name, tracker in self._trackers.items()
            if tracker.state is not None
        }
        dead = {
            name for name, item in self._trackers.items() if item.is_dead(now)
        }
        self._assigned = assignment.assign(
            self._engines,
            self._placements,
            {name: tracker.state for name, tracker in responded.items()},
            dead,
        )
        if self._is_new_holder:
            self._is_new_holder = False
            self._count_running_loads(responded, now)
        responsive = {
            name: tracker.state
            for name, tracker in responded.items()
            if tracker.unresponsive_since is None
        }
        steps = rollout.steps(
            self._assigned,
            self._placements,
            responsive,
            dead,
            load_slots=self._load_slots,
            pending={
                name
                for name, tracker in responded.items()
                if tracker.has_unread_order
            },
        )
        # Some steps may have to wait; they are planned again.
        self._is_plan_stale = bool(steps)
        for step in steps:
            self._try_step(step, now)

    def _count_running_loads(self, responded, now):
        """Count loads started by the previous holder against the rate."""
        for name, tracker in responded.items():
            placement = self._assigned.get(name)
            if placement is not None and tracker.state.loading is not None:
                self._pacer.record_running(placement.load_bytes, now=now)

    def _try_step(self, step, now):
        tracker = self._trackers[step.engine]
        # An engine with a higher version accepted a newer configuration.
        if (
            tracker.next_order_at > now
            or tracker.state.config > self._lease.config
        ):
            return
        if step.engine in self._tasks or len(self._tasks) >= MAX_IN_FLIGHT:
            return
        if not self._pacer.try_start(step.load_bytes, now=now):
            return
        tracker.has_unread_order = True
        engine = self._engines[step.engine]
        self._start(step.engine, self._send_order(engine, tracker, step))

    def _start(self, name, coro):
        if name in self._tasks or len(self._tasks) >= MAX_IN_FLIGHT:
            coro.close()
            return
        task = asyncio.create_task(coro, name=f"orders {name}")
        self._tasks[name] = task
        task.add_done_callback(lambda _: self._tasks.pop(name, None))

    def _target(self, name):
        placement = self._assigned.get(name)
        return placement.target if placement else None

    async def _read(self, engine, epoch):
        state = await self._client.state(
            engine.endpoint, timeout=READ_TIMEOUT_S
        )
        tracker = self._trackers.get(engine.name)
        if tracker is None or self._epoch != epoch:
            return
        now = self._clock()
        if isinstance(state, control.State):
            self._lease.record_fence(state.fence)
            # Reports or repeats that it does not serve, or serves again.
            self._unavailable.report(engine.name, not state.serving, now)
        if tracker.record_read(state, self._target(engine.name), now):
            self._is_plan_stale = True

    async def _send_order(self, engine, tracker, step):
        accepted = await self._dispatcher.send(engine, step, self._epoch[0])
        tracker.record_order(self._clock(), accepted=accepted)
        self._is_plan_stale = True
