"""Forwarding of a request: its stages, its attempts and its answer."""

import functools
import random
import typing

from sycamoreshed.errors import kinds
from sycamoreshed.forwarding import answers
from sycamoreshed.forwarding import attempts
from sycamoreshed.forwarding import candidates
from sycamoreshed.forwarding import exchanges
from sycamoreshed.forwarding import input_release
from sycamoreshed.forwarding import rejections
from sycamoreshed.forwarding import roomforecast
from sycamoreshed.forwarding import streams
from sycamoreshed.kernel import kernel
from sycamoreshed.retries import repeats
from sycamoreshed.staging import pieces
from sycamoreshed.stopping import measuring

__all__ = ["Forwarder", "Outcome", "pick_service"]

# Share of the route's target time by which all stage results should be ready,
# so that the engine can still do the prefill and begin its answer in time.
STAGES_TARGET_SHARE = 0.85
# Time reserved for the engine after the last stage: the minimum that it needs
# for an answer.
MIN_ENGINE_S = 0.2
# Target time of stages that run again for a retry: callers of a stream
# disconnect after two seconds without an event, at the earliest.
RERUN_TARGET_S = 1.0
# Rounds of stages and attempts: results may expire before an engine fetches
# them.  Stage runs for a retry within a round are not counted.
MAX_ROUNDS = 2
# Lowest status that tells of an error.
_ERROR_STATUS = 400
# Pieces of all stages of a request; the results of that many cannot be named
# in the head of a request to an engine.
MAX_PIECES = 10_000


class _Plan(typing.NamedTuple):
    """The engine that a request's stages work for.

    Parameters
    ----------
    zone : str
        Where it is; empty if no stages run.
    permitted : frozenset of str
        Its id if it has a limit: the permit for it is there already.
    refused : frozenset of str
        Ids of engines whose limits are used up.
    """

    zone: str
    permitted: frozenset = frozenset()
    refused: frozenset = frozenset()


class Outcome(typing.NamedTuple):
    """How a request ended.

    Parameters
    ----------
    answer : FullAnswer or None
        The answer of an endpoint, which is passed on unchanged.  None if it
        has been passed on already.
    failure : Failure or None
        Reported to the caller instead of an answer; with ``has_started``
        the answer is cut off.
    has_started : bool
        Whether a part of the answer has been passed on.
    endpoint : Endpoint or None
    first_s : float or None
        Seconds from the arrival to the first event of a stream.
    events : int
    max_gap_s : float
        Longest time between events of a stream.
    """

    answer: typing.Any = None
    failure: typing.Any = None
    has_started: bool = False
    endpoint: typing.Any = None
    first_s: float | None = None
    events: int = 0
    max_gap_s: float = 0.0


def pick_service(route, choose=random.random):
    """Return a random service of a route, by the route's weights.

    Examples
    --------
    >>> from sycamoreshed.catalog import types
    >>> services = (("a", 90.0), ("b", 10.0))
    >>> route = types.Route("r", "h", "/", services)
    >>> pick_service(route, choose=lambda: 0.95)
    'b'
    """
    total = sum(weight for _, weight in route.services)
    remaining = choose() * total
    for name, weight in route.services:
        remaining -= weight
        if remaining < 0:
            return name
    return route.services[-1][0]


def _is_served(outcome):
    """Return whether a request has a whole answer that tells of no error."""
    if outcome is None or outcome.failure is not None:
        return False
    return outcome.answer is None or outcome.answer.status < _ERROR_STATUS


class Forwarder:
    """Runs the stages of requests and forwards the requests to endpoints.

    Parameters
    ----------
    parts : Parts
    stages : StageRunner
    """

    def __init__(self, *, parts, stages):
        self._parts = parts
        self._stages = stages
        self._release_delays = input_release.ReleaseDelays(
            distance=parts.placer.distance
        )

    async def forward(self, request, sink):
        """Serve a request; return its `Outcome`.

        Parameters
        ----------
        request : Request
        sink : Sink
            Receives the events of a stream.
        """
        bound = await self._parts.resumption.bind(request)
        if isinstance(bound, kinds.Failure):
            return Outcome(failure=bound)
        request = bound
        now = self._parts.clock()
        if self._parts.crashes.try_probe(request.fingerprint, now):
            request = request._replace(is_probe=True)
        rejected = rejections.of_request(request, self._parts, now)
        if rejected is None:
            rejected = self._unservable(request, now)
        if rejected is not None:
            return Outcome(failure=rejected)
        self._parts.budget.record_requests(request.service)
        results = []
        sends = repeats.Repeats(
            service=request.service, spending=self._parts.budget
        )
        measurement = self._parts.stop_deadline.measure(request)
        outcome = None
        try:
            outcome = await self._run(
                request, sink, results, sends, measurement
            )
            return outcome
        finally:
            measurement.end(self._parts.clock(), is_whole=_is_served(outcome))
            sends.close()
            self._stages.free(results)

    def _unservable(self, request, now):
        """Return the `Failure` if no endpoint takes a request in time.

        Its stages would be work for nothing.
        """
        endpoints = candidates.endpoints(request, self._parts, now)
        if not endpoints:
            return rejections.no_endpoint(request, self._parts, now)
        wanted = roomforecast.wanted(request, self._parts)
        if wanted is not None:
            rejected = self._parts.engine_room.rejection(wanted, now)
            if rejected is not None:
                return rejected
        max_wait_s = rejections.MAX_WAIT_SHARE * (
            request.answer_start_deadline - now
        )
        if self._parts.limiter.wait_s(endpoints, now) <= max_wait_s:
            return None
        return rejections.over_limit(endpoints, self._parts, now)

    async def _run(self, request, sink, results, sends, measurement):
        plan = await self._plan(request)
        for _ in range(MAX_ROUNDS):
            inputs = await self._parts.stop_deadline.wait_for(
                self._run_stages(request, results, plan.zone),
                request,
                measuring.Phase.ATTEMPT,
            )
            if isinstance(inputs, kinds.Failure):
                # Stages are not a run of the request itself: they have no
                # effects and may be repeated.
                return Outcome(failure=inputs._replace(sent=False))
            release = input_release.Release(
                free=lambda: self._free(results), delays=self._release_delays
            )
            tries = attempts.Attempts(
                request=request,
                parts=self._parts,
                inputs=inputs,
                locate_inputs=lambda handles: self._stages.zone_bytes(
                    handles, request.route.stages
                ),
                release=release,
                rerun_stages=functools.partial(
                    self._rerun_stages, results=results
                ),
                permitted=plan.permitted,
                refused=plan.refused,
                sends=sends,
                measurement=measurement,
            )
            try:
                outcome = await self._attempt(request, tries, sink)
            finally:
                release.cancel()
            if outcome.failure is None or outcome.has_started:
                return outcome
            if not tries.inputs_missing or tries.may_have_run:
                return outcome
            if await sends.admit() is not None:
                return outcome
            # A permit is for one attempt.
            plan = plan._replace(permitted=frozenset())
        return outcome

    async def _plan(self, request):
        """Return the `_Plan` for a request.

        A permit that is asked for only when the results are there may be
        refused, and another engine would have to fetch them from the zone of
        the first one.
        """
        if not request.route.stages or not request.head.pieces:
            return _Plan(zone="")
        services = self._parts.catalog.configuration.services
        service = services.get(request.service)
        if service is not None and service.engine is not None:
            await self._parts.load_sharing.refresh(self._parts.clock())
        now = self._parts.clock()
        limiter = self._parts.limiter
        refused = limiter.exhausted(now)
        while True:
            choice = self._choose(request, now, refused)
            if choice is None:
                return _Plan(self._likely_zone(request, now))
            endpoint = choice.endpoint
            if not limiter.is_limited(endpoint, now):
                return _Plan(endpoint.zone, refused=frozenset(refused))
            if await limiter.acquire(endpoint):
                return _Plan(
                    endpoint.zone,
                    frozenset((endpoint.id,)),
                    frozenset(refused),
                )
            refused.add(endpoint.id)

    def _choose(self, request, now, excluded):
        parts = self._parts
        wanted = roomforecast.wanted(request, parts)
        return parts.placer.choose(
            candidates.endpoints(request, parts, now),
            now,
            tried=excluded,
            affinity=request.affinity,
            shared_tokens=request.shared_tokens,
            body_bytes=len(request.body),
            needed=None if wanted is None else wanted.needed,
            engine=None if wanted is None else wanted.spec,
        )

    def _likely_zone(self, request, now):
        parts = self._parts
        return parts.placer.likely_zone(
            candidates.endpoints(request, parts, now),
            now,
            affinity=request.affinity,
            shared_tokens=request.shared_tokens,
            body_bytes=len(request.body),
        )

    async def _rerun_stages(self, request, remaining_s, *, results):
        """Run the stages again for another engine."""
        now = self._parts.clock()
        choice = self._choose(request, now, self._parts.limiter.exhausted(now))
        if choice is None:
            zone = self._likely_zone(request, now)
        else:
            zone = choice.endpoint.zone
        return await self._run_stages(
            request, results, zone, rerun_limit_s=remaining_s
        )

    async def _run_stages(
        self, request, results, engine_zone, *, rerun_limit_s=None
    ):
        """Run the stages; return handles of their results or a `Failure`.

        Parameters
        ----------
        engine_zone : str
            Zone of the engine that will fetch the results.
        rerun_limit_s : float, optional
            Remaining seconds, if the stages run again.
        """
        stages = request.route.stages
        if not stages:
            return []
        counts = request.head.pieces
        if not counts:
            # Without pieces there is no stage work; the engine accepts or
            # rejects the request.
            return []
        if len(counts) != len(stages):
            return kinds.Failure(
                kinds.Kind.BAD_REQUEST, "pieces do not match the stages"
            )
        if min(counts) < 0 or sum(counts) > MAX_PIECES:
            return kinds.Failure(
                kinds.Kind.BAD_REQUEST, "too many pieces, or a negative number"
            )
        now = self._parts.clock()
        stages_target_s = request.route.target_s * STAGES_TARGET_SHARE
        target_s = (
            request.started_at - request.waited_s + stages_target_s - now
        )
        soft_limit_s = request.stages_deadline - MIN_ENGINE_S - now
        hard_limit_s = request.answer_start_deadline - MIN_ENGINE_S - now
        if rerun_limit_s is not None:
            target_s = RERUN_TARGET_S
            # A lost stage call is detected after two seconds.  The stages may
            # use all the remaining time, or one lost call would end a stream
            # whose caller still waits.  If the caller disconnects, the work
            # is cancelled.
            soft_limit_s = hard_limit_s = rerun_limit_s - MIN_ENGINE_S
        job = pieces.Job(
            request=request.id,
            stages=[
                pieces.StageWork(
                    stage.service, stage.after, count, stage.result_bytes
                )
                for stage, count in zip(stages, counts, strict=True)
            ],
            key=request.head.piece_key,
            target_s=target_s,
            soft_limit_s=soft_limit_s,
            hard_limit_s=hard_limit_s,
            team=request.team.name if request.team else None,
            team_priority=request.priority.team,
            priority=request.priority.route,
        )
        return await self._stages.run(
            job,
            results,
            engine_zone=engine_zone,
            origin=pieces.Origin(
                request.fingerprint, self._parts.residency.regions(request)
            ),
        )

    async def _attempt(self, request, tries, sink):
        result = await tries.open()
        if isinstance(result, exchanges.Opened):
            sink.on_begin = tries.record_answer_start
            if result.start is not None:
                failure = await answers.pass_on(
                    result, tries, request, sink, self._parts
                )
                return Outcome(
                    failure=failure, has_started=True, endpoint=result.endpoint
                )
            result = await streams.forward_stream(
                result, tries, request, sink, self._parts
            )
        if isinstance(result, streams.StreamEnd):
            return Outcome(
                failure=result.failure,
                has_started=result.events > 0 or result.failure is None,
                endpoint=result.endpoint,
                first_s=result.first_s,
                events=result.events,
                max_gap_s=result.max_gap_s,
            )
        if isinstance(result, exchanges.Answered):
            return self._outcome(result, tries)
        sent = result.sent or tries.may_have_run
        return Outcome(failure=result._replace(sent=sent))

    def _outcome(self, answered, tries):
        if answered.is_passed_on:
            return Outcome(answer=answered.answer, endpoint=answered.endpoint)
        failure = answered.failure
        # An earlier attempt may have run it.
        failure = failure._replace(sent=failure.sent or tries.may_have_run)
        return Outcome(failure=failure, endpoint=answered.endpoint)

    def _free(self, results):
        """Free stage results; return whether there were any.

        Called early, as endpoints have memory for the results of a few
        requests only.
        """
        if not results:
            return False
        self._stages.free(results)
        results.clear()
        return True


@kernel.plugin("forwarder", needs=("parts", "stages"))
async def forwarder(core):
    """Provide the `Forwarder`."""
    yield Forwarder(parts=core.part("parts"), stages=core.part("stages"))
