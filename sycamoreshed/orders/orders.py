"""Reconciles what a zone's engines have with the configuration.

Every instance of a zone is a candidate for the zone's lease.  Its holder
reads the engines back, decides which orders may be given now, gives them
and reads back again, until all hold.
"""

import asyncio
import contextlib

from aiohttp import web
import prometheus_client

from sycamoreshed.adapters import engines as control
from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel
from sycamoreshed.orders import assignment
from sycamoreshed.orders import keeper
from sycamoreshed.orders import leases
from sycamoreshed.orders import pacing
from sycamoreshed.orders import rollout
from sycamoreshed.orders import watches

__all__ = ["Reconciler"]

ROUND_S = 0.25
# A slow engine holds one of these, and nobody else.
IN_FLIGHT = 32
LOOK_S = 1.0
# Three renewals may fail in a row before the lease is not used any more.
RENEWALS = 4


class Reconciler:
    """Gives orders for one zone while it holds the zone's lease.

    Parameters
    ----------
    lease : Lease
    zone, instance : str
    notes : Notes
    client : Engines
    peers : callable
        Takes the present time, returns names of live instances here.
    pace : Pace
    settings : Settings
    clock : callable
    log : DecisionLog
    registry : CollectorRegistry
    """

    def __init__(
        self,
        *,
        lease,
        zone,
        instance,
        notes,
        client,
        peers,
        pace,
        settings,
        clock,
        log,
        registry,
    ):
        self._lease = lease
        self._zone = zone
        self._instance = instance
        self._notes = notes
        self._client = client
        self._peers = peers
        self._pace = pace
        self._loads = settings.loads_at_once
        self._look_s = settings.order_look_s
        self._clock = clock
        self._log = log
        self._watches = {}
        self._busy = {}
        self._assigned = {}
        self._engines = {}
        self._placements = []
        self._planned = None
        self._stale = True
        self._unsure_until = 0.0
        self._stopping = asyncio.Event()
        self._ended = asyncio.Event()
        self._wake = asyncio.Event()
        notes.on_change(self._wake.set)
        self._orders = prometheus_client.Counter(
            "sycamoreshed_engine_orders",
            "Orders given to engines.",
            ["outcome"],
            registry=registry,
        )
        self._fence = prometheus_client.Gauge(
            "sycamoreshed_orders_fence",
            "Fencing number of the zone's lease; zero without it.",
            registry=registry,
        )

    async def keep_lease(self):
        """Take the zone's lease and renew it, until told to stop."""
        while not self._stopping.is_set():
            self._wake.clear()
            held = await self._lease.renew(config=self._notes.config.version)
            self._fence.set(self._lease.fence if held else 0)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._wake.wait(), self._renew_s(held))

    async def run(self):
        """Reconcile again and again, until told to stop."""
        while not self._stopping.is_set():
            now = self._clock()
            if self._may_order(now):
                self._round(now)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._stopping.wait(), ROUND_S)

    async def stop(self):
        """End all own orders, then give the lease up.

        Notes
        -----
        The successor does not wait after a release.  An order whose
        answer was lost may still take effect, so the release is written
        only once the longest order is over.
        """
        if self._stopping.is_set():
            await self._ended.wait()
            return
        self._stopping.set()
        self._wake.set()
        await asyncio.gather(*self._busy.values(), return_exceptions=True)
        await asyncio.sleep(max(0.0, self._unsure_until - self._clock()))
        if self._lease.valid(self._clock()):
            await self._lease.release()
        self._ended.set()

    async def status(self, _http):
        """Answer an operator with the lease and the engines."""
        now = self._clock()
        names = sorted(self._watches)
        return web.json_response(
            {
                "zone": self._zone,
                "holds": self._lease.valid(now),
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

    def _renew_s(self, held):
        seconds = self._lease.terms.seconds
        if held:
            return seconds / RENEWALS
        wait = pacing.standby_s(
            self._zone,
            self._instance,
            self._peers(self._clock()),
            seconds / (RENEWALS - 1),
        )
        left = self._lease.wait_left()
        return min(wait, left) if left is not None else wait

    def _may_order(self, now):
        """Return whether orders for the version in force may leave.

        A new holder may know less than the one before.  Were it to give
        orders for its older version, engines would go back to what
        operators had already replaced; the row names the version that
        orders were given for.
        """
        version = self._notes.config.version
        return self._lease.valid(now) and version == self._lease.config

    def _round(self, now):
        mark = (self._lease.fence, self._notes.config.version)
        if self._planned != mark:
            self._begin(mark, now)
        if self._stale:
            self._plan(now)
        for name, watch in self._watches.items():
            if watch.look_at <= now:
                self._start(name, self._look(self._engines[name], mark))

    def _begin(self, mark, now):
        """Start on a new lease or a new version."""
        if self._planned is None or self._planned[0] != mark[0]:
            self._watches.clear()
        self._planned = mark
        config = self._notes.config
        self._engines = assignment.engines(config, self._zone)
        self._placements = assignment.placements(config, self._zone)
        kept = self._watches
        self._watches = {
            name: kept.get(name) or watches.Watch(longest=self._look_s)
            for name in self._engines
        }
        for watch in self._watches.values():
            watch.hurry()
        self._stale = True

    def _plan(self, now):
        states = {
            name: watch.state
            for name, watch in self._watches.items()
            if watch.state is not None and watch.silent_since is None
        }
        if not self._is_surveyed():
            return
        dead = {
            name for name, watch in self._watches.items() if watch.is_dead(now)
        }
        known = {
            name: watch.state
            for name, watch in self._watches.items()
            if watch.state is not None
        }
        self._assigned = assignment.assign(
            self._engines, self._placements, known, dead
        )
        steps = rollout.steps(
            self._assigned, self._placements, states, dead, loads=self._loads
        )
        # A step that has to wait keeps the plan stale.
        self._stale = bool(steps)
        for step in steps:
            self._give(step, now)

    def _is_surveyed(self):
        """Return whether each engine has been asked at least once.

        Orders on the first answers alone would move what others have.
        """
        return all(
            watch.state is not None or watch.silent_since is not None
            for watch in self._watches.values()
        )

    def _give(self, step, now):
        watch = self._watches[step.engine]
        if step.engine in self._busy or watch.order_at > now:
            return
        if watch.state.config > self._lease.config:
            return
        if len(self._busy) >= IN_FLIGHT:
            return
        if not self._pace.take(step.size, now=now):
            return
        self._start(step.engine, self._order(step, self._planned[0]))

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
        if watch is None or self._planned != mark:
            return
        if isinstance(state, control.State):
            self._lease.raise_floor(state.fence)
        target = self._target(engine.name)
        if watch.take(state, target, self._clock()):
            self._stale = True

    async def _order(self, step, fence):
        engine = self._engines[step.engine]
        watch = self._watches[step.engine]
        order = control.Order(
            fence=fence, config=self._lease.config, target=step.target
        )
        now = self._clock()
        self._log.write(
            now,
            "place",
            endpoint=step.engine,
            choice=step.target,
            why=step.why,
            fence=fence,
        )
        longest = self._lease.terms.longest
        result = await self._client.order(
            engine.endpoint,
            order,
            timeout=longest / 2,
            allowed=lambda: self._is_allowed(order),
        )
        self._take_outcome(result, self._clock() + longest)
        watch.ordered(self._clock(), ok=result is True)
        self._stale = True

    def _is_allowed(self, order):
        now = self._clock()
        return self._lease.valid(now) and self._lease.fence == order["fence"]

    def _take_outcome(self, result, end):
        if isinstance(result, control.Outdated):
            self._lease.raise_floor(result.fence)
            self._orders.labels("outdated").inc()
        elif isinstance(result, kinds.Failure):
            self._orders.labels(str(result.kind)).inc()
            if result.sent:
                self._unsure_until = max(self._unsure_until, end)
        else:
            self._orders.labels("taken").inc()


@kernel.plugin(
    "orders",
    needs=("decisions", "engines", "gossip", "metrics", "notes", "table"),
)
async def orders(core):
    """Provide the zone's reconciler."""
    settings = core.settings
    gossip = core.part("gossip")

    def peers(now):
        return [
            item.name
            for item in gossip.alive(now)
            if item.zone == settings.zone
        ]

    lease = keeper.Lease(
        table=core.part("table"),
        name=f"orders/{settings.zone}",
        holder=settings.instance,
        terms=leases.Terms(
            settings.lease_s, settings.lease_margin_s, settings.order_longest_s
        ),
        clock=core.clock,
    )
    part = Reconciler(
        lease=lease,
        zone=settings.zone,
        instance=settings.instance,
        notes=core.part("notes"),
        client=core.part("engines"),
        peers=peers,
        pace=pacing.Pace(rate=settings.weight_rate),
        settings=settings,
        clock=core.clock,
        log=core.part("decisions"),
        registry=core.part("metrics").registry,
    )
    core.control.router.add_get("/control/orders", part.status)
    core.spawn(part.keep_lease(), name="lease on orders")
    core.spawn(part.run(), name="orders")
    core.spawn(_stop_with(core, part), name="orders' end")
    yield part
    await part.stop()


async def _stop_with(core, part):
    await core.stopping.wait()
    await part.stop()
