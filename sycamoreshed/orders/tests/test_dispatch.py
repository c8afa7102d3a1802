"""Sending an order while the configuration changes."""

import asyncio
import types

import prometheus_client

from sycamoreshed.errors import kinds
from sycamoreshed.observe import logs
from sycamoreshed.orders import dispatch
from sycamoreshed.orders import rollout
from testkit import virtualtime

LOAD_OLD = rollout.Step(
    engine="language-1",
    target={"model": "m", "version": "old"},
    load_bytes=1.0,
    interrupts=True,
    reason="version",
)


class Lease:
    """A lease that stays valid; its row holds a configuration version."""

    fence = 3
    config = 7
    terms = types.SimpleNamespace(max_order_s=10.0)

    def is_valid(self, _now):
        """Return that the lease is valid."""
        return True


class Engines:
    """Accepts orders that are still allowed when they are sent."""

    def __init__(self):
        self.accepted = []

    async def read_load(self, _endpoint, *, timeout):
        """Report that no call is running."""
        return {"running": 0}

    async def send_order(self, _endpoint, order, *, timeout, is_allowed):
        """Accept an order if it is still allowed."""
        if not is_allowed():
            return kinds.Failure(kinds.Kind.REFUSED, "not allowed any more")
        self.accepted.append(order)
        return True


async def send(*, config_after):
    """Send an order while the version in the lease's row changes."""
    loop = asyncio.get_running_loop()
    lease, engines = Lease(), Engines()
    dispatcher = dispatch.Dispatcher(
        lease=lease,
        client=engines,
        unavailable=types.SimpleNamespace(report=lambda *_: None),
        clock=loop.time,
        log=logs.DecisionLog(),
        registry=prometheus_client.CollectorRegistry(),
    )
    engine = types.SimpleNamespace(name="language-1", endpoint=None)
    loop.call_later(
        dispatch.REPORT_SPREAD_S / 2, setattr, lease, "config", config_after
    )
    accepted = await dispatcher.send(engine, LOAD_OLD, lease.fence)
    return accepted, engines.accepted


def test_order_of_a_replaced_configuration_is_not_sent():
    """Operators change the configuration while an engine is drained.

    The order was planned for the previous version.  Sent under the new
    version, it would load the model that operators have just replaced, and
    callers would be served by it until the right one has loaded as well.
    """
    assert virtualtime.run(send(config_after=8)) == (False, [])


def test_order_names_the_configuration_it_was_planned_for():
    accepted, (order,) = virtualtime.run(send(config_after=7))
    assert accepted
    assert (order["fence"], order["config"]) == (3, 7)
