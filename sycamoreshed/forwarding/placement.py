"""Chooses the endpoint of a request."""

import math
import types
import typing

from sycamoreshed.kernel import kernel
from sycamoreshed.membership import rendezvous

__all__ = ["Choice", "Placer", "connection_share"]

# A prefix's own endpoint is skipped when it has this many more requests in
# flight than the least loaded one: reading the prompt again is cheaper then.
AFFINITY_SLACK = 4
# The cheapest zone is left when its least loaded endpoint has this many more
# requests in flight than the least loaded of all.
SPILL_SLACK = 8
# Cost of a byte that crosses on the way of a request, relative to a byte of
# results that an engine fetches from another zone.
REGION_WEIGHT = 120.0
ZONE_WEIGHT = 4.0
# Head and answer, which cross besides the body.
OVERHEAD_BYTES = 4000
# Cost of a round trip to another region, in bytes of results; see
# `delegation.CROSSING_S_MB`.
REGION_WAY = 1e6
# Cost of a token of a shared prefix that an engine reads again, in bytes of
# results: all requests of the engine wait meanwhile.
REREAD_WEIGHT = 2500.0


def connection_share(most, instances):
    """Return how many connections of an endpoint an instance may have.

    An endpoint resets those beyond what it takes from all instances
    together.  Whether a request that was sent on one of them ran is then
    unknown, and one that may run once only is lost to its caller; refused
    before it is sent, it can come back.

    Parameters
    ----------
    most : int
        Connections the endpoint takes.
    instances : int

    Examples
    --------
    >>> connection_share(110, 9), connection_share(5, 9)
    (12, 1)
    """
    return max(1, most // max(1, instances))


class Choice(typing.NamedTuple):
    """An endpoint, and why it was chosen.

    Parameters
    ----------
    endpoint : Endpoint
    why : str
    of : int
        Endpoints that are not avoided and had not been tried.
    """

    endpoint: typing.Any
    why: str
    of: int


class Placer:
    """Chooses endpoints by zone, health, prefix and load.

    Parameters
    ----------
    zone : str
        Of this instance.
    regions : dict of str to str
        Region of each zone.
    health : Health
    """

    def __init__(self, *, zone, regions, health):
        self._zone = zone
        self._regions = regions
        self._health = health
        self._in_flight = {}

    def in_flight(self, endpoint):
        """Return the requests this instance has at an endpoint."""
        return self._in_flight.get(endpoint.id, 0)

    def begin(self, endpoint):
        """Count a request sent to an endpoint."""
        self._in_flight[endpoint.id] = self.in_flight(endpoint) + 1

    def end(self, endpoint):
        """Count the end of a request at an endpoint."""
        left = self.in_flight(endpoint) - 1
        if left > 0:
            self._in_flight[endpoint.id] = left
        else:
            self._in_flight.pop(endpoint.id, None)

    def distance(self, zone):
        """Return 0 for the own zone, 1 within the region, else 2."""
        if zone == self._zone:
            return 0
        same = self._regions.get(zone) == self._regions.get(self._zone)
        return 1 if same else 2

    def crossing(self, zone, body_bytes, held):
        """Return the weighted bytes that cross if a zone is chosen."""
        distance = self.distance(zone)
        weight = (0.0, ZONE_WEIGHT, REGION_WEIGHT)[distance]
        way = (0.0, 0.0, REGION_WAY)[distance]
        fetched = sum(size for each, size in held.items() if each != zone)
        return weight * (body_bytes + OVERHEAD_BYTES) + way + fetched

    def choose(
        self,
        endpoints,
        now,
        *,
        tried=(),
        affinity=None,
        shared_tokens=0,
        body_bytes=0,
        held=types.MappingProxyType({}),
        most=math.inf,
    ):
        """Choose an endpoint, or return None if there is none.

        Parameters
        ----------
        endpoints : iterable of Endpoint
            Of one service, none of them leaving.
        now : float
            Monotonic time in seconds.
        tried : collection of str
            Ids of endpoints that had the request already.
        affinity : str, optional
            Equal for requests that gain from the same endpoint.
        shared_tokens : int
            What an engine need not read again if it had the same before.
        body_bytes : int
            Of the request.
        held : dict of str to int
            Bytes that the endpoint fetches, by the zone they lie in.
        most : float
            Requests that this instance may have at an endpoint.

        Returns
        -------
        Choice or None

        Notes
        -----
        Endpoints that are avoided are taken when there are no others:
        the evidence may be wrong, and a request that is refused unsent
        is refused for certain.
        """
        left = [
            each
            for each in endpoints
            if each.id not in tried and self.in_flight(each) < most
        ]
        good = [
            each for each in left if not self._health.is_avoided(each, now)
        ]
        pool = good or left
        if not pool:
            return None
        costs = {
            zone: self.crossing(zone, body_bytes, held)
            for zone in {each.zone for each in pool}
        }
        # An engine that keeps the prefix is worth a way; where the prefix
        # is long, all instances take the same engine, wherever it is.
        most_cost = min(costs.values())
        if affinity is not None:
            most_cost += shared_tokens * REREAD_WEIGHT
        near = [e for e in pool if costs[e.zone] <= most_cost]
        least = min(self.in_flight(each) for each in near)
        least_of_all = min(self.in_flight(each) for each in pool)
        if least > least_of_all + SPILL_SLACK:
            near, least = pool, least_of_all
        if affinity is not None:
            near.sort(
                key=lambda each: rendezvous.rank(affinity, each.id),
                reverse=True,
            )
            for each in near:
                if self.in_flight(each) <= least + AFFINITY_SLACK:
                    return Choice(each, "prefix", len(good))
        # Ties are broken differently by each request, or all instances
        # would send to the same one first.
        pick = min(
            near,
            key=lambda each: (
                self.in_flight(each),
                rendezvous.rank(str(now), each.id),
            ),
        )
        return Choice(pick, "least in flight", len(good))

    def likely_zone(self, endpoints, now, **request):
        """Return the zone of the engine that a request will go to.

        Results of its stages best lie there.

        Parameters
        ----------
        endpoints, now, **request
            As `choose` takes them.

        Returns
        -------
        str
            The own zone if there is no endpoint just now.
        """
        choice = self.choose(endpoints, now, **request)
        return self._zone if choice is None else choice.endpoint.zone


@kernel.plugin("placer", needs=("health",))
async def placer(core):
    """Provide the choice of endpoints."""
    yield Placer(
        zone=core.settings.zone,
        regions=core.settings.zones,
        health=core.part("health"),
    )
