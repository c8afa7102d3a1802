"""Sends a request to endpoints until one has answered it.

What may be sent again follows from the request alone: any request as long
as no endpoint can have run it, and idempotent ones after that as well.
Each sending after the first is taken from a budget that all instances
share, and counts as one of the attempts the route allows.
"""

import math
import typing

from sycamoreshed.errors import kinds
from sycamoreshed.forwarding import client
from sycamoreshed.forwarding import placement
from sycamoreshed.kernel import kernel

__all__ = ["Attempts", "Ended", "Opened"]

# For a request that may run again, or a stream that may be resumed: an
# endpoint that has not begun to answer after this many times the target is
# taken for dead, while another one may still answer in time.
PATIENCE_FACTOR = 2.0
LEAST_PATIENCE_S = 0.5


class Opened(typing.NamedTuple):
    """The head of an endpoint's answer, whose body is to be read.

    ``response`` must be closed, and `Attempts.closed` called.
    """

    endpoint: typing.Any
    response: typing.Any


class Ended(typing.NamedTuple):
    """An endpoint's whole answer.

    Parameters
    ----------
    endpoint : Endpoint
    answer : FullAnswer
    failure : Failure or None
        What is wrong with it, if anything.
    is_final : bool
        Whether the caller gets the answer as it stands; otherwise it is
        told the failure.
    """

    endpoint: typing.Any
    answer: typing.Any
    failure: typing.Any = None
    is_final: bool = True


class Attempts:
    """The attempts at one request.

    Parameters
    ----------
    request : Request
    parts : Parts
        What all requests share.
    inputs : list of str
        Handles of results of stages.
    held : dict of str to int
        Bytes of those results in each zone.
    release : Release or None
        Frees the inputs; None if there are none.
    renew : coroutine function
        Takes the seconds left; returns the inputs made again, or a
        `Failure`.
    """

    def __init__(
        self,
        *,
        request,
        parts,
        inputs=(),
        held=None,
        release=None,
        renew=None,
    ):
        self._request = request
        self._parts = parts
        self._inputs = inputs
        self._release = release
        self._renew = renew
        self._held = held or {}
        self._tried = set()
        self._sent = 0
        self._may_have_run = False
        self.inputs_gone = False

    @property
    def may_have_run(self):
        """Whether an endpoint may have begun to work on the request."""
        return self._may_have_run

    async def open(self, *, last_event_id=None):
        """Send the request until an endpoint takes it.

        Parameters
        ----------
        last_event_id : str, optional
            For a stream that goes on.

        Returns
        -------
        Opened, Ended or Failure
            `Opened` for a success whose body is still to be read.
        """
        parts, request = self._parts, self._request
        last = None
        while True:
            now = parts.clock()
            left = request.deadline - now
            if last_event_id is None:
                left = request.answer_start_deadline - now
            if left <= 0:
                return self._fail(kinds.Kind.LATE, "no time left")
            choice = self._choose(now)
            if choice is None and last is not None:
                # An endpoint's own answer tells more than that there is
                # nobody else to ask.
                return last
            if choice is None:
                return self._fail(
                    kinds.Kind.NO_ENDPOINT, f"no endpoint of {request.service}"
                )
            if self._release is not None and self._release.freed:
                inputs = await self._renew(left)
                if isinstance(inputs, kinds.Failure):
                    return inputs._replace(sent=self._may_have_run)
                self._inputs = inputs
                self._release.freed = False
                # That took time, in which endpoints came and went.
                continue
            result = await self._send(
                choice,
                request.deadline - now,
                last_event_id,
                self._within(left, choice),
            )
            if isinstance(result, Opened):
                return result
            failure = result
            if isinstance(result, Ended):
                failure = result.failure
                if failure is None:
                    return result
                last = result
            if not self.may_retry(failure):
                return result

    def begun(self):
        """Note that an endpoint has begun its answer."""
        if self._release is not None:
            self._release.begun()

    def closed(self, opened):
        """Note that the body of an answer is done with."""
        opened.response.close()
        self._parts.placer.end(opened.endpoint)

    def failed(self, endpoint, failure, began, *, reachable=True):
        """Note a failed attempt."""
        now = self._parts.clock()
        if self._release is not None:
            # Another endpoint may still find the inputs.
            self._release.cancel()
        if failure.sent:
            self._may_have_run = True
        # Inputs that are gone are no fault of the endpoint that says so.
        if not self.inputs_gone:
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
            took_s=round(now - began, 4),
        )

    def may_retry(self, failure):
        """Return whether the request is sent again after a failure."""
        request, parts = self._request, self._parts
        now = parts.clock()
        why = None
        if self._may_have_run and not request.can_rerun:
            why = "may have run"
        elif self._sent >= request.route.max_attempts:
            why = "no attempts left"
        elif now >= request.deadline:
            why = "no time left"
        elif self._sent and not parts.budget.try_spend(
            request.service, now, parts.peers.count()
        ):
            why = "budget spent"
        left = parts.budget.left(request.service, now, parts.peers.count())
        parts.journal.write(
            "retry" if why is None else "no_retry",
            request=request.id,
            attempt=self._sent + 1,
            why=why or failure.reason,
            budget=round(left, 1),
        )
        return why is None

    def _within(self, left, choice):
        """Return the seconds until an attempt is given up for another.

        Silence alone is no reason: without another endpoint to go to it
        would turn a late answer into none.
        """
        route = self._request.route
        last = self._sent + 1 >= route.max_attempts
        if last or not self._request.can_rerun or choice.of < 2:
            return left
        patience = max(LEAST_PATIENCE_S, PATIENCE_FACTOR * route.target_s)
        return min(left, patience)

    def _choose(self, now):
        parts, request = self._parts, self._request
        service = parts.catalog.configuration.services.get(request.service)
        most = math.inf
        if service is not None:
            most = placement.connection_share(
                service.max_connections, parts.peers.count()
            )
        choice = parts.placer.choose(
            parts.catalog.endpoints(request.service, now),
            now,
            tried=self._tried,
            affinity=request.affinity,
            shared_tokens=request.shared_tokens,
            body_bytes=len(request.body),
            held=self._held,
            most=most,
        )
        if choice is not None:
            parts.journal.write(
                "chosen",
                request=request.id,
                endpoint=choice.endpoint.id,
                attempt=len(self._tried) + 1,
                of=choice.of,
                in_flight=parts.placer.in_flight(choice.endpoint),
                age_s=round(parts.catalog.age("endpoints", now), 2),
                why=choice.why,
            )
        return choice

    async def _send(self, choice, left, last_event_id, timeout_s):
        parts, request = self._parts, self._request
        endpoint = choice.endpoint
        self._tried.add(endpoint.id)
        # Of this attempt only: were it still set when a later engine has
        # answered, the request would be run once more.
        self.inputs_gone = False
        headers = parts.codec.forwarded_headers(
            request.headers,
            team=request.team.name if request.team else None,
            endpoint=endpoint.id,
            left_s=left,
            priority=request.priority.level,
            inputs=self._inputs,
            last_event_id=last_event_id,
        )
        began = parts.clock()
        parts.placer.begin(endpoint)
        if self._inputs:
            self._release.sent(endpoint)
        keep = False
        # If this is cancelled the request may have left.
        result = kinds.Failure(kinds.Kind.INTERNAL, "cancelled", sent=True)
        try:
            result = await self._exchange(endpoint, headers, timeout_s)
            keep = isinstance(result, Opened)
            return result
        finally:
            if not keep:
                parts.placer.end(endpoint)
            self._note(endpoint, result, began)

    def _note(self, endpoint, result, began):
        if isinstance(result, Ended):
            if result.failure is not None:
                self.failed(endpoint, result.failure, began)
        elif isinstance(result, kinds.Failure):
            if result.kind is kinds.Kind.INTERNAL:
                self._may_have_run = True
                return
            self.failed(endpoint, result, began, reachable=result.sent)

    async def _exchange(self, endpoint, headers, timeout_s):
        parts, request = self._parts, self._request
        response = await parts.client.send(
            request.method,
            endpoint.address,
            request.target,
            headers,
            request.body,
            timeout_s=timeout_s,
        )
        if isinstance(response, kinds.Failure):
            if response.sent:
                self._sent += 1
            return response
        if not parts.codec.answers(response.headers, request.id):
            self._sent += 1
            response.close()
            return kinds.Failure(
                kinds.Kind.STRAY_ANSWER, "answers another request", sent=True
            )
        verdict = parts.codec.judge(response.status, response.headers).value
        if verdict != "elsewhere":
            self._sent += 1
        if request.route.streaming and verdict == "done":
            if response.status == 200:
                return Opened(endpoint, response)
        answer = await client.read_full(response, timeout_s=timeout_s)
        if isinstance(answer, kinds.Failure):
            if verdict in ("not-run", "elsewhere"):
                return answer._replace(sent=False)
            return answer
        return self._judged(endpoint, answer, verdict)

    def _judged(self, endpoint, answer, verdict):
        if verdict == "done":
            self._parts.health.record_success(endpoint, self._parts.clock())
            return Ended(endpoint, answer)
        sent = verdict not in ("not-run", "elsewhere")
        if answer.status == 409 and not sent:
            self.inputs_gone = True
            if self._release is not None:
                self._release.gone()
        failure = kinds.Failure(
            kinds.Kind.REFUSED,
            f"endpoint answered {answer.status} ({verdict})",
            sent=sent,
        )
        # A failure after a run is the endpoint's own answer and true; one
        # that promises "not run" is told in our own words, with the time
        # to come back, or not at all where the endpoint did not say so.
        return Ended(endpoint, answer, failure, verdict == "failed")

    def _fail(self, kind, reason):
        return kinds.Failure(kind, reason, sent=self._may_have_run)


class Parts(typing.NamedTuple):
    """What the attempts at all requests share."""

    catalog: typing.Any
    placer: typing.Any
    health: typing.Any
    budget: typing.Any
    peers: typing.Any
    client: typing.Any
    codec: typing.Any
    journal: typing.Any
    clock: typing.Any


@kernel.plugin(
    "attempts",
    needs=(
        "catalog",
        "placer",
        "health",
        "budget",
        "peers",
        "endpoint_client",
        "platform",
        "journal",
    ),
)
async def attempts(core):
    """Provide what attempts share."""
    yield Parts(
        catalog=core.part("catalog"),
        placer=core.part("placer"),
        health=core.part("health"),
        budget=core.part("budget"),
        peers=core.part("peers"),
        client=core.part("endpoint_client"),
        codec=core.part("platform"),
        journal=core.part("journal"),
        clock=core.clock,
    )
