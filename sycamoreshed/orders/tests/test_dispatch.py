"""Giving an order while the configuration changes."""

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
    size=1.0,
    interrupts=True,
    why="version",
)


class Lease:
    """A lease that stays valid; its row names a configuration."""

    fence = 3
    config = 7
    terms = types.SimpleNamespace(longest=10.0)

    def is_valid(self, _now):
        """Return that it is held."""
        return True


class Engines:
    """Takes orders that are still allowed when they leave."""

    def __init__(self):
        self.taken = []

    async def read_load(self, _endpoint, *, timeout):
        """Tell that nothing is under way."""
        return {"running": 0}

    async def send_order(self, _endpoint, order, *, timeout, is_allowed):
        """Take an order."""
        if not is_allowed():
            return kinds.Failure(kinds.Kind.REFUSED, "not allowed any more")
        self.taken.append(order)
        return True


async def send(*, config_after):
    """Give an order; the lease's row names another version meanwhile."""
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
        dispatch.SPREAD_S / 2, setattr, lease, "config", config_after
    )
    taken = await dispatcher.send(engine, LOAD_OLD, lease.fence)
    return taken, engines.taken


def test_an_order_of_a_replaced_configuration_is_not_given():
    """Operators change their mind while an engine is being emptied.

    The order was planned for the version before.  Sent all the same, and in
    the name of the new version, it would load what operators had just
    replaced: callers would be answered by it for as long as loading it and
    then the right one takes.
    """
    assert virtualtime.run(send(config_after=8)) == (False, [])


def test_an_order_names_the_configuration_that_it_was_planned_for():
    taken, (order,) = virtualtime.run(send(config_after=7))
    assert taken
    assert (order["fence"], order["config"]) == (3, 7)
