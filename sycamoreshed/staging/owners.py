"""Which instance batches the pieces of a service in a zone.

An endpoint that works on one call at a time is best fed by one queue.  For
each service and zone the instances there agree on who keeps it by
rendezvous hashing over the registered ones: no message, and another one at
once when it does not answer.
"""

import typing

import msgspec

from sycamoreshed.adapters import web
from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel
from sycamoreshed.membership import rendezvous
from sycamoreshed.staging import batching
from sycamoreshed.staging import pieces

__all__ = ["MAKE_PATH", "Owners"]

MAKE_PATH = "/control/pieces"
FREE_PATH = "/control/results/free"
# For a call to another instance, on top of the time the pieces have.
EXTRA_S = 0.3
FREE_TIMEOUT_S = 0.5
# How long what another zone's queue said of itself is gone by.
WAIT_VALID_S = 1.0
# What another zone's queue must be shorter by for each step of distance:
# both ways between regions take 40 ms, twice for what its answer leaves out
# by being old.
CROSSING_S = 0.04
# And for each megabyte that would cross zones, which is paid: 7.5 MB cost
# about a tenth of what a request is worth, for which its answer may as well
# come 0.3 s later.
CROSSING_S_MB = 0.04
MB = 1e6


class _Told(typing.NamedTuple):
    waits: pieces.Waits
    at: float


NO_WAIT = pieces.Waits(0.0, 0.0)


class _Maker(typing.NamedTuple):
    service: str
    zone: str
    endpoint: str


class Owners:
    """Has pieces made by the instance that batches them.

    Parameters
    ----------
    own, zone : str
        This instance's name and zone.
    catalog : Catalog
    peers : PeerBook
    placer : Placer
    health : Health
    session : aiohttp.ClientSession
    make_batcher : callable
        Takes a `Service` and a function of the time that returns its
        endpoints, returns a `Batcher`.
    clock : callable
    """

    def __init__(
        self,
        *,
        own,
        zone,
        catalog,
        peers,
        placer,
        health,
        session,
        make_batcher,
        clock,
    ):
        self._own = own
        self._zone = zone
        self._catalog = catalog
        self._peers = peers
        self._placer = placer
        self._health = health
        self._session = session
        self._make_batcher = make_batcher
        self._clock = clock
        self._batchers = {}
        self._told = {}
        self._makers = {}

    async def make(self, ask, *, avoid=()):
        """Have pieces made; return a `Made` or a `Failure`.

        Parameters
        ----------
        ask : Ask
        avoid : collection of str
            Zones that were tried already.
        """
        now = self._clock()
        zone = self.choose_zone(ask, now, avoid)
        if zone is None:
            return kinds.Failure(
                kinds.Kind.NO_ENDPOINT, f"no endpoint of {ask.service}"
            )
        name, control = self._owner(ask.service, zone, now)
        if name == self._own:
            made = await self.make_here(ask, zone)
        else:
            made = await self._make_there(control, ask, zone)
        if isinstance(made, pieces.Made):
            self._told[ask.service, zone] = _Told(made.waits, self._clock())
            for result in made.results:
                if result.handle is not None:
                    self._makers[result.handle] = _Maker(
                        ask.service, zone, result.maker
                    )
        return made

    async def make_here(self, ask, zone):
        """Have pieces made by this instance with a zone's endpoints."""
        service = self._service(ask.service)
        if service is None:
            return kinds.Failure(
                kinds.Kind.NO_ENDPOINT, f"{ask.service} takes no pieces"
            )
        return await self._batcher(service, zone).make(ask)

    def free(self, handles):
        """Give up results, each by who had it made.

        Returns
        -------
        list of coroutine
            To be run by the caller.
        """
        by_queue = {}
        for handle in handles:
            maker = self._makers.pop(handle, None)
            if maker is not None:
                key = (maker.service, maker.zone)
                held = pieces.Held(handle, maker.endpoint)
                by_queue.setdefault(key, []).append(held)
        return [
            self._free(service, zone, each)
            for (service, zone), each in by_queue.items()
        ]

    def free_here(self, name, zone, results):
        """Give up results in a zone whose pieces this instance batches."""
        service = self._service(name)
        if service is not None:
            self._batcher(service, zone).free(results)

    def choose_zone(self, ask, now, avoid=()):
        """Return the zone whose queue should take pieces, or None."""
        service = ask.service
        zones = {}
        for each in self._catalog.endpoints(service, now):
            good = not self._health.is_out(each, now)
            zones.setdefault(each.zone, []).append(good)
        left = [zone for zone in zones if zone not in avoid] or list(zones)
        if not left:
            return None

        def cost(zone):
            waits = self._expected(service, zone, now)
            wait = waits.timely if ask.aim_s >= 0 else waits.late
            wait += CROSSING_S * self._placer.distance(zone)
            wait += CROSSING_S_MB * self._crossing(ask, zone) / MB
            return not any(zones[zone]), wait, zone

        return min(left, key=cost)

    def zone_bytes(self, handles, sizes):
        """Return the bytes of results that lie in each zone.

        Parameters
        ----------
        handles : list of str
        sizes : list of int
            Approximate bytes of each.
        """
        found = {}
        for handle, size in zip(handles, sizes, strict=True):
            maker = self._makers.get(handle)
            if maker is not None:
                found[maker.zone] = found.get(maker.zone, 0) + size
        return found

    def _crossing(self, ask, zone):
        """Return the bytes that cross zones if pieces are made in one.

        Each piece fetches all inputs; what it makes is fetched by an
        engine, most likely of this instance's zone, or by pieces of the
        next stage, which can follow it.
        """
        count = len(ask.indices)
        sizes = [ask.input_size] * len(ask.inputs)
        held = self.zone_bytes(ask.inputs, sizes)
        away = sum(size for each, size in held.items() if each != zone)
        crossing = count * away
        if ask.is_final and zone != self._zone:
            crossing += count * ask.size
        return crossing

    def expected_waits(self, service, now):
        """Return the least `Waits` for pieces in any zone, as told."""
        zones = {e.zone for e in self._catalog.endpoints(service, now)}
        found = [NO_WAIT] if not zones else []
        for zone in zones:
            waits = self._expected(service, zone, now)
            crossing = CROSSING_S * self._placer.distance(zone)
            found.append(
                pieces.Waits(waits.timely + crossing, waits.late + crossing)
            )
        return min(found)

    def _expected(self, service, zone, now):
        told = self._told.get((service, zone))
        if told is None or now - told.at > WAIT_VALID_S:
            return NO_WAIT
        # What was told grows stale: pieces are worked off meanwhile.
        age = now - told.at
        return pieces.Waits(
            max(0.0, told.waits.timely - age),
            max(0.0, told.waits.late - age),
        )

    def _owner(self, service, zone, now):
        candidates = self._peers.of_zone(zone, now)
        if not candidates:
            # Nobody there to batch them: better one call too many than
            # an endpoint nobody uses.
            return self._own, None
        (name,) = rendezvous.top(f"{service}|{zone}", candidates, 1)
        return name, candidates[name]

    async def _make_there(self, control, ask, zone):
        reply = await web.fetch(
            self._session,
            "POST",
            control,
            f"{MAKE_PATH}?zone={zone}",
            timeout=ask.until_s + EXTRA_S,
            body=ask,
        )
        if isinstance(reply, kinds.Failure):
            self._peers.failed(control, self._clock(), reply.reason)
            return reply
        if reply.status != 200:
            return kinds.Failure(
                kinds.Kind.NO_ENDPOINT, f"instance answered {reply.status}"
            )
        self._peers.answered(control)
        return msgspec.convert(reply.body, pieces.Made)

    async def _free(self, service, zone, results):
        now = self._clock()
        name, control = self._owner(service, zone, now)
        if name == self._own:
            self.free_here(service, zone, results)
            return
        await web.fetch(
            self._session,
            "POST",
            control,
            f"{FREE_PATH}?service={service}&zone={zone}",
            timeout=FREE_TIMEOUT_S,
            body=results,
        )

    def _service(self, name):
        configuration = self._catalog.configuration
        service = configuration and configuration.services.get(name)
        return service if service and service.pieces else None

    def _batcher(self, service, zone):
        key = (service.name, zone)
        if key not in self._batchers:

            def endpoints(now):
                found = [
                    each
                    for each in self._catalog.endpoints(service.name, now)
                    if each.zone == zone
                ]
                good = [e for e in found if not self._health.is_out(e, now)]
                # The evidence may be wrong; pieces that wait for
                # endpoints to come back are late for certain.
                return good or found

            self._batchers[key] = self._make_batcher(service, endpoints)
        return self._batchers[key]


@kernel.plugin(
    "owners",
    needs=(
        "catalog",
        "endpoint_client",
        "health",
        "journal",
        "peers",
        "placer",
        "platform",
        "web",
    ),
)
async def owners(core):
    """Provide the way to have pieces made."""

    def make_batcher(service, endpoints):
        return batching.Batcher(
            service=service,
            endpoints=endpoints,
            client=core.part("endpoint_client"),
            codec=core.part("platform"),
            health=core.part("health"),
            journal=core.part("journal"),
            clock=core.clock,
            spawn=core.spawn,
        )

    yield Owners(
        own=core.settings.instance,
        zone=core.settings.zone,
        catalog=core.part("catalog"),
        peers=core.part("peers"),
        placer=core.part("placer"),
        health=core.part("health"),
        session=core.part("web"),
        make_batcher=make_batcher,
        clock=core.clock,
    )
