"""Which instance takes a request through its stages, and in which zone.

Endpoints that work on one call at a time are best fed by one queue.  The
instances of a zone agree on who keeps it by rendezvous hashing over the
registered ones: no message, and another one at once when it does not
answer.
"""

import functools
import typing

import msgspec

from sycamoreshed.adapters import web
from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel
from sycamoreshed.membership import rendezvous
from sycamoreshed.staging import batching
from sycamoreshed.staging import coordinator
from sycamoreshed.staging import pieces

__all__ = ["FREE_PATH", "RUN_PATH", "FreedResult", "StageRunner"]

RUN_PATH = "/control/stages"
FREE_PATH = "/control/results/free"
# For a call to another instance, on top of the time the job has.
EXTRA_S = 0.3
FREE_TIMEOUT_S = 0.5
# Time to live of a zone's reported backlog.
BACKLOG_TTL_S = 1.0
# Another zone's backlog must be shorter by this for each step of distance.
CROSSING_S = 0.04
# And by this for each megabyte of results that would cross zones, which is
# paid for.
CROSSING_S_MB = 0.04
MB = 1e6
# Instances that are asked in turn for one job.
MOST_ASKED = 3


class FreedResult(typing.NamedTuple):
    """A result that is given up, and the service that made it."""

    service: str
    held: pieces.Held


class _Told(typing.NamedTuple):
    backlog_s: dict
    at: float


class _Origin(typing.NamedTuple):
    service: str
    zone: str
    held: pieces.Held


class StageRunner:
    """Has the stages of requests run, here or by another instance.

    Parameters
    ----------
    own, zone : str
        This instance's name and zone.
    catalog : Catalog
    peers : PeerBook
    placer : Placer
    health : Health
    session : aiohttp.ClientSession
    make_coordinator : callable
        Takes a zone, returns its `Coordinator`.
    journal : Journal
    clock : callable
    spawn : callable
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
        make_coordinator,
        journal,
        clock,
        spawn,
    ):
        self._own = own
        self._zone = zone
        self._catalog = catalog
        self._peers = peers
        self._placer = placer
        self._health = health
        self._session = session
        self._make_coordinator = make_coordinator
        self._journal = journal
        self._clock = clock
        self._spawn = spawn
        self._coordinators = {}
        self._told = {}
        self._origins = {}

    async def run(self, job, kept, *, engine_zone):
        """Run the stages of a request.

        Parameters
        ----------
        job : Job
        kept : list of str
            Gets the handles of results; `free` them when nobody needs
            them any more.
        engine_zone : str
            Zone of the engine that will fetch them.

        Returns
        -------
        list of str or Failure
            Handles of the final stages' results, in order.  Work on
            pieces is no run of the request, so a failure is never sent.
        """
        if not any(stage.count for stage in job.stages):
            return []
        avoid = set()
        began = self._clock()
        given = job
        for _ in range(MOST_ASKED):
            now = self._clock()
            zone = self.choose_zone(job, now, engine_zone, avoid)
            if zone is None:
                return kinds.Failure(
                    kinds.Kind.NO_ENDPOINT, "no endpoint for a stage"
                )
            spent = now - began
            job = given._replace(
                target_s=given.target_s - spent,
                soft_limit_s=given.soft_limit_s - spent,
                hard_limit_s=given.hard_limit_s - spent,
            )
            if job.hard_limit_s <= 0:
                break
            done = await self._ask(job, zone)
            if not isinstance(done, kinds.Failure):
                self._told[zone] = _Told(done.backlog_s, self._clock())
                if done.results is not None:
                    return self._keep(job, zone, done.results, kept)
                if done.is_late:
                    return kinds.Failure(
                        kinds.Kind.HOPELESS, done.why, False, done.retry_s
                    )
                avoid.add(zone)
                failure = kinds.Failure(kinds.Kind.STAGE_FAILED, done.why)
            else:
                failure = done._replace(sent=False)
            self._journal.write(
                "retry",
                request=job.request,
                attempt=None,
                why=f"stages in {zone}: {failure.reason}",
                budget=None,
            )
        if job.hard_limit_s <= 0:
            return kinds.Failure(kinds.Kind.HOPELESS, "no time for stages")
        return failure

    async def run_locally(self, job, zone):
        """Run a job with the endpoints of a zone, by this instance."""
        return await self._coordinator(zone).run(job)

    def free(self, handles):
        """Give up results, through who had them made."""
        by_zone = {}
        for handle in handles:
            origin = self._origins.pop(handle, None)
            if origin is not None:
                freed = FreedResult(origin.service, origin.held)
                by_zone.setdefault(origin.zone, []).append(freed)
        for zone, freed in by_zone.items():
            name, control = self._owner(zone, self._clock())
            if name == self._own:
                self.free_locally(zone, freed)
            else:
                call = self._free_there(zone, control, freed)
                self._spawn(call, name="free results")

    def free_locally(self, zone, freed):
        """Give up results in a zone that this instance coordinates."""
        self._coordinator(zone).free(freed)

    def zone_bytes(self, handles, stages):
        """Return the bytes of final results that lie in each zone.

        Parameters
        ----------
        handles : list of str
        stages : tuple of Stage
        """
        sizes = {stage.service: stage.result_bytes for stage in stages}
        found = {}
        for handle in handles:
            origin = self._origins.get(handle)
            if origin is not None:
                size = sizes.get(origin.service, 0)
                found[origin.zone] = found.get(origin.zone, 0) + size
        return found

    def choose_zone(self, job, now, engine_zone, avoid=()):
        """Return the zone in which a job should run, or None.

        Parameters
        ----------
        job : Job
        now : float
        engine_zone : str
            Zone of the engine that will fetch the results.
        avoid : collection of str
            Zones that failed it, taken where there are no others.
        """
        names = {s.service for s in job.stages if s.count}
        zones = {}
        for name in names:
            for each in self._catalog.endpoints(name, now):
                good = not self._health.is_avoided(each, now)
                held = zones.setdefault(each.zone, {})
                held[name] = held.get(name, False) or good
        left = [zone for zone in zones if zone not in avoid] or list(zones)
        final = pieces.final_stages(job.stages)
        size = sum(job.stages[i].size * job.stages[i].count for i in final)

        def cost(zone):
            good = sum(zones[zone].values())
            distance = self._placer.distance(zone)
            wait = self._backlog(zone, names, now) + CROSSING_S * distance
            if zone != engine_zone:
                wait += CROSSING_S_MB * size / MB
            # A zone in which a service has no good endpoint borrows one
            # of another zone, next to its own queue there.
            return -good, wait, zone

        return min(left, key=cost, default=None)

    def _backlog(self, zone, names, now):
        told = self._told.get(zone)
        if told is None or now - told.at > BACKLOG_TTL_S:
            return 0.0
        # What was told grows stale: it is worked off meanwhile.
        backlog = max((told.backlog_s.get(n, 0.0) for n in names), default=0.0)
        return max(0.0, backlog - (now - told.at))

    def _keep(self, job, zone, results, kept):
        """Remember where results lie; return their handles."""
        handles = []
        numbers = iter(results)
        for index in pieces.final_stages(job.stages):
            stage = job.stages[index]
            for _ in range(stage.count):
                held = next(numbers)
                self._origins[held.handle] = _Origin(stage.service, zone, held)
                handles.append(held.handle)
        kept += handles
        return handles

    def _owner(self, zone, now):
        candidates = self._peers.eligible(zone, now)
        if not candidates:
            # Nobody there to coordinate: better one queue too many than
            # endpoints nobody uses.
            return self._own, None
        (name,) = rendezvous.top(zone, candidates, 1)
        return name, candidates[name]

    async def _ask(self, job, zone):
        name, control = self._owner(zone, self._clock())
        if name == self._own:
            return await self.run_locally(job, zone)
        reply = await web.fetch(
            self._session,
            "POST",
            control,
            f"{RUN_PATH}?zone={zone}",
            timeout=job.hard_limit_s + EXTRA_S,
            body=job,
        )
        if isinstance(reply, kinds.Failure):
            self._peers.failed(control, self._clock(), reply.reason)
            return reply
        if reply.status != 200:
            return kinds.Failure(
                kinds.Kind.NO_ENDPOINT, f"instance answered {reply.status}"
            )
        self._peers.answered(control)
        return msgspec.convert(reply.body, pieces.Done)

    async def _free_there(self, zone, control, freed):
        await web.fetch(
            self._session,
            "POST",
            control,
            f"{FREE_PATH}?zone={zone}",
            timeout=FREE_TIMEOUT_S,
            body=freed,
        )

    def _coordinator(self, zone):
        if zone not in self._coordinators:
            self._coordinators[zone] = self._make_coordinator(zone)
        return self._coordinators[zone]


def _services(core, name):
    configuration = core.part("catalog").configuration
    service = configuration and configuration.services.get(name)
    return service if service and service.pieces else None


def _endpoints(core, zone, name, now):
    """Return the endpoints that a zone's queue of a service feeds."""
    health = core.part("health")
    found = core.part("catalog").endpoints(name, now)
    good = [each for each in found if not health.is_avoided(each, now)]
    # The evidence may be wrong; pieces that wait for endpoints to come
    # back are late for certain.
    usable = good or list(found)
    own = [each for each in usable if each.zone == zone]
    return own or usable


def _coordinator(core, zone):
    def make_batcher(service, endpoints, plans):
        return batching.Batcher(
            service=service,
            endpoints=endpoints,
            lookup=core.part("catalog").endpoint,
            plans=plans,
            client=core.part("endpoint_client"),
            codec=core.part("platform"),
            health=core.part("health"),
            journal=core.part("journal"),
            clock=core.clock,
            spawn=core.spawn,
        )

    return coordinator.Coordinator(
        zone=zone,
        services=functools.partial(_services, core),
        endpoints=functools.partial(_endpoints, core, zone),
        make_batcher=make_batcher,
        budget=core.part("budget"),
        instances=core.part("peers").count,
        journal=core.part("journal"),
        clock=core.clock,
    )


@kernel.plugin(
    "stages",
    needs=(
        "budget",
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
async def stages(core):
    """Provide the way to have the stages of requests run."""
    yield StageRunner(
        own=core.settings.instance,
        zone=core.settings.zone,
        catalog=core.part("catalog"),
        peers=core.part("peers"),
        placer=core.part("placer"),
        health=core.part("health"),
        session=core.part("web"),
        make_coordinator=functools.partial(_coordinator, core),
        journal=core.part("journal"),
        clock=core.clock,
        spawn=core.spawn,
    )
