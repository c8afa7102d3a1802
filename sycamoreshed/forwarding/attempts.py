"""Attempts at a request on different endpoints, with retries.

Whether a request may be retried depends on the request alone: any request
may be retried while no endpoint can have run it, an idempotent one also
after that.  What is taken from the retry budget that all instances share is
decided by `repeats.Repeats`.  Attempts that sent nothing, or that reached
another endpoint at the address, do not count towards the attempts that the
route allows.
"""

import functools

from sycamoreshed.errors import kinds
from sycamoreshed.forwarding import candidates
from sycamoreshed.forwarding import exchanges
from sycamoreshed.forwarding import occupancy
from sycamoreshed.forwarding import rejections
from sycamoreshed.forwarding import selecting
from sycamoreshed.retries import repeats
from sycamoreshed.stopping import measuring

__all__ = ["Attempts"]

# Time limit for the head of an answer, and again for its body, as a multiple
# of the route's target, for requests that may run again and streams that may
# be resumed.  An endpoint that exceeds it is considered failed while another
# one may still answer before the deadline.
TIMEOUT_TARGET_FACTOR = 2.0
MIN_TIMEOUT_S = 0.5
# Another attempt may take this many times the limit of the first one, unless
# enough is known of its route.
REPEAT_FACTOR = 2.0
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
    sends : Repeats, optional
        Earlier sends of the request.
    measurement : Measurement, optional

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
        sends=None,
        measurement=None,
    ):
        self._request = request
        self._parts = parts
        self._sends = sends or repeats.Repeats(
            service=request.service, spending=parts.budget
        )
        self._measurement = measurement or parts.stop_deadline.measure(request)
        self._inputs = inputs
        self._release = release
        self._rerun_stages = rerun_stages
        self._locate_inputs = locate_inputs
        self._permitted = set(permitted)
        self._refused = frozenset(refused)
        self._selection = selecting.Selection(
            request=request, parts=parts, result_bytes=self._find_inputs
        )
        self._occupancy = occupancy.Occupancy(request=request, parts=parts)
        self._counted_attempts = 0
        self._may_have_run = False
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
            if self._selection.engine is not None:
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
            choice = await self._wait_for(
                self._selection.find(
                    now, begin_by=self._begin_by(last_event_id, now)
                )
            )
            if isinstance(choice, kinds.Failure):
                return self._unsent(choice) if last is None else last
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
                inputs = await self._wait_for(
                    self._rerun_stages(request, remaining_s)
                )
                if isinstance(inputs, kinds.Failure):
                    return inputs._replace(sent=self._may_have_run)
                self._inputs = inputs
                self._release.freed = False
                # Endpoints may have joined or left meanwhile.
                continue
            choice = await self._wait_for(
                self._selection.acquire(
                    choice,
                    now,
                    rejections.MAX_WAIT_SHARE * remaining_s,
                    permitted=self._permitted,
                    refused=self._refused,
                )
            )
            if isinstance(choice, kinds.Failure):
                return self._unsent(choice) if last is None else last
            waited_s = parts.clock() - now
            now += waited_s
            remaining_s -= waited_s
            if not self._selection.is_available(choice.endpoint, now):
                continue
            if waited_s > 0 and not self._selection.has_room(
                choice.endpoint, now
            ):
                continue
            rejected = self._parts.stop_deadline.check(
                request,
                measuring.Phase.ATTEMPT,
                now,
                delivered_s=self._measurement.delivered_s(now),
            )
            if rejected is not None:
                return self._unsent(rejected) if last is None else last
            self._selection.log(choice, now)
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
            if not await self.try_retry(failure):
                return result

    def record_answer_start(self):
        """Free the inputs, as an endpoint has begun its answer."""
        self._measurement.record_first_event(self._parts.clock())
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
        self._selection.request = self._request

    def record_data(self):
        """Record that the endpoint has sent a part of its answer."""
        self._occupancy.record_data()

    def record_pace(self, pacing):
        """Record the speed that an engine's part of a stream has shown.

        Parameters
        ----------
        pacing : Pacing
        """
        self._occupancy.record_pace(pacing)

    def close(self, opened):
        """Close an answer whose body has been read or abandoned."""
        opened.response.close()
        self._occupancy.end()

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
            attempt=len(self._selection.tried),
            why=failure.reason,
            sent=failure.sent,
            took_s=round(now - started_at, 4),
        )

    async def try_retry(self, failure):
        """Return whether to retry after a failure."""
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
        elif not self._ends_before_stop(now):
            why = "this instance stops too soon"
        else:
            why = await self._sends.admit()
        parts.journal.write(
            "retry" if why is None else "no_retry",
            request=request.id,
            attempt=self._counted_attempts + 1,
            why=why or failure.reason,
            arrivals=self._sends.arrivals,
            budget=round(parts.budget.remaining(request.service), 1),
        )
        return why is None

    def extension_s(self, timeout_s):
        """Return for how long to go on waiting after a time limit.

        Parameters
        ----------
        timeout_s : float
            The limit, after which an attempt is given up for another one.

        Notes
        -----
        While this instance stops, the other attempt has to end before it
        does.  It may take longer than the first one would have taken.
        """
        now = self._parts.clock()
        if self._ends_before_stop(now, REPEAT_FACTOR * timeout_s):
            return 0.0
        return max(0.0, self._request.deadline - now)

    def _ends_before_stop(self, begins_at, unknown_s=0.0):
        return self._parts.stop_deadline.allows(
            self._request,
            measuring.Phase.ATTEMPT,
            begins_at,
            delivered_s=self._measurement.delivered_s(begins_at),
            unknown_s=unknown_s,
        )

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

    async def _wait_for(self, waiting):
        """Await what precedes an attempt; a `Failure` if it takes too long."""
        return await self._parts.stop_deadline.wait_for(
            waiting,
            self._request,
            measuring.Phase.ATTEMPT,
            delivered_s=self._measurement.delivered_s,
        )

    def _with_rest(self, answered, now):
        """Add the time after which an endpoint rests no more, if all rest."""
        if candidates.endpoints(self._request, self._parts, now):
            return answered
        rest_s = candidates.rest_s(self._request, self._parts, now)
        failure = answered.failure._replace(retry_after=rest_s)
        return answered._replace(failure=failure)

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
            residency.allows(regions, zone) for zone in self._find_inputs()
        )

    def _find_inputs(self):
        """Return the bytes of the inputs in each zone."""
        if self._locate_inputs is None:
            return {}
        return self._locate_inputs(self._inputs)

    def _begin_by(self, last_event_id, now):
        """Return the monotonic time by which an answer has to begin."""
        request = self._request
        if last_event_id is None:
            return request.answer_start_deadline
        return min(request.deadline, now + request.max_event_wait_s)

    async def _send(self, choice, remaining_s, last_event_id, timeout_s):
        parts, request = self._parts, self._request
        endpoint = choice.endpoint
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
        self._measurement.begin_attempt(started_at)
        self._occupancy.begin(
            endpoint,
            started_at,
            engine=self._selection.engine,
            is_resumed=last_event_id is not None,
        )
        if self._inputs:
            self._release.schedule(endpoint)
        is_open = False
        # The result if the attempt is cancelled or raises: the request may
        # have been sent.
        result = kinds.Failure(kinds.Kind.INTERNAL, "cancelled", sent=True)
        has_arrived = True
        try:
            exchanged = await exchanges.exchange(
                endpoint,
                request,
                headers,
                parts,
                timeout_s=timeout_s,
                extend=functools.partial(self.extension_s, timeout_s),
            )
            result = exchanged.result
            has_arrived = exchanged.has_arrived
            is_open = isinstance(result, exchanges.Opened)
            self._counted_attempts += exchanged.is_counted
            self.inputs_missing = exchanged.inputs_missing
            return result
        finally:
            self._sends.record_send(has_arrived=has_arrived)
            self._record(endpoint, result, started_at)
            if not is_open:
                self._occupancy.end()

    def _record(self, endpoint, result, started_at):
        if self.inputs_missing and self._release is not None:
            self._release.record_inputs_missing()
        if isinstance(result, exchanges.Answered):
            if result.failure is None:
                is_success = result.answer.status < _ERROR_STATUS
                self.record_served(endpoint, is_success=is_success)
                if is_success and self._selection.is_plain:
                    self._occupancy.record_call()
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
        return self._unsent(kinds.Failure(kind, reason))

    def _unsent(self, failure):
        """Return a failure of an attempt that was not sent.

        The request may have run at an earlier one.
        """
        return failure._replace(sent=self._may_have_run)
