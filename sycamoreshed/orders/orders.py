"""Reconciles what engines have loaded with the configuration."""

import asyncio

from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel
from sycamoreshed.orders import leases

__all__ = ["Reconciler", "wanted"]

ROUND_S = 1.0
ORDER_S = 2.0


def wanted(config, zone):
    """Return what each engine of a zone should have loaded.

    Parameters
    ----------
    config : Config
    zone : str

    Returns
    -------
    dict of str to dict
        Model, version and adapters, by endpoint name.
    """
    result = {}
    engines = [
        item
        for service, items in sorted(config.endpoints.items())
        if config.sections["services"][service]["kind"] == "engine"
        for item in items
        if item.zone == zone
    ]
    engines.sort()
    for name in sorted(config.sections["placements"]):
        spec = config.sections["placements"][name]
        for _ in range(spec["replicas"].get(zone, 0)):
            if not engines:
                break
            engine = engines.pop(0)
            result[engine.name] = {
                "model": spec["model"],
                "version": spec["version"],
                "adapters": spec.get("adapters", []),
            }
    return result


class Reconciler:
    """Gives orders for one zone while it holds the zone's lease."""

    def __init__(self, *, lease, zone, notes, client, clock, log):
        self._lease = lease
        self._zone = zone
        self._notes = notes
        self._client = client
        self._clock = clock
        self._log = log

    async def run(self):
        """Reconcile again and again."""
        while True:
            if await self._lease.renew(self._clock):
                await self._round()
            await asyncio.sleep(ROUND_S)

    async def _round(self):
        config = self._notes.config
        targets = wanted(config, self._zone)
        for items in config.endpoints.values():
            for endpoint in items:
                if endpoint.name in targets:
                    await self._bring(endpoint, targets[endpoint.name])

    async def _bring(self, endpoint, target):
        state = await self._client.ask(
            endpoint, "GET", "/state", timeout=ORDER_S
        )
        if isinstance(state, kinds.Failure):
            return
        if state.body["loaded"] == target:
            return
        now = self._clock()
        # Right before sending: a holder that was paused since the renewal
        # would otherwise overwrite the orders of the next one.
        if not self._lease.valid(now):
            return
        order = {"fence": self._lease.fence, "target": target}
        self._log.write(
            now, "place", endpoint=endpoint.name, choice=target, why="note"
        )
        await self._client.ask(
            endpoint, "POST", "/orders", timeout=ORDER_S, body=order
        )


@kernel.plugin("orders", needs=("decisions", "endpoints", "notes", "table"))
async def orders(core):
    """Provide the zone's reconciler."""
    zone = core.settings.zone
    lease = leases.Lease(
        table=core.part("table"),
        name=f"orders/{zone}",
        holder=core.settings.instance,
    )
    part = Reconciler(
        lease=lease,
        zone=zone,
        notes=core.part("notes"),
        client=core.part("endpoints"),
        clock=core.clock,
        log=core.part("decisions"),
    )
    core.spawn(part.run(), name="orders")
    yield part
