"""Sends one order to one engine."""

import asyncio

import prometheus_client

from sycamoreshed.adapters import engines as control
from sycamoreshed.errors import kinds

__all__ = ["Dispatcher"]

# Time for the report that an engine is about to load to reach all instances.
REPORT_SPREAD_S = 0.4
# Maximum wait for the running calls of an engine before a load.
MAX_DRAIN_S = 6.0
DRAIN_POLL_S = 0.25
LOAD_REPORT_TIMEOUT_S = 1.0


class Dispatcher:
    """Drains an engine if it serves, then sends it an order.

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
        self._outstanding_until = 0.0
        self._orders = prometheus_client.Counter(
            "sycamoreshed_engine_orders",
            "Orders given to engines.",
            ["outcome"],
            registry=registry,
        )

    @property
    def outstanding_until(self):
        """Monotonic time after which no sent order can take effect."""
        return self._outstanding_until

    async def send(self, engine, step, fence):
        """Send an order; return whether the engine accepted it.

        Parameters
        ----------
        engine : Engine
        step : Step
        fence : int
            Fencing number of the lease under which the step was planned.

        Returns
        -------
        bool

        Notes
        -----
        Draining an engine takes seconds, during which operators may change
        the configuration.  The order is sent for the version it was
        planned for, or not at all.  Under the newer version, the engine
        would load the replaced target and report it with that version.
        """
        config = self._lease.config
        if step.interrupts:
            await self._drain(engine)
        order = control.Order(fence=fence, config=config, target=step.target)
        self._log.write(
            self._clock(),
            "place",
            endpoint=engine.name,
            choice=step.target,
            why=step.reason,
            fence=fence,
        )
        max_order_s = self._lease.terms.max_order_s
        result = await self._client.send_order(
            engine.endpoint,
            order,
            timeout=max_order_s / 2,
            is_allowed=lambda: self._is_allowed(fence, config),
        )
        # An order without a response may take effect for the whole maximum.
        self._record_outcome(result, self._clock() + max_order_s)
        return result is True

    async def _drain(self, engine):
        """Keep new calls from an engine, and let it finish running ones.

        A load cuts off streams on some engines, and all engines refuse
        calls during it; callers would see failures at a change of version.
        """
        started_at = self._clock()
        self._unavailable.report(engine.name, True, started_at)
        await asyncio.sleep(REPORT_SPREAD_S)
        while self._clock() < started_at + MAX_DRAIN_S:
            report = await self._client.read_load(
                engine.endpoint, timeout=LOAD_REPORT_TIMEOUT_S
            )
            if isinstance(report, kinds.Failure) or not report.get("running"):
                return
            await asyncio.sleep(DRAIN_POLL_S)

    def _is_allowed(self, fence, config):
        is_valid = self._lease.is_valid(self._clock())
        return is_valid and (self._lease.fence, self._lease.config) == (
            fence,
            config,
        )

    def _record_outcome(self, result, ends_at):
        if isinstance(result, control.Outdated):
            self._lease.record_fence(result.fence)
            self._orders.labels("outdated").inc()
        elif isinstance(result, kinds.Failure):
            self._orders.labels(str(result.kind)).inc()
            if result.sent:
                self._outstanding_until = max(self._outstanding_until, ends_at)
        else:
            self._orders.labels("taken").inc()
