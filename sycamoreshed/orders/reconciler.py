"""Brings a zone's engines to what the configuration says.

The holder of the lease reads the engines back, decides which orders may
be given now, gives them and reads back again, until all hold.  Each
engine's look or order is a task of its own.
"""

import asyncio
import contextlib

from aiohttp import web

from sycamoreshed.adapters import engines as control
from sycamoreshed.orders import assignment
from sycamoreshed.orders import rollout
from sycamoreshed.orders import tracking

__all__ = ["Reconciler"]

ROUND_S = 0.25
# A slow engine holds one of these, and nobody else.
IN_FLIGHT = 32
LOOK_S = 1.0


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
    pace : LoadPacer
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
        pace,
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
        self._pace = pace
        self._unavailable = unavailable
        self._loads = settings.loads_at_once
        self._look_s = settings.order_look_s
        self._clock = clock
        self._watches = {}
        self._busy = {}
        self._assigned = {}
        self._engines = {}
        self._placements = []
        self._mark = None
        self._stale = True
        self._fresh = True
        self._ended = asyncio.Event()

    async def run(self):
        """Reconcile again and again, until told to stop."""
        stopping = self._leadership.stopping
        while not stopping.is_set():
            now = self._clock()
            if self._leadership.can_order(now):
                self._round(now)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(stopping.wait(), ROUND_S)

    async def stop(self):
        """End all own orders, then give the lease up.

        Notes
        -----
        The successor does not wait after a release.  An order whose
        answer was lost may still take effect, so the release is written
        only once the longest order is over.
        """
        if self._leadership.stopping.is_set():
            await self._ended.wait()
            return
        self._leadership.begin_stop()
        await asyncio.gather(*self._busy.values(), return_exceptions=True)
        left = self._dispatcher.outstanding_until - self._clock()
        await asyncio.sleep(max(0.0, left))
        await self._leadership.release()
        self._ended.set()

    async def status(self, _http):
        """Answer an operator with the lease and the engines."""
        now = self._clock()
        names = sorted(self._watches)
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
        watch = self._watches[name]
        state = watch.state
        return {
            "wanted": self._target(name),
            "loaded": state and state.loaded,
            "loading": state and state.loading,
            "dead": watch.is_dead(now),
        }

    def _round(self, now):
        mark = (self._lease.fence, self._notes.config.version)
        if self._mark != mark:
            self._begin(mark)
        if self._stale and self._is_surveyed():
            self._plan(now)
        for name, watch in self._watches.items():
            if watch.look_at <= now:
                self._start(name, self._look(self._engines[name], mark))

    def _begin(self, mark):
        """Start on a new lease or a new version."""
        kept = self._watches
        if self._mark is None or self._mark[0] != mark[0]:
            # What was read before another held the lease tells nothing.
            kept = {}
            self._fresh = True
        self._mark = mark
        config = self._notes.config
        self._engines = assignment.engines(config, self._zone)
        self._placements = assignment.placements(config, self._zone)
        self._watches = {
            name: kept.get(name)
            or tracking.EngineTracker(longest=self._look_s)
            for name in self._engines
        }
        for watch in self._watches.values():
            watch.hurry()
        self._stale = True

    def _is_surveyed(self):
        """Return whether each engine has been asked at least once.

        Orders on the first answers alone would move what others have.
        """
        return all(
            watch.state is not None or watch.silent_since is not None
            for watch in self._watches.values()
        )

    def _plan(self, now):
        known = {
            name: watch
            for name, watch in self._watches.items()
            if watch.state is not None
        }
        dead = {
            name for name, item in self._watches.items() if item.is_dead(now)
        }
        self._assigned = assignment.assign(
            self._engines,
            self._placements,
            {name: watch.state for name, watch in known.items()},
            dead,
        )
        if self._fresh:
            self._fresh = False
            self._count_loads(known, now)
        answering = {
            name: watch.state
            for name, watch in known.items()
            if watch.silent_since is None
        }
        steps = rollout.steps(
            self._assigned,
            self._placements,
            answering,
            dead,
            loads=self._loads,
            pending={name for name, watch in known.items() if watch.pending},
        )
        # A step that has to wait is planned again.
        self._stale = bool(steps)
        for step in steps:
            self._try_step(step, now)

    def _count_loads(self, known, now):
        """Count what the holder before has begun against the rate."""
        for name, watch in known.items():
            placement = self._assigned.get(name)
            if placement is not None and watch.state.loading is not None:
                self._pace.add(placement.size, now=now)

    def _try_step(self, step, now):
        watch = self._watches[step.engine]
        if watch.order_at > now or watch.state.config > self._lease.config:
            return
        if step.engine in self._busy or len(self._busy) >= IN_FLIGHT:
            return
        if not self._pace.take(step.size, now=now):
            return
        watch.pending = True
        engine = self._engines[step.engine]
        self._start(step.engine, self._order(engine, watch, step))

    def _start(self, name, coro):
        if name in self._busy or len(self._busy) >= IN_FLIGHT:
            coro.close()
            return
        task = asyncio.create_task(coro, name=f"orders {name}")
        self._busy[name] = task
        task.add_done_callback(lambda _: self._busy.pop(name, None))

    def _target(self, name):
        placement = self._assigned.get(name)
        return placement.target if placement else None

    async def _look(self, engine, mark):
        state = await self._client.state(engine.endpoint, timeout=LOOK_S)
        watch = self._watches.get(engine.name)
        if watch is None or self._mark != mark:
            return
        now = self._clock()
        if isinstance(state, control.State):
            self._lease.record_fence(state.fence)
            # Repeats that it does not serve, or tells that it does again.
            self._unavailable.report(engine.name, not state.serving, now)
        if watch.take(state, self._target(engine.name), now):
            self._stale = True

    async def _order(self, engine, watch, step):
        taken = await self._dispatcher.send(engine, step, self._mark[0])
        watch.ordered(self._clock(), ok=taken)
        self._stale = True
