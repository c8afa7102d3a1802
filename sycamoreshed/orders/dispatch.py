"""Gives one order to one engine."""

import asyncio

import prometheus_client

from sycamoreshed.adapters import engines as control
from sycamoreshed.errors import kinds

__all__ = ["Dispatcher"]

# The word that an engine is about to load reaches the instances first.
SPREAD_S = 0.4
# Longest time that an engine's calls are waited for before a load.
DRAIN_S = 6.0
POLL_S = 0.25
LOAD_TIMEOUT_S = 1.0


class Dispatcher:
    """Empties an engine if it serves, then sends the order.

    Parameters
    ----------
    lease : Lease
    client : Engines
    unavailable : UnavailableEngines
    clock : callable
    log : DecisionLog
    registry : CollectorRegistry
    """

    def __init__(self, *, lease, client, unavailable, clock, log, registry):
        self._lease = lease
        self._client = client
        self._unavailable = unavailable
        self._clock = clock
        self._log = log
        self._unsure_until = 0.0
        self._orders = prometheus_client.Counter(
            "sycamoreshed_engine_orders",
            "Orders given to engines.",
            ["outcome"],
            registry=registry,
        )

    @property
    def outstanding_until(self):
        """Monotonic time by which every order has ended."""
        return self._unsure_until

    async def send(self, engine, step, fence):
        """Give an order; return whether the engine took it.

        Parameters
        ----------
        engine : Engine
        step : Step
        fence : int
            Fencing number of the lease the step was decided under.

        Returns
        -------
        bool

        Notes
        -----
        Emptying an engine takes seconds, in which operators may decide
        otherwise.  The step is given for the version that it was planned
        on, or not at all: named for the newer one, the engine would load
        what was replaced and tell that it is what operators decided.
        """
        config = self._lease.config
        if step.interrupts:
            await self._empty(engine)
        order = control.Order(fence=fence, config=config, target=step.target)
        self._log.write(
            self._clock(),
            "place",
            endpoint=engine.name,
            choice=step.target,
            why=step.why,
            fence=fence,
        )
        longest = self._lease.terms.longest
        result = await self._client.send_order(
            engine.endpoint,
            order,
            timeout=longest / 2,
            is_allowed=lambda: self._is_allowed(fence, config),
        )
        self._take_outcome(result, self._clock() + longest)
        return result is True

    async def _empty(self, engine):
        """Keep new calls from an engine, and let it finish those it has.

        A load cuts streams off on some engines, and refuses calls on all
        of them; callers would see the change of version as failures.
        """
        begin = self._clock()
        self._unavailable.report(engine.name, True, begin)
        await asyncio.sleep(SPREAD_S)
        while self._clock() < begin + DRAIN_S:
            load = await self._client.read_load(
                engine.endpoint, timeout=LOAD_TIMEOUT_S
            )
            if isinstance(load, kinds.Failure) or not load.get("running"):
                return
            await asyncio.sleep(POLL_S)

    def _is_allowed(self, fence, config):
        valid = self._lease.is_valid(self._clock())
        return valid and (self._lease.fence, self._lease.config) == (
            fence,
            config,
        )

    def _take_outcome(self, result, end):
        if isinstance(result, control.Outdated):
            self._lease.record_fence(result.fence)
            self._orders.labels("outdated").inc()
        elif isinstance(result, kinds.Failure):
            self._orders.labels(str(result.kind)).inc()
            if result.sent:
                self._unsure_until = max(self._unsure_until, end)
        else:
            self._orders.labels("taken").inc()
