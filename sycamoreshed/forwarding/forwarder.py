"""The way of a request: its stages, its attempts, its answer."""

import random
import typing

from sycamoreshed.errors import kinds
from sycamoreshed.forwarding import attempts
from sycamoreshed.forwarding import input_release
from sycamoreshed.forwarding import streams
from sycamoreshed.kernel import kernel
from sycamoreshed.staging import pieces

__all__ = ["Forwarder", "Outcome", "pick_service"]

# Share of the time to the target by which all results of stages should be
# there, so that the engine can still read the prompt and begin in time.
STAGES_AIM_SHARE = 0.85
# Least time an engine needs after the last stage for an answer at all.
ENGINE_LEAST_S = 0.2
# For the stages of a stream that goes on at another engine: its caller
# hangs up after two seconds without an event at the least.
RENEW_AIM_S = 1.0
# Runs of all stages of a request; results may expire before their use.
MOST_CHAINS = 2


class Outcome(typing.NamedTuple):
    """How a request ended.

    Parameters
    ----------
    answer : FullAnswer or None
        An endpoint's, to be passed on as it is.
    failure : Failure or None
        To be told instead; with ``has_started`` the answer is cut off.
    has_started : bool
        Whether a part of the answer has been passed on.
    endpoint : Endpoint or None
    first_s : float or None
        Seconds to the first event of a stream.
    events : int
    """

    answer: typing.Any = None
    failure: typing.Any = None
    has_started: bool = False
    endpoint: typing.Any = None
    first_s: float | None = None
    events: int = 0


def pick_service(route, choose=random.random):
    """Return the service of one request, by the route's weights.

    Examples
    --------
    >>> from sycamoreshed.catalog import types
    >>> services = (("a", 90.0), ("b", 10.0))
    >>> route = types.Route("r", "h", "/", services)
    >>> pick_service(route, choose=lambda: 0.95)
    'b'
    """
    total = sum(weight for _, weight in route.services)
    point = choose() * total
    for name, weight in route.services:
        point -= weight
        if point < 0:
            return name
    return route.services[-1][0]


class Forwarder:
    """Takes requests through their stages to an endpoint.

    Parameters
    ----------
    parts : Parts
    stages : StageRunner
    """

    def __init__(self, *, parts, stages):
        self._parts = parts
        self._stages = stages
        self._fetch_times = input_release.FetchTimes(
            distance=parts.placer.distance
        )

    async def forward(self, request, sink):
        """Serve a request; return its `Outcome`.

        Parameters
        ----------
        request : Request
        sink : Sink
            Takes the events of a stream as they come.
        """
        now = self._parts.clock()
        self._parts.budget.record_requests(request.service, now)
        kept = []
        try:
            return await self._with_stages(request, sink, kept)
        finally:
            self._stages.free(kept)

    async def _with_stages(self, request, sink, kept):
        for _ in range(MOST_CHAINS):
            inputs = await self._inputs(request, kept)
            if isinstance(inputs, kinds.Failure):
                # Work on pieces is no run of the request itself: it may
                # be done again, and leaves no effect.
                return Outcome(failure=inputs._replace(sent=False))
            release = input_release.Release(
                free=lambda: self._give_up(kept), times=self._fetch_times
            )
            tries = attempts.Attempts(
                request=request,
                parts=self._parts,
                inputs=inputs,
                held=self._stages.zone_bytes(inputs, request.route.stages),
                release=release,
                renew=lambda left: self._inputs(request, kept, renew_s=left),
            )
            try:
                outcome = await self._attempt(request, tries, sink)
            finally:
                release.cancel()
            if outcome.failure is None or outcome.has_started:
                return outcome
            if not tries.inputs_gone or tries.may_have_run:
                return outcome
        return outcome

    async def _inputs(self, request, kept, *, renew_s=None):
        """Run the stages; return handles of their results or a `Failure`.

        Parameters
        ----------
        renew_s : float, optional
            Seconds left, if the results are made again.
        """
        stages = request.route.stages
        if not stages:
            return []
        counts = request.head.pieces
        if not counts:
            # The engine judges a request that names none.
            return []
        if len(counts) != len(stages):
            return kinds.Failure(
                kinds.Kind.BAD_REQUEST, "pieces do not match the stages"
            )
        now = self._parts.clock()
        target = request.route.target_s * STAGES_AIM_SHARE
        aim_s = request.started_at - request.waited_s + target - now
        until_s = request.stages_deadline - ENGINE_LEAST_S - now
        limit_s = request.answer_start_deadline - ENGINE_LEAST_S - now
        if renew_s is not None:
            aim_s = RENEW_AIM_S
            # Given up earlier, one lost call, which takes two seconds to
            # find, would cut a stream whose caller still waits.  A caller
            # that has left ends the work by that.
            until_s = limit_s = renew_s - ENGINE_LEAST_S
        job = pieces.Job(
            request=request.id,
            stages=[
                pieces.StageWork(
                    stage.service, stage.after, count, stage.result_bytes
                )
                for stage, count in zip(stages, counts, strict=True)
            ],
            key=request.head.piece_key,
            target_s=aim_s,
            soft_limit_s=until_s,
            hard_limit_s=limit_s,
            team=request.team.name if request.team else None,
            team_priority=request.priority.team,
            priority=request.priority.route,
        )
        zone = self._parts.placer.likely_zone(
            self._parts.catalog.endpoints(request.service, now),
            now,
            affinity=request.affinity,
            shared_tokens=request.shared_tokens,
            body_bytes=len(request.body),
        )
        return await self._stages.run(job, kept, engine_zone=zone)

    async def _attempt(self, request, tries, sink):
        result = await tries.open()
        if isinstance(result, attempts.Opened):
            sink.on_begin = tries.begun
            result = await streams.pass_on(
                result, tries, request, sink, self._parts
            )
        if isinstance(result, streams.StreamEnd):
            return Outcome(
                failure=result.failure,
                has_started=result.events > 0 or result.failure is None,
                endpoint=result.endpoint,
                first_s=result.first_s,
                events=result.events,
            )
        if isinstance(result, attempts.Ended):
            return self._ended(result)
        sent = result.sent or tries.may_have_run
        return Outcome(failure=result._replace(sent=sent))

    def _ended(self, ended):
        if ended.is_final:
            return Outcome(answer=ended.answer, endpoint=ended.endpoint)
        return Outcome(failure=ended.failure, endpoint=ended.endpoint)

    def _give_up(self, kept):
        """Free the inputs; return whether there were any.

        Endpoints have room for the results of a few requests only.
        """
        if not kept:
            return False
        self._stages.free(kept)
        kept.clear()
        return True


@kernel.plugin("forwarder", needs=("attempts", "stages"))
async def forwarder(core):
    """Provide the way of a request."""
    yield Forwarder(parts=core.part("attempts"), stages=core.part("stages"))
