"""The plug-in that shares engines' load with other instances."""

import functools
import math

from sycamoreshed.adapters import web
from sycamoreshed.engineload import messages
from sycamoreshed.engineload import sharing
from sycamoreshed.engineload import telling
from sycamoreshed.kernel import kernel

__all__ = ["NoSharing"]


class NoSharing:
    """Goes by the counts of this instance alone."""

    def age_s(self, _now):
        """Return infinity: nothing is learnt."""
        return math.inf

    def collector(self, _now):
        """Return that there is none."""

    async def refresh(self, _now):
        """Return at once."""

    def receive(self, _raw):
        """Ignore a message."""


async def _send(core, control, counts, timeout_s):
    return await web.fetch(
        core.part("web"),
        "POST",
        control,
        messages.PATH,
        timeout=timeout_s,
        body=counts,
    )


def _count_requests(core):
    """Return how many requests all instances have at engines."""
    view = core.part("engine_load")
    own = view.ledger.loads().values()
    others = view.all_others(core.clock()).values()
    return sum(each.requests for each in (*own, *others))


@kernel.plugin(
    "load_sharing",
    needs=(
        "engine_load",
        "engine_speeds",
        "gateway_metrics",
        "journal",
        "peers",
        "web",
    ),
)
async def load_sharing(core):
    """Share the load of engines while the daemon runs."""
    settings = core.settings
    metrics = core.part("gateway_metrics")
    metrics.export_engine_requests(lambda: _count_requests(core))
    if not settings.share_engine_load:
        yield NoSharing()
        return
    part = sharing.LoadSharing(
        own=settings.instance,
        zone=settings.zone,
        regions=settings.zones,
        view=core.part("engine_load"),
        speeds=core.part("engine_speeds"),
        peers=core.part("peers"),
        teller=telling.Teller(
            own=settings.instance,
            zone=settings.zone,
            boot=core.unix_ms(),
            send=functools.partial(_send, core),
            peers=core.part("peers"),
            journal=core.part("journal"),
            metrics=metrics,
            clock=core.clock,
        ),
        spawn=core.spawn,
        clock=core.clock,
    )
    metrics.export_engine_load_age(lambda: part.age_s(core.clock()))
    core.keep_running(part.run, name="share load of engines")
    core.keep_running(part.run_totals, name="tell totals of engines' load")
    yield part
