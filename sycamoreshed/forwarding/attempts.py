"""Attempts at a request on different endpoints, with retries.

Whether a request may be retried depends on the request alone: any request
may be retried while no endpoint can have run it, an idempotent one also
after that.  A retry is taken from the retry budget that all instances share
once an attempt has been counted.  Attempts that sent nothing, or that reached
another endpoint at the address, do not count towards the attempts that the
route allows.
"""

import math

from sycamoreshed.engineload import samples
from sycamoreshed.engineload import work
from sycamoreshed.errors import kinds
from sycamoreshed.forwarding import candidates
from sycamoreshed.forwarding import exchanges
from sycamoreshed.forwarding import placement
from sycamoreshed.forwarding import rejections
from sycamoreshed.forwarding import roomforecast

__all__ = ["Attempts"]

# Time limit for the head of an answer, and again for its body, as a multiple
# of the route's target, for requests that may run again and streams that may
# be resumed.  An endpoint that exceeds it is considered failed while another
# one may still answer before the deadline.
TIMEOUT_TARGET_FACTOR = 2.0
MIN_TIMEOUT_S = 0.5
# Lowest status that tells of an error.
_ERROR_STATUS = 400


class Attempts:
    """The attempts at one request.

    Parameters
    ----------
    request : Request
    parts : Parts
    inputs : list of str
        Handles of the stage results that the endpoint fetches.
    locate_inputs : callable
        Takes handles, returns bytes of their results in each zone.
    release : Release or None
        Frees the inputs; None if nothing is to be freed.
    rerun_stages : coroutine function
        Takes the request and the remaining seconds.  Runs the stages again
        and returns the new inputs or a `Failure`.
    permitted : collection of str
        Ids of endpoints with a limit that allows one attempt of the request.
    refused : collection of str
        Ids of endpoints with a limit that does not allow it for now.

    Attributes
    ----------
    inputs_missing : bool
        Whether the latest attempt failed because the engine did not find
        its inputs.
    """

    def __init__(
        self,
        *,
        request,
        parts,
        inputs=(),
        locate_inputs=None,
        release=None,
        rerun_stages=None,
        permitted=(),
        refused=(),
    ):
        self._request = request
        self._parts = parts
        self._inputs = inputs
        self._release = release
        self._rerun_stages = rerun_stages
        self._locate_inputs = locate_inputs
        self._permitted = set(permitted)
        self._refused = frozenset(refused)
        self._tried = set()
        self._counted_attempts = 0
        self._may_have_run = False
        self._call_number = None
        self._load_number = None
        self._sending = None
        self._sent_at = None
        self.inputs_missing = False

    @property
    def may_have_run(self):
        """Whether an endpoint may have started to run the request."""
        return self._may_have_run

    async def open(self, *, last_event_id=None):
        """Send the request until one answers or no retry is allowed.

        Parameters
        ----------
        last_event_id : str, optional
            Last event that was passed on, after which a stream resumes.

        Returns
        -------
        Opened, Answered or Failure
            `Opened` for a 200 of a streaming route, whose body is still to
            be read.
        """
        parts, request = self._parts, self._request
        last = None
        while True:
            if self._engine_spec is not None:
                await parts.load_sharing.refresh(parts.clock())
            now = parts.clock()
            remaining_s = request.deadline - now
            if last_event_id is None:
                remaining_s = request.answer_start_deadline - now
            if remaining_s <= 0:
                return self._fail(kinds.Kind.LATE, "no time left")
            rejected = rejections.of_request(
                request, parts, now, sent=self._may_have_run
            )
            if rejected is not None:
                return rejected
            choice = await self._find(now, last_event_id)
            if isinstance(choice, kinds.Failure):
                return choice if last is None else last
            waited_s = parts.clock() - now
            now += waited_s
            remaining_s -= waited_s
            if choice is None and last is not None:
                # The answer of an endpoint is more informative than a failure
                # for lack of further endpoints.
                return self._with_rest(last, now)
            if choice is None:
                return rejections.no_endpoint(
                    request, parts, now, sent=self._may_have_run
                )
            if self._needs_inputs(now):
                inputs = await self._rerun_stages(request, remaining_s)
                if isinstance(inputs, kinds.Failure):
                    return inputs._replace(sent=self._may_have_run)
                self._inputs = inputs
                self._release.freed = False
                # Endpoints may have joined or left meanwhile.
                continue
            choice = await self._acquire(choice, now, remaining_s)
            if isinstance(choice, kinds.Failure):
                return choice if last is None else last
            waited_s = parts.clock() - now
            now += waited_s
            remaining_s -= waited_s
            if not self._is_available(choice.endpoint, now):
                continue
            if waited_s > 0 and not self._has_room(choice.endpoint, now):
                continue
            self._log_choice(choice, now)
            result = await self._send(
                choice,
                request.deadline - now,
                last_event_id,
                self._timeout(remaining_s, choice),
            )
            if isinstance(result, exchanges.Opened):
                return result
            failure = result
            if isinstance(result, exchanges.Answered):
                failure = result.failure
                if failure is None:
                    return result
                last = result
            await self.settle(choice.endpoint)
            if not self.try_retry(failure):
                return result

    def record_answer_start(self):
        """Free the inputs, as an endpoint has begun its answer."""
        if self._release is not None:
            self._release.free_now()

    def bind_to(self, origin):
        """Send the request only to endpoints that may go on with a stream.

        Parameters
        ----------
        origin : Origin
            What began the part of the stream that has been passed on.
        """
        self._request = self._request._replace(origin=origin)

    def record_data(self, endpoint):
        """Record that an endpoint has sent a part of its answer."""
        self._parts.crashes.record_data(endpoint, self._call_number)
        self._parts.engine_load.ledger.record_answer_start(self._load_number)

    def record_pace(self, endpoint, pacing):
        """Record the speed that an engine's part of a stream has shown.

        Parameters
        ----------
        endpoint : Endpoint
        pacing : Pacing
        """
        parts = self._parts
        if self._engine_spec is not None:
            samples.record_stream(
                parts.engine_speeds,
                endpoint,
                self._sending,
                pacing,
                parts.clock(),
                is_near=self._is_near(endpoint),
            )

    def close(self, opened):
        """Close an answer whose body has been read or abandoned."""
        opened.response.close()
        self._record_end(opened.endpoint)

    async def settle(self, endpoint):
        """Wait until it is known whether an endpoint crashed."""
        await self._parts.crashes.settle(endpoint)

    def record_served(self, endpoint, *, is_success=True):
        """Record that an endpoint has run the request to its end.

        Parameters
        ----------
        endpoint : Endpoint
        is_success : bool
            Whether it has not rejected the content of the request.
        """
        self._parts.health.record_success(endpoint, self._parts.clock())
        self._parts.crashes.record_served(
            self._request.fingerprint, is_success=is_success
        )

    def record_failure(
        self,
        endpoint,
        failure,
        started_at,
        *,
        reachable=True,
        is_cut_off=False,
    ):
        """Record a failed attempt.

        Parameters
        ----------
        endpoint : Endpoint
        failure : Failure
        started_at : float
        reachable : bool
        is_cut_off : bool
            Whether the endpoint closed the connection without an answer, or
            within it.
        """
        now = self._parts.clock()
        if is_cut_off:
            self._parts.crashes.record_break(endpoint)
        if self._release is not None:
            # The inputs are kept for the attempt at the next endpoint.
            self._release.cancel()
        if failure.sent:
            self._may_have_run = True
        # Missing inputs are not the fault of the endpoint that reports them.
        if not self.inputs_missing:
            self._parts.health.record_failure(
                endpoint, now, failure.reason, reachable=reachable
            )
        self._parts.journal.write(
            "attempt_failed",
            request=self._request.id,
            endpoint=endpoint.id,
            attempt=len(self._tried),
            why=failure.reason,
            sent=failure.sent,
            took_s=round(now - started_at, 4),
        )

    def try_retry(self, failure):
        """Return whether to retry after a failure.

        A retry spends budget unless no attempt has been counted so far.
        """
        request, parts = self._request, self._parts
        now = parts.clock()
        why = None
        if parts.crashes.is_rejected(request.fingerprint, now):
            why = "crashes endpoints"
        elif self._may_have_run and not request.can_rerun:
            why = "may have run"
        elif self._counted_attempts >= request.route.max_attempts:
            why = "no attempts left"
        elif now >= request.deadline:
            why = "no time left"
        elif self._counted_attempts and not parts.budget.try_spend(
            request.service, now, parts.peers.count()
        ):
            why = "budget spent"
        budget = parts.budget.remaining(
            request.service, now, parts.peers.count()
        )
        parts.journal.write(
            "retry" if why is None else "no_retry",
            request=request.id,
            attempt=self._counted_attempts + 1,
            why=why or failure.reason,
            budget=round(budget, 1),
        )
        return why is None

    def _timeout(self, remaining_s, choice):
        """Return the seconds until an attempt is abandoned for another.

        Without another endpoint a slow one is waited for until the end of
        the remaining time: a late answer is better than none.
        """
        route = self._request.route
        last = self._counted_attempts + 1 >= route.max_attempts
        if last or not self._request.can_rerun or choice.healthy_count < 2:
            return remaining_s
        timeout_s = max(MIN_TIMEOUT_S, TIMEOUT_TARGET_FACTOR * route.target_s)
        return min(remaining_s, timeout_s)

    async def _acquire(self, choice, now, remaining_s):
        """Return a `Choice` whose endpoint's limit allows the request.

        Parameters
        ----------
        choice : Choice
            The first one to try.
        now, remaining_s : float

        Returns
        -------
        Choice or Failure
        """
        limiter = self._parts.limiter
        exhausted = limiter.exhausted(now) | self._refused
        while choice is not None:
            endpoint = choice.endpoint
            if endpoint.id in self._permitted:
                self._permitted.discard(endpoint.id)
                return choice
            if endpoint.id not in exhausted:
                if await limiter.acquire(endpoint):
                    return choice
                exhausted.add(endpoint.id)
            choice = self._choose(now, exhausted)
        # The limits of all endpoints are used up: wait for the first of them
        # that takes the request, unless it is too late then.
        endpoints = [
            each
            for each in candidates.endpoints(self._request, self._parts, now)
            if each.id not in self._tried
        ]
        if not endpoints:
            return self._fail(kinds.Kind.NO_ENDPOINT, "all endpoints left")
        max_wait_s = rejections.MAX_WAIT_SHARE * remaining_s
        first = min(
            (each for each in endpoints if self._has_room(each, now)),
            key=lambda each: limiter.wait_s([each], now),
            default=None,
        )
        if first and limiter.wait_s([first], now) <= max_wait_s:
            if await limiter.acquire(first, max_wait_s=max_wait_s):
                return placement.Choice(first, "limit", len(endpoints))
        return rejections.over_limit(
            endpoints, self._parts, now, sent=self._may_have_run
        )

    def _with_rest(self, answered, now):
        """Add the time after which an endpoint rests no more, if all rest."""
        if candidates.endpoints(self._request, self._parts, now):
            return answered
        rest_s = candidates.rest_s(self._request, self._parts, now)
        failure = answered.failure._replace(retry_after=rest_s)
        return answered._replace(failure=failure)

    def _is_available(self, endpoint, now):
        """Return whether an endpoint is there after a wait for a permit."""
        parts, request = self._parts, self._request
        is_known = any(
            each.id == endpoint.id
            and each.started_at_ms == endpoint.started_at_ms
            for each in candidates.endpoints(request, parts, now)
        )
        return is_known and rejections.of_request(request, parts, now) is None

    def _needs_inputs(self, now):
        """Return whether the stages must run again before an attempt.

        Their results were freed, or lie in a region that a configuration
        since then does not allow.
        """
        if self._release is None:
            return False
        if self._release.freed:
            return True
        residency = self._parts.residency
        regions = residency.regions(self._request)
        return not all(
            residency.allows(regions, zone) for zone in self._result_bytes
        )

    @property
    def _result_bytes(self):
        """Bytes of the inputs in each zone."""
        if self._locate_inputs is None:
            return {}
        return self._locate_inputs(self._inputs)

    @property
    def _service(self):
        """The request's `Service` as configured, or None."""
        services = self._parts.catalog.configuration.services
        return services.get(self._request.service)

    @property
    def _engine_spec(self):
        """The `EngineSpec` of the request's service, or None."""
        return None if self._service is None else self._service.engine

    @property
    def _is_plain(self):
        """Whether the endpoints of the request's service are no engines."""
        return self._service is not None and self._engine_spec is None

    async def _find(self, now, last_event_id):
        """Return a `Choice`, after a wait if no engine has room.

        Returns
        -------
        Choice, Failure or None
            None if there is no endpoint.
        """
        parts, request = self._parts, self._request
        choice = self._choose(now)
        begin_by = request.answer_start_deadline
        if last_event_id is not None:
            begin_by = min(request.deadline, now + request.max_event_wait_s)
        wanted = roomforecast.wanted(
            request,
            parts,
            begin_by=begin_by,
            tried=self._tried,
            find=self._choose,
        )
        if wanted is None:
            return choice
        if choice is None:
            # Room is no help if there is no endpoint for another reason.
            if self._choose(now, counts_room=False) is None:
                return None
        elif not parts.engine_room.is_waited_for(request, now):
            return choice
        result = await parts.engine_room.wait(wanted)
        if isinstance(result, kinds.Failure):
            return result._replace(sent=self._may_have_run)
        return result

    def _has_room(self, endpoint, now):
        """Return whether a request has room at an endpoint."""
        placer, spec = self._parts.placer, self._engine_spec
        needed = work.of_request(self._request)
        if not placer.counts_room(spec, needed):
            return True
        missing = placer.engines.room_needed(
            candidates.endpoints(self._request, self._parts, now),
            now,
            needed,
            spec,
        )
        return missing.get(endpoint) == 0

    def _choose(self, now, excluded=(), *, counts_room=True):
        parts, request = self._parts, self._request
        service = self._service
        max_in_flight = math.inf
        if service is not None:
            max_in_flight = placement.connection_share(
                service.max_connections, parts.peers.count()
            )
        # Suspects of a crash are kept apart: those that share an endpoint
        # again cannot be told from each other if it crashes.
        is_suspect = parts.crashes.is_suspect(request.fingerprint, now)
        return parts.placer.choose(
            candidates.endpoints(request, parts, now),
            now,
            tried=self._tried.union(excluded),
            affinity=request.fingerprint if is_suspect else request.affinity,
            shared_tokens=request.shared_tokens,
            body_bytes=len(request.body),
            result_bytes=self._result_bytes,
            max_in_flight=max_in_flight,
            is_plain=self._is_plain,
            needed=work.of_request(request),
            engine=self._engine_spec if counts_room else None,
        )

    def _log_choice(self, choice, now):
        load = {}
        if choice.load is not None:
            load = choice.load._asdict()
            load["expected_s"] = choice.expected_s and round(
                choice.expected_s, 4
            )
            load["view_age_s"] = round(
                min(1e6, self._parts.engine_load.age_s(now)), 3
            )
        self._parts.journal.write(
            "chosen",
            request=self._request.id,
            endpoint=choice.endpoint.id,
            software_version=choice.endpoint.software_version,
            attempt=len(self._tried) + 1,
            of=choice.healthy_count,
            in_flight=self._parts.placer.in_flight(choice.endpoint),
            age_s=round(self._parts.catalog.age("endpoints", now), 2),
            why=choice.reason,
            **load,
        )

    async def _send(self, choice, remaining_s, last_event_id, timeout_s):
        parts, request = self._parts, self._request
        endpoint = choice.endpoint
        self._tried.add(endpoint.id)
        # Describes the latest attempt only: were it still set after another
        # endpoint has answered, `Forwarder` would run the request again.
        self.inputs_missing = False
        headers = parts.codec.forwarded_headers(
            request.headers,
            team=request.team.name if request.team else None,
            endpoint=endpoint.id,
            remaining_s=remaining_s,
            priority=request.priority.level,
            inputs=self._inputs,
            last_event_id=last_event_id,
        )
        started_at = parts.clock()
        self._sending = self._describe_sending(
            endpoint, started_at, is_resumed=last_event_id is not None
        )
        parts.placer.record_start(endpoint)
        self._call_number = parts.crashes.record_start(
            endpoint, request.fingerprint
        )
        if self._engine_spec is not None:
            self._sent_at = started_at
            self._load_number = parts.engine_load.ledger.record_start(
                endpoint.boot, work.of_request(request)
            )
        if self._inputs:
            self._release.schedule(endpoint)
        is_open = False
        # The result if the attempt is cancelled or raises: the request may
        # have been sent.
        result = kinds.Failure(kinds.Kind.INTERNAL, "cancelled", sent=True)
        try:
            exchanged = await exchanges.exchange(
                endpoint, request, headers, parts, timeout_s=timeout_s
            )
            result = exchanged.result
            is_open = isinstance(result, exchanges.Opened)
            self._counted_attempts += exchanged.is_counted
            self.inputs_missing = exchanged.inputs_missing
            return result
        finally:
            self._record(endpoint, result, started_at)
            if not is_open:
                self._record_end(endpoint)

    def _describe_sending(self, endpoint, now, *, is_resumed):
        """Return the `Sending`, before the request is counted."""
        if self._engine_spec is None:
            in_flight = self._parts.placer.in_flight(endpoint)
            return samples.Sending(now, in_flight)
        load = self._parts.engine_load.load(endpoint, now)
        needed = work.of_request(self._request)
        unread = needed.prompt_tokens - needed.shared_tokens
        return samples.Sending(
            now, load.requests, load.unread_tokens + unread, is_resumed
        )

    def _is_near(self, endpoint):
        """Return whether an endpoint is in the region of this instance."""
        return self._parts.placer.distance(endpoint.zone) <= 1

    def _record_end(self, endpoint):
        self._parts.placer.record_end(endpoint)
        self._parts.crashes.record_end(endpoint, self._call_number)
        self._parts.engine_load.ledger.record_end(self._load_number)
        if self._sent_at is not None:
            self._parts.placer.engines.record_held(
                self._request.service, self._parts.clock() - self._sent_at
            )
            self._sent_at = None

    def _record(self, endpoint, result, started_at):
        if self.inputs_missing and self._release is not None:
            self._release.record_inputs_missing()
        if isinstance(result, exchanges.Answered):
            if result.failure is None:
                is_success = result.answer.status < _ERROR_STATUS
                self.record_served(endpoint, is_success=is_success)
                if is_success and self._is_plain:
                    samples.record_call(
                        self._parts.engine_speeds,
                        endpoint,
                        self._sending,
                        self._parts.clock(),
                        is_near=self._is_near(endpoint),
                    )
            else:
                self.record_failure(endpoint, result.failure, started_at)
        elif isinstance(result, kinds.Failure):
            # Cancelled or raised, which is not a failure of the endpoint.
            if result.kind is kinds.Kind.INTERNAL:
                self._may_have_run = True
                return
            # It takes no new work since it was chosen.
            if result.kind is kinds.Kind.NO_ENDPOINT:
                return
            self.record_failure(
                endpoint,
                result,
                started_at,
                reachable=result.sent,
                is_cut_off=result.sent and result.kind is kinds.Kind.REFUSED,
            )

    def _fail(self, kind, reason):
        return kinds.Failure(kind, reason, sent=self._may_have_run)
