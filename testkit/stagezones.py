"""Simulates the stages of several zones in virtual time.

The instances' `StageRunner` and the zones' coordinators are those of the
product; calls between them take as long as the way between their zones.
"""

import asyncio
import collections
import typing

from sycamoreshed.errors import kinds
from sycamoreshed.forwarding import health
from sycamoreshed.forwarding import placement
from sycamoreshed.residency import residency
from sycamoreshed.staging import delegation
from sycamoreshed.staging import selection
from testkit import journals
from testkit import stagezone

__all__ = ["Arrival", "JobRecord", "Zones"]

# One way between instances of a zone, of a region, and of different regions.
WAY_S = (0.0005, 0.0015, 0.02)


class Arrival(typing.NamedTuple):
    """A job that arrives at an instance of a zone.

    Parameters
    ----------
    at : float
        Simulated seconds.
    kind, zone : str
    job : Job
    engine_zone : str
        Where its results are needed.
    """

    at: float
    kind: str
    zone: str
    job: typing.Any
    engine_zone: str


class JobRecord(typing.NamedTuple):
    """How a job ended for its caller.

    Parameters
    ----------
    kind : str
    is_done, met_target : bool
        Whether there were results, and by the job's target time.
    result_bytes : dict of str to int
        Bytes of its results in each zone.
    engine_zone : str
    """

    kind: str
    is_done: bool
    met_target: bool
    result_bytes: dict
    engine_zone: str


class _Catalog:
    """The endpoints of all zones."""

    def __init__(self, simulated):
        self._listed = {
            key: each
            for zone in simulated
            for key, each in zone.listed.items()
        }

    def endpoints(self, service, _now):
        """Return the endpoints of a service."""
        return [e for e in self._listed.values() if e.service == service]

    def endpoint(self, key):
        """Return the endpoint with an id."""
        return self._listed.get(key)


class _Runner(delegation.StageRunner):
    """Delegates jobs to simulated zones.

    Parameters
    ----------
    simulated : dict of str to stagezone.Zone
        By name.
    distance : callable
        Takes a zone; see `Placer.distance`.
    """

    def __init__(self, *, simulated, distance, **parts):
        super().__init__(**parts)
        self._simulated = simulated
        self._distance = distance

    def free(self, handles):
        """Free results."""
        for handle in handles:
            stored = self._stored_results.pop(handle)
            coordinator = self._simulated[stored.zone].coordinator
            coordinator.free([(stored.service, stored.ref)])

    async def _run_in_zone(self, job, zone, origin, _stopping):
        way_s = WAY_S[self._distance(zone)]
        await asyncio.sleep(way_s)
        outcome = await self._simulated[zone].coordinator.run(job, origin)
        await asyncio.sleep(way_s)
        return outcome


class Zones:
    """Zones with stages, and instances in each of them.

    Parameters
    ----------
    regions : dict of str to str
        Region of each zone.
    specs : dict of str to PieceSpec
        By service.
    endpoints : dict of str to int
        Number of endpoints by service, in each zone.
    instances : int
        Number of instances in each zone; jobs go to them in turn.
    """

    def __init__(self, *, regions, specs, endpoints, instances):
        self._clock = asyncio.get_running_loop().time
        simulated = {
            zone: stagezone.Zone(
                specs=specs,
                endpoints=endpoints,
                sizes=collections.defaultdict(int),
                name=zone,
            )
            for zone in regions
        }
        self._catalog = _Catalog(simulated.values())
        self._runners = {
            zone: [
                self._build_runner(zone, regions, simulated)
                for _ in range(instances)
            ]
            for zone in regions
        }

    def _build_runner(self, zone, regions, simulated):
        journal = journals.Journal()
        observed = health.Health(journal=journal)
        placer = placement.Placer(zone=zone, regions=regions, health=observed)
        return _Runner(
            simulated=simulated,
            distance=placer.distance,
            instance="",
            zone=zone,
            catalog=self._catalog,
            selector=selection.ZoneSelector(
                catalog=self._catalog,
                residency=residency.Residency(
                    catalog=self._catalog, regions=regions
                ),
                placer=placer,
                health=observed,
            ),
            peers=None,
            session=None,
            make_coordinator=None,
            journal=journal,
            clock=self._clock,
            spawn=None,
        )

    async def play(self, load, *, fetch_s):
        """Run the jobs of a load; return a list of `JobRecord`.

        Parameters
        ----------
        load : iterable of Arrival
        fetch_s : float
            Seconds from the end of a job until an engine has fetched the
            results, so that they can be freed.
        """
        turns = collections.Counter()
        tasks = []
        for each in load:
            runners = self._runners[each.zone]
            runner = runners[turns[each.zone] % len(runners)]
            turns[each.zone] += 1
            tasks.append(self._run(runner, each, fetch_s))
        return await asyncio.gather(*tasks)

    async def _run(self, runner, arrival, fetch_s):
        await asyncio.sleep(arrival.at - self._clock())
        handles = []
        result = await runner.run(
            arrival.job,
            handles,
            engine_zone=arrival.engine_zone,
        )
        is_done = not isinstance(result, kinds.Failure)
        due_at = arrival.at + arrival.job.target_s
        record = JobRecord(
            arrival.kind,
            is_done,
            is_done and self._clock() <= due_at,
            runner.zone_bytes(handles, arrival.job.stages),
            arrival.engine_zone,
        )
        await asyncio.sleep(fetch_s)
        runner.free(handles)
        return record
