"""Runs the stages of requests, by the instances that coordinate zones.

Endpoints that process one call at a time are best served by a single queue.
Rendezvous hashing over the registered instances of a zone selects the one
that has its queue, without any messages; as soon as that instance does not
answer, the next one is used.
"""

import typing
import urllib.parse

import msgspec

from sycamoreshed.adapters import web
from sycamoreshed.errors import kinds
from sycamoreshed.membership import rendezvous
from sycamoreshed.staging import pieces

__all__ = [
    "FREE_PATH",
    "RUN_PATH",
    "STOPPING_HEADER",
    "FreedResult",
    "StageRunner",
    "decode_origin",
    "encode_origin",
]

RUN_PATH = "/control/stages"
FREE_PATH = "/control/results/free"
# Of the answer of an instance that does not run a job as it stops.
STOPPING_HEADER = "Instance-Stops"
# Added to a job's time limit for the timeout of a call to another instance.
CALL_EXTRA_S = 0.3
FREE_TIMEOUT_S = 0.5
_NO_ENDPOINT_RETRY_S = kinds.ANSWERS[kinds.Kind.NO_ENDPOINT].retry_after
# Attempts at one job, in other zones or at other instances if there are any.
MAX_ATTEMPTS = 3


class FreedResult(typing.NamedTuple):
    """A result to be freed, and the service that computed it."""

    service: str
    ref: pieces.ResultRef


class _StoredResult(typing.NamedTuple):
    """A result, the service that computed it, and the zone of its queue."""

    service: str
    zone: str
    ref: pieces.ResultRef


class StageRunner:
    """Runs the stages of requests, locally or at another instance.

    Parameters
    ----------
    instance, zone : str
        This instance's name and zone.
    catalog : Catalog
    selector : ZoneSelector
    peers : PeerDirectory
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
        instance,
        zone,
        catalog,
        selector,
        peers,
        session,
        make_coordinator,
        journal,
        clock,
        spawn,
    ):
        self._instance = instance
        self._zone = zone
        self._catalog = catalog
        self._selector = selector
        self._peers = peers
        self._session = session
        self._make_coordinator = make_coordinator
        self._journal = journal
        self._clock = clock
        self._spawn = spawn
        self._coordinators = {}
        self._stored_results = {}

    async def run(self, job, handles, *, engine_zone, origin=pieces.NO_ORIGIN):
        """Run the stages of a request.

        Parameters
        ----------
        job : Job
        handles : list of str
            The handles of the results are appended to it; pass them to
            `free` when they are no longer needed.
        engine_zone : str
            Zone of the engine that will fetch them.
        origin : Origin

        Returns
        -------
        list of str or Failure
            Handles of the final stages' results, in order.  The `sent`
            of a failure is false: running stages is not running the
            request itself.
        """
        if not any(stage.count for stage in job.stages):
            return []
        avoid = set()
        stopping = set()
        started_at = self._clock()
        failure = None
        attempts = 0
        while attempts < MAX_ATTEMPTS:
            now = self._clock()
            zone = self._selector.choose(
                job, now, engine_zone, avoid, origin.regions
            )
            if zone is None:
                return kinds.Failure(
                    kinds.Kind.NO_ENDPOINT,
                    "no endpoint for a stage",
                    retry_after=self._selector.rest_s(job, now)
                    or _NO_ENDPOINT_RETRY_S,
                )
            if _is_rejection(failure) and zone in avoid:
                return failure
            remaining = _after(job, now - started_at)
            if remaining.hard_limit_s <= 0:
                return kinds.Failure(kinds.Kind.HOPELESS, "no time for stages")
            outcome = await self._run_in_zone(
                remaining, zone, origin, stopping
            )
            if outcome is None:
                return failure
            if not isinstance(outcome, kinds.Failure):
                self._selector.record_backlog(
                    zone, outcome.backlog_s, self._clock()
                )
                if outcome.results is not None:
                    return self._record_results(
                        job, zone, outcome.results, handles
                    )
                avoid.add(zone)
            failure = _earlier_return(failure, _failure(outcome))
            # The next instance runs a job as if it were the first one.
            attempts += failure.kind is not kinds.Kind.DRAINING
            if failure.kind is kinds.Kind.HOPELESS:
                if not _is_rejection(failure):
                    return failure
            self._journal.write(
                "retry",
                request=job.request,
                attempt=None,
                why=f"stages in {zone}: {failure.reason}",
                arrivals=None,
                budget=None,
            )
        return failure

    async def run_locally(self, job, zone, origin=pieces.NO_ORIGIN):
        """Run a job with the endpoints of a zone, by this instance.

        Returns
        -------
        JobOutcome or Failure
            See `Coordinator.run`.
        """
        return await self._coordinator(zone).run(job, origin)

    def free(self, handles):
        """Free results, through the instances that coordinate their zones."""
        by_zone = {}
        for handle in handles:
            stored = self._stored_results.pop(handle, None)
            if stored is not None:
                freed = FreedResult(stored.service, stored.ref)
                by_zone.setdefault(stored.zone, []).append(freed)
        for zone, freed in by_zone.items():
            name, control = self._coordinating_instance(zone, self._clock())
            if name == self._instance:
                self.free_locally(zone, freed)
            else:
                call = self._free_remotely(zone, control, freed)
                self._spawn(call, name="free results")

    def free_locally(self, zone, freed):
        """Free results in a zone that this instance coordinates."""
        self._coordinator(zone).free(freed)

    def zone_bytes(self, handles, stages):
        """Return the bytes of final results that are stored in each zone.

        Parameters
        ----------
        handles : list of str
        stages : tuple of Stage
        """
        sizes = {stage.service: stage.result_bytes for stage in stages}
        by_zone = {}
        for handle in handles:
            stored = self._stored_results.get(handle)
            if stored is not None:
                size = sizes.get(stored.service, 0)
                endpoint = self._catalog.endpoint(stored.ref.endpoint)
                zone = endpoint.zone if endpoint else stored.zone
                by_zone[zone] = by_zone.get(zone, 0) + size
        return by_zone

    def _record_results(self, job, zone, results, handles):
        """Record where results are stored; return their handles."""
        recorded = []
        refs = iter(results)
        for index in pieces.final_stages(job.stages):
            stage = job.stages[index]
            for _ in range(stage.count):
                ref = next(refs)
                self._stored_results[ref.handle] = _StoredResult(
                    stage.service, zone, ref
                )
                recorded.append(ref.handle)
        handles += recorded
        return recorded

    def _coordinating_instance(self, zone, now, without=()):
        """Return name and address of the instance that coordinates a zone.

        Parameters
        ----------
        zone : str
        now : float
        without : collection of str
            Names of instances that are not to be asked.
        """
        candidates = {
            name: control
            for name, control in self._peers.eligible(zone, now).items()
            if name not in without
        }
        if not candidates:
            # No instance is eligible, so this one coordinates the zone: if
            # others do the same, too many queues are still better than
            # endpoints that nobody uses.
            return self._instance, None
        (name,) = rendezvous.top(zone, candidates, 1)
        return name, candidates[name]

    async def _run_in_zone(self, job, zone, origin, stopping):
        """Run a job at the instance that coordinates a zone.

        Parameters
        ----------
        job : Job
        zone : str
        origin : Origin
        stopping : set of str
            Names of instances that did not run it as they stop; the name of
            the instance is added if it does not either.

        Returns
        -------
        JobOutcome, Failure or None
            None if no other instance is left.
        """
        name, control = self._coordinating_instance(
            zone, self._clock(), stopping
        )
        if name in stopping:
            return None
        if name == self._instance:
            outcome = await self.run_locally(job, zone, origin)
        else:
            outcome = await self._run_remotely(
                job, zone, origin, name, control
            )
        if isinstance(outcome, kinds.Failure):
            if outcome.kind is kinds.Kind.DRAINING:
                stopping.add(name)
        return outcome

    async def _run_remotely(self, job, zone, origin, name, control):
        self._journal.write(
            "delegated", request=job.request, zone=zone, instance=name
        )
        reply = await web.fetch(
            self._session,
            "POST",
            control,
            # Not in the body, which another version of the program could not
            # decode with one more item.
            f"{RUN_PATH}?{encode_origin(zone, origin)}",
            timeout=self._time_limit_s(job) + CALL_EXTRA_S,
            body=job,
        )
        if isinstance(reply, kinds.Failure):
            self._peers.record_failure(control, self._clock(), reply.reason)
            return reply
        if STOPPING_HEADER in reply.headers:
            why = "instance stops"
            self._peers.record_failure(control, self._clock(), why)
            return kinds.Failure(kinds.Kind.DRAINING, why)
        if reply.status != 200:
            return kinds.Failure(
                kinds.Kind.NO_ENDPOINT, f"instance answered {reply.status}"
            )
        self._peers.record_success(control)
        return msgspec.convert(reply.body, pieces.JobOutcome)

    def _time_limit_s(self, job):
        """Return the seconds after which a coordinator abandons a job.

        One that has not answered by then does not answer at all, and there
        may be time left to run the job elsewhere.
        """
        services = self._catalog.configuration.services
        specs = {
            stage.service: services[stage.service].pieces
            for stage in job.stages
            if stage.count and stage.service in services
        }
        if not all(specs.values()):
            # Such a job is rejected at once.
            return job.hard_limit_s
        return pieces.time_limit_s(
            job, pieces.min_job_s(job.stages, specs.get)
        )

    async def _free_remotely(self, zone, control, freed):
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


def _after(job, elapsed_s):
    """Return a job with the times that are left of it."""
    return job._replace(
        target_s=job.target_s - elapsed_s,
        soft_limit_s=job.soft_limit_s - elapsed_s,
        hard_limit_s=job.hard_limit_s - elapsed_s,
    )


def _failure(outcome):
    """Return the `Failure` of a job that failed in a zone."""
    if isinstance(outcome, kinds.Failure):
        return outcome._replace(sent=False)
    kind = kinds.Kind.STAGE_FAILED
    if outcome.is_late:
        kind = kinds.Kind.HOPELESS
    return kinds.Failure(kind, outcome.reason, False, outcome.retry_s)


def _earlier_return(previous, failure):
    """Return a failure, with the earlier `Retry-After` of two rejections."""
    if not _is_rejection(previous) or not _is_rejection(failure):
        return failure
    return failure._replace(
        retry_after=min(previous.retry_after, failure.retry_after)
    )


def _is_rejection(failure):
    """Return whether a zone rejected a job, which another one may take."""
    return failure is not None and failure.retry_after is not None


def encode_origin(zone, origin):
    """Return the query of a call that delegates a job to another instance."""
    query = {"zone": zone, "fingerprint": origin.fingerprint}
    if origin.regions is not None:
        query["regions"] = ",".join(sorted(origin.regions))
    return urllib.parse.urlencode(query)


def decode_origin(query):
    """Return the `Origin` of a job that another instance delegated.

    Parameters
    ----------
    query : Mapping
        Of the call's target.

    Examples
    --------
    >>> decode_origin({"fingerprint": "f", "regions": "north"}).regions
    frozenset({'north'})
    """
    regions = query.get("regions")
    if regions is not None:
        regions = frozenset(filter(None, regions.split(",")))
    return pieces.Origin(query.get("fingerprint", ""), regions)
