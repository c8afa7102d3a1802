"""Selection of the endpoint that serves a request.

Engines with a known memory are selected by `enginechoice`.
"""

import math
import types
import typing

from sycamoreshed.forwarding import enginechoice
from sycamoreshed.forwarding import engineloads
from sycamoreshed.kernel import kernel
from sycamoreshed.membership import rendezvous

__all__ = ["Choice", "Placer", "connection_share"]

# The endpoint of a prefix is skipped if it has more than this many requests of
# this instance in flight above the least loaded one: repeating the prefill is
# then cheaper than waiting.
AFFINITY_SLACK = 4
# Requests spill over from the cheapest zone if its least loaded endpoint has
# more than this many requests of this instance in flight above the least
# loaded one of all zones.
SPILL_SLACK = 8
# Cost of a request or response byte that crosses regions or zones, relative
# to a byte of stage results that an engine fetches from another zone.
REGION_BYTE_COST = 120.0
ZONE_BYTE_COST = 4.0
# Bytes of the request head and of the answer, which are transferred besides
# the request body.
OVERHEAD_BYTES = 4000
# Cost of a round trip to another region, in bytes of stage results: as much as
# 1 MB, whose cost in time is `staging.delegation.TRANSFER_COST_S_PER_MB`.
REGION_TRIP_COST = 1e6
# Cost of prefilling a token of a shared prefix again, in bytes of stage
# results: a prefill delays all requests of the engine.
PREFILL_TOKEN_COST = 2500.0


def connection_share(max_connections, instances):
    """Return how many connections to an endpoint an instance may open.

    An endpoint accepts a limited number of connections from all instances
    together and resets any further ones.  A request that was sent on a
    connection that is reset has an unknown outcome, and is lost to its
    caller if it may run only once.  A request that is rejected before it
    is sent can be retried.

    Parameters
    ----------
    max_connections : int
        Connections that the endpoint accepts.
    instances : int

    Examples
    --------
    >>> connection_share(110, 9), connection_share(5, 9)
    (12, 1)
    """
    return max(1, max_connections // max(1, instances))


class Choice(typing.NamedTuple):
    """A selected endpoint and the reason for the selection.

    Parameters
    ----------
    endpoint : Endpoint
    reason : str
    healthy_count : int
        Number of available endpoints that are not avoided.
    load : Load or None
        What all instances have at an engine that was chosen by it.
    expected_s : float or None
        Seconds until the request should end there, if the engine's speed is
        known.
    """

    endpoint: typing.Any
    reason: str
    healthy_count: int
    load: typing.Any = None
    expected_s: float | None = None


class Placer:
    """Selects endpoints by zone, health, prompt prefix and load.

    Parameters
    ----------
    zone : str
        Zone of this instance.
    regions : dict of str to str
        Region of each zone.
    health : Health
    engines : EngineLoads, optional
        Engines with a known memory are chosen by it.
    told_loads : ToldLoads, optional
        Endpoints that are no engines are chosen by the load that they tell.
    speeds : Speeds, optional
    """

    def __init__(
        self,
        *,
        zone,
        regions,
        health,
        engines=None,
        told_loads=None,
        speeds=None,
    ):
        self._zone = zone
        self._told_loads = told_loads
        self._speeds = speeds
        self._regions = regions
        self._health = health
        self.engines = engines
        self._in_flight = {}

    def in_flight(self, endpoint):
        """Return how many requests of this instance an endpoint has."""
        return self._in_flight.get(endpoint.id, 0)

    def record_start(self, endpoint):
        """Count a request that is sent to an endpoint."""
        self._in_flight[endpoint.id] = self.in_flight(endpoint) + 1

    def record_end(self, endpoint):
        """Count the end of a request at an endpoint."""
        remaining = self.in_flight(endpoint) - 1
        if remaining > 0:
            self._in_flight[endpoint.id] = remaining
        else:
            self._in_flight.pop(endpoint.id, None)

    def distance(self, zone):
        """Return 0 for the own zone, 1 within the region, else 2."""
        if zone == self._zone:
            return 0
        same = self._regions.get(zone) == self._regions.get(self._zone)
        return 1 if same else 2

    def transfer_cost(self, zone, body_bytes, result_bytes):
        """Return the cost of the transfers if a zone is selected.

        The unit is a byte of stage results that crosses zones.
        """
        distance = self.distance(zone)
        byte_cost = (0.0, ZONE_BYTE_COST, REGION_BYTE_COST)[distance]
        trip_cost = (0.0, 0.0, REGION_TRIP_COST)[distance]
        fetched = sum(
            size for each, size in result_bytes.items() if each != zone
        )
        return byte_cost * (body_bytes + OVERHEAD_BYTES) + trip_cost + fetched

    def choose(
        self,
        endpoints,
        now,
        *,
        tried=(),
        affinity=None,
        shared_tokens=0,
        body_bytes=0,
        result_bytes=types.MappingProxyType({}),
        max_in_flight=math.inf,
        is_plain=False,
        needed=None,
        engine=None,
    ):
        """Select an endpoint, or return None if none is available.

        Parameters
        ----------
        endpoints : iterable of Endpoint
            Endpoints of one service, without those that are leaving.
        now : float
            Monotonic time in seconds.
        tried : collection of str
            Ids of endpoints that the request has been sent to before.
        affinity : str, optional
            Equal for requests that benefit from the same endpoint.
        shared_tokens : int
            Prompt tokens that an engine which has served an equal
            `affinity` need not prefill again.
        body_bytes : int
            Size of the request body.
        result_bytes : dict of str to int
            Bytes of stage results that the endpoint fetches, by the zone
            that stores them.
        max_in_flight : float
            Requests that this instance may have in flight at an endpoint.
        is_plain : bool
            Whether the endpoints are no engines; then the loads that they
            tell in their answers count.
        needed : Work, optional
            What the request needs of an engine.
        engine : EngineSpec, optional
            Set if the endpoints are engines.

        Returns
        -------
        Choice or None
            None as well if no engine has room for the request.

        Notes
        -----
        Avoided endpoints are used if there are no others: the recorded
        health may be wrong, whereas a request that is not sent fails with
        certainty.
        """
        available = [
            each
            for each in endpoints
            if each.id not in tried and self.in_flight(each) < max_in_flight
        ]
        healthy = [
            each
            for each in available
            if not self._health.is_avoided(each, now)
        ]
        pool = healthy or available
        if not pool:
            return None
        costs = {
            zone: self.transfer_cost(zone, body_bytes, result_bytes)
            for zone in {each.zone for each in pool}
        }
        if self.counts_room(engine, needed):
            return self._choose_engine(
                pool, len(healthy), now, costs, needed, engine, affinity
            )
        # An engine with the prefix in its cache is worth additional cost.
        # For a long prefix this admits all zones, so that all instances rank
        # the same engine first, wherever it is.
        max_cost = min(costs.values())
        if affinity is not None:
            max_cost += shared_tokens * PREFILL_TOKEN_COST
        eligible = [e for e in pool if costs[e.zone] <= max_cost]
        min_load = min(self.in_flight(each) for each in eligible)
        overall_min_load = min(self.in_flight(each) for each in pool)
        if min_load > overall_min_load + SPILL_SLACK:
            eligible, min_load = pool, overall_min_load
        if affinity is not None:
            eligible.sort(
                key=lambda each: rendezvous.rank(affinity, each.id),
                reverse=True,
            )
            for each in eligible:
                if self.in_flight(each) <= min_load + AFFINITY_SLACK:
                    return Choice(each, "prefix", len(healthy))
        if is_plain:
            selected = self._least_told(eligible, now)
            if selected is not None:
                return Choice(selected, "least told load", len(healthy))
        # Each request breaks ties in another order.  With a fixed order all
        # instances would send to the same endpoint first.
        selected = min(
            eligible,
            key=lambda each: (
                self.in_flight(each),
                rendezvous.rank(str(now), each.id),
            ),
        )
        return Choice(selected, "least in flight", len(healthy))

    def _least_told(self, endpoints, now):
        """Return the endpoint that should end one more request first.

        None if no endpoint has told its load of late.
        """
        if self._told_loads is None:
            return None
        told = {
            each.id: self._told_loads.load(each, now) for each in endpoints
        }
        if not any(told.values()):
            return None

        def rank(endpoint):
            requests = self.in_flight(endpoint)
            load = told[endpoint.id]
            if load is not None:
                requests = max(requests, load.running + load.waiting)
            share = (requests + 1) / max(1, endpoint.slots)
            if self._speeds is not None:
                share *= self._speeds.slowness(endpoint, now)
            return share, rendezvous.rank(str(now), endpoint.id)

        return min(endpoints, key=rank)

    def counts_room(self, engine, needed):
        """Return whether engines are chosen by what all instances have."""
        return (
            self.engines is not None
            and needed is not None
            and engine is not None
            and engine.memory_tokens > 0
        )

    def _choose_engine(
        self, pool, healthy_count, now, costs, needed, engine, affinity
    ):
        transfer_tokens = {
            zone: cost / PREFILL_TOKEN_COST for zone, cost in costs.items()
        }
        candidates, untold = self.engines.candidates(
            pool, now, needed, engine, transfer_tokens
        )
        if not candidates:
            return None
        picked = enginechoice.pick(
            candidates,
            needed,
            engine,
            key=str(now),
            affinity=affinity,
            untold=untold,
        )
        endpoint = picked.candidate.endpoint
        return Choice(
            endpoint,
            picked.reason,
            healthy_count,
            self.engines.load(endpoint, now),
            self.engines.seconds(endpoint, picked.cost_tokens, now),
        )

    def likely_zone(self, endpoints, now, **request):
        """Return the zone of the engine that a request will likely use.

        The results of the request's stages are best stored in that zone.

        Parameters
        ----------
        endpoints, now, **request
            As for `choose`.

        Returns
        -------
        str
            The zone of this instance if no endpoint is available.
        """
        choice = self.choose(endpoints, now, **request)
        return self._zone if choice is None else choice.endpoint.zone


@kernel.plugin(
    "placer",
    needs=("engine_load", "engine_speeds", "health", "peers", "told_loads"),
)
async def placer(core):
    """Provide the `Placer`."""
    yield Placer(
        zone=core.settings.zone,
        regions=core.settings.zones,
        health=core.part("health"),
        engines=engineloads.EngineLoads(
            view=core.part("engine_load"),
            speeds=core.part("engine_speeds"),
            count_instances=core.part("peers").count,
        ),
        told_loads=core.part("told_loads"),
        speeds=core.part("engine_speeds"),
    )
