"""Plug-in that sends orders to engines."""

from sycamoreshed.kernel import kernel
from sycamoreshed.orders import dispatch
from sycamoreshed.orders import leadership
from sycamoreshed.orders import leaseclient
from sycamoreshed.orders import pacing
from sycamoreshed.orders import reconciler
from sycamoreshed.orders import records
from sycamoreshed.orders import unavailable

__all__ = ["orders"]

NEEDS = (
    "decisions",
    "engines",
    "gossip",
    "membership",
    "metrics",
    "notes",
    "table",
)


@kernel.plugin("orders", needs=NEEDS)
async def orders(core):
    """Provide the zone's reconciler, and release its lease on a stop."""
    unavailable_engines = unavailable.UnavailableEngines(
        gossip=core.part("gossip"), instance=core.settings.instance
    )
    core.part("membership").exclude(unavailable_engines.names)
    lease = _lease(core)
    zone_leadership = _leadership(core, lease)
    part = _reconciler(core, lease, zone_leadership, unavailable_engines)
    core.control.router.add_get("/control/orders", part.status)
    core.keep_running(zone_leadership.run, name="lease on orders")
    core.keep_running(part.run, name="orders")
    core.spawn(_stop_on_shutdown(core, part), name="end of orders")
    yield part
    await part.stop()


def _lease(core):
    settings = core.settings
    return leaseclient.Lease(
        table=core.part("table"),
        name=f"orders/{settings.zone}",
        holder=settings.instance,
        terms=records.Terms(
            settings.lease_s, settings.lease_margin_s, settings.order_longest_s
        ),
        clock=core.clock,
    )


def _leadership(core, lease):
    settings = core.settings
    gossip = core.part("gossip")

    def peers(now):
        alive = gossip.view.alive(now)
        return [item.name for item in alive if item.zone == settings.zone]

    return leadership.Leadership(
        lease=lease,
        zone=settings.zone,
        instance=settings.instance,
        notes=core.part("notes"),
        peers=peers,
        clock=core.clock,
        registry=core.part("metrics").registry,
    )


def _reconciler(core, lease, zone_leadership, unavailable_engines):
    dispatcher = dispatch.Dispatcher(
        lease=lease,
        client=core.part("engines"),
        unavailable=unavailable_engines,
        clock=core.clock,
        log=core.part("decisions"),
        registry=core.part("metrics").registry,
    )
    return reconciler.Reconciler(
        leadership=zone_leadership,
        lease=lease,
        dispatcher=dispatcher,
        zone=core.settings.zone,
        notes=core.part("notes"),
        client=core.part("engines"),
        pacer=pacing.LoadPacer(rate=core.settings.weight_rate),
        unavailable=unavailable_engines,
        settings=core.settings,
        clock=core.clock,
    )


async def _stop_on_shutdown(core, part):
    await core.stopping.wait()
    await part.stop()
