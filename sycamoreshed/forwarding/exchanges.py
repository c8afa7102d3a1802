"""One request to one endpoint, and the classification of its answer."""

import typing

from sycamoreshed.errors import kinds
from sycamoreshed.forwarding import answers
from sycamoreshed.forwarding import client
from sycamoreshed.links import wire

__all__ = ["Answered", "Exchanged", "Opened", "exchange"]

# Verdicts on answers of endpoints that have not run the request.
_NOT_RUN = ("not-run", "elsewhere")
# Status of an engine that does not find its inputs; it has not run.
_INPUTS_MISSING_STATUS = 409


class Opened(typing.NamedTuple):
    """The head of an endpoint's answer, whose body is still to be read.

    ``response`` must be closed and `Attempts.close` called.  ``start`` is the
    `Start` of a long answer, and None for a stream.
    """

    endpoint: typing.Any
    response: typing.Any
    start: typing.Any = None


class Answered(typing.NamedTuple):
    """A `FullAnswer` of an endpoint and its classification.

    Parameters
    ----------
    endpoint : Endpoint
    answer : FullAnswer
    failure : Failure or None
        None if the endpoint processed the request, also with a 4xx status.
    is_passed_on : bool
        Whether the answer is passed on to the caller unchanged; otherwise
        the caller gets the failure.
    """

    endpoint: typing.Any
    answer: typing.Any
    failure: typing.Any = None
    is_passed_on: bool = True


class Exchanged(typing.NamedTuple):
    """Result of an exchange.

    Parameters
    ----------
    result : Opened, Answered or Failure
        `Opened` for a 200 of a streaming route and for long answers, whose
        body is still to be read.
    has_arrived : bool
        Whether the request may have arrived at an endpoint, also another one
        at the address.
    is_counted : bool
        Whether it counts towards the attempts that the route allows.
    inputs_missing : bool
        Whether the engine did not find its inputs.
    """

    result: typing.Any
    has_arrived: bool
    is_counted: bool
    inputs_missing: bool = False


async def exchange(
    endpoint, request, headers, parts, *, timeout_s, extend=None
):
    """Send a request to an endpoint; return an `Exchanged`.

    Parameters
    ----------
    endpoint : Endpoint
    request : Request
    headers : CIMultiDict
        To be sent.
    parts : Parts
    timeout_s : float
        Seconds until the head of the answer, and again for its body.
    extend : callable, optional
        See `timeouts.time_limit`.
    """
    sent_at = parts.clock()
    response = await parts.sender.send(
        request.method,
        endpoint,
        request.target,
        headers,
        request.body,
        timeout_s=timeout_s,
        extend=extend,
        context=wire.Context(
            request.id,
            (request.fingerprint,),
            parts.residency.regions(request),
        ),
    )
    if isinstance(response, kinds.Failure):
        return Exchanged(response, response.sent, response.sent)
    if not parts.codec.matches_request(response.headers, request.id):
        response.close()
        stray = kinds.Failure(
            kinds.Kind.STRAY_ANSWER, "answers another request", sent=True
        )
        return Exchanged(stray, True, True)
    verdict = parts.codec.classify_response(
        response.status, response.headers
    ).value
    is_counted = verdict != "elsewhere"
    if is_counted:
        _record_limit(endpoint, response, verdict, parts, sent_at)
    is_success = verdict == "done" and response.status == 200
    if request.route.streaming and is_success:
        return Exchanged(Opened(endpoint, response), True, is_counted)
    may_pass_on = verdict == "done" and not request.route.streaming
    if may_pass_on and request.hold.is_limited:
        answer = await answers.read_start(
            response, request.hold, timeout_s=timeout_s, extend=extend
        )
        if isinstance(answer, answers.Start):
            return Exchanged(
                Opened(endpoint, response, answer), True, is_counted
            )
    else:
        answer = await client.read_full(
            response, timeout_s=timeout_s, extend=extend
        )
    _record_run(endpoint, answer, verdict, parts, sent_at)
    if isinstance(answer, kinds.Failure):
        if verdict in _NOT_RUN:
            answer = answer._replace(sent=False)
        return Exchanged(answer, True, is_counted)
    return Exchanged(
        _classify(endpoint, answer, verdict),
        True,
        is_counted,
        verdict in _NOT_RUN and answer.status == _INPUTS_MISSING_STATUS,
    )


def _record_run(endpoint, answer, verdict, parts, sent_at):
    """Record how long a fragile endpoint took for a request that it ran."""
    if isinstance(answer, kinds.Failure) or verdict != "done":
        return
    survived = parts.codec.survived_rejections(answer.headers)
    if survived is not None:
        parts.limiter.record_run(endpoint, parts.clock() - sent_at, survived)


def _record_limit(endpoint, response, verdict, parts, sent_at):
    """Record what an answer tells of the load that an endpoint takes."""
    tolerated = parts.codec.tolerated_rejections(
        response.status, response.headers
    )
    if tolerated is not None:
        parts.limiter.record_rejection(endpoint, tolerated)
    rate = parts.codec.rate_limit(response.headers)
    # A failure may come from what stands before the endpoint's work, and
    # does not lift a limit.
    if rate is not None or verdict == "done":
        parts.limiter.record_answer(endpoint, rate, sent_at=sent_at)


def _classify(endpoint, answer, verdict):
    if verdict == "done":
        return Answered(endpoint, answer)
    failure = kinds.Failure(
        kinds.Kind.REFUSED,
        f"endpoint answered {answer.status} ({verdict})",
        sent=verdict not in _NOT_RUN,
    )
    # The answer of a request that ran and failed is passed on unchanged.
    # An answer whose status implies "not run" is replaced by the gateway's
    # own, which carries the time to retry.  That one states "not run" only
    # for a 421 or if the endpoint marked its answer so.
    return Answered(endpoint, answer, failure, verdict == "failed")
