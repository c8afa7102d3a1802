"""Plug-in of the stages, and the coordinators of this instance."""

import functools

from sycamoreshed.engineload import told
from sycamoreshed.kernel import kernel
from sycamoreshed.staging import batching
from sycamoreshed.staging import coordinator
from sycamoreshed.staging import delegation
from sycamoreshed.staging import selection

__all__ = []


def _find_service(core, name):
    configuration = core.part("catalog").configuration
    service = configuration and configuration.services.get(name)
    return service if service and service.pieces else None


def _endpoints(core, zone, name, now):
    """Return the endpoints that a zone's queue of a service may use."""
    health = core.part("health")
    listed = core.part("catalog").endpoints(name, now)
    exhausted = core.part("limiter").exhausted(now)
    healthy = [
        each
        for each in listed
        if not health.is_avoided(each, now) and each.id not in exhausted
    ]
    # The health records may be wrong, while pieces that wait for endpoints
    # to recover are certainly late.
    usable = healthy or list(listed)
    local = [each for each in usable if each.zone == zone]
    regions = core.settings.zones
    nearby = [
        each for each in usable if regions.get(each.zone) == regions.get(zone)
    ]
    return local or nearby or usable


def _coordinator(core, zone):
    def make_batcher(service, endpoints, scheduler):
        return batching.Batcher(
            service=service,
            endpoints=endpoints,
            allows=core.part("residency").allows,
            find_endpoint=core.part("catalog").endpoint,
            scheduler=scheduler,
            sender=core.part("endpoint_sender"),
            codec=core.part("platform"),
            health=core.part("health"),
            crashes=core.part("crashes"),
            limiter=core.part("limiter"),
            journal=core.part("journal"),
            clock=core.clock,
            tasks=core.tasks,
            told_slowdown=functools.partial(
                core.part("told_loads").slowdown, max_age_s=told.LOAD_TTL_S
            ),
        )

    return coordinator.Coordinator(
        zone=zone,
        find_service=functools.partial(_find_service, core),
        endpoints=functools.partial(_endpoints, core, zone),
        make_batcher=make_batcher,
        crashes=core.part("crashes"),
        budget=core.part("budget"),
        stop_deadline=core.part("stop_deadline"),
        journal=core.part("journal"),
        clock=core.clock,
    )


@kernel.plugin(
    "stages",
    needs=(
        "budget",
        "catalog",
        "crashes",
        "endpoint_sender",
        "health",
        "journal",
        "limiter",
        "peers",
        "placer",
        "platform",
        "residency",
        "stop_deadline",
        "told_loads",
        "web",
    ),
)
async def stages(core):
    """Provide the `StageRunner`."""
    yield delegation.StageRunner(
        instance=core.settings.instance,
        zone=core.settings.zone,
        catalog=core.part("catalog"),
        selector=selection.ZoneSelector(
            catalog=core.part("catalog"),
            residency=core.part("residency"),
            placer=core.part("placer"),
            health=core.part("health"),
        ),
        peers=core.part("peers"),
        session=core.part("web"),
        make_coordinator=functools.partial(_coordinator, core),
        journal=core.part("journal"),
        clock=core.clock,
        spawn=core.spawn,
    )
