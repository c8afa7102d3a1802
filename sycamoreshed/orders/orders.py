"""The plug-in of orders to engines."""

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
    """Provide the zone's reconciler, and hand its duty over on a stop."""
    loading = unavailable.UnavailableEngines(
        gossip=core.part("gossip"), instance=core.settings.instance
    )
    core.part("membership").exclude(loading.names)
    lease = _lease(core)
    held = _leadership(core, lease)
    part = _reconciler(core, lease, held, loading)
    core.control.router.add_get("/control/orders", part.status)
    core.spawn(held.run(), name="lease on orders")
    core.spawn(part.run(), name="orders")
    core.spawn(_stop_with(core, part), name="end of orders")
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


def _reconciler(core, lease, held, loading):
    dispatcher = dispatch.Dispatcher(
        lease=lease,
        client=core.part("engines"),
        unavailable=loading,
        clock=core.clock,
        log=core.part("decisions"),
        registry=core.part("metrics").registry,
    )
    return reconciler.Reconciler(
        leadership=held,
        lease=lease,
        dispatcher=dispatcher,
        zone=core.settings.zone,
        notes=core.part("notes"),
        client=core.part("engines"),
        pace=pacing.LoadPacer(rate=core.settings.weight_rate),
        unavailable=loading,
        settings=core.settings,
        clock=core.clock,
    )


async def _stop_with(core, part):
    await core.stopping.wait()
    await part.stop()
