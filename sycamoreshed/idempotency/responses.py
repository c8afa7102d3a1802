"""HTTP answers to requests with an idempotency key."""

from aiohttp import web
import msgspec

from sycamoreshed.entry import answers
from sycamoreshed.entry import problems
from sycamoreshed.errors import kinds
from sycamoreshed.idempotency import decide
from sycamoreshed.idempotency import settling

__all__ = [
    "OK",
    "ran_problem",
    "record_response",
    "replay_response",
    "with_unsent_kind",
]

OK = 200
# Replacements, with outcome "not run", for the kinds of failures of a run
# whose non-repeatable stage was not sent.
_KIND_IF_UNSENT = {
    kinds.Kind.LATE: kinds.Kind.HOPELESS,
    kinds.Kind.STAGE_FAILED: kinds.Kind.REFUSED,
    kinds.Kind.BROKEN_STREAM: kinds.Kind.REFUSED,
    kinds.Kind.STRAY_ANSWER: kinds.Kind.REFUSED,
    kinds.Kind.OUTCOME_UNKNOWN: kinds.Kind.REFUSED,
}


def ran_problem(request, unrepeatable, output, failure):
    """Return body and status for a run that failed after `unrepeatable`."""
    failure = failure._replace(
        reason=f"stage {unrepeatable['name']} ran; {failure.reason}", sent=True
    )
    details = problems.document(failure, request.id)
    details["ran"] = {
        "stage": unrepeatable["name"],
        "output": output,
    }
    return msgspec.json.encode(details), details["status"]


def with_unsent_kind(result):
    """Return an unsent failure with its replacement kind, others unchanged."""
    if not isinstance(result, kinds.Failure) or result.sent:
        return result
    return result._replace(kind=_KIND_IF_UNSENT.get(result.kind, result.kind))


def replay_response(result):
    """Return the HTTP answer for a replay; other results unchanged."""
    if not isinstance(result, settling.Replay):
        return result
    raw = result.answer.encode()
    if result.status == OK:
        return answers.response(raw)
    outcome = msgspec.json.decode(raw)["outcome"]
    return web.Response(
        status=result.status,
        body=raw,
        content_type="application/problem+json",
        headers={"Outcome": outcome},
    )


def record_response(record):
    """Return the HTTP answer to a look-up of a record."""
    if record["state"] == decide.State.DONE:
        return replay_response(
            settling.Replay(record["answer"], record["status"])
        )
    outcome = kinds.Outcome.OUTCOME_UNKNOWN
    if record["state"] == decide.State.NOT_RUN:
        outcome = kinds.Outcome.NOT_RUN
    raw = msgspec.json.encode(
        {"request": record["attempt"], "outcome": outcome}
    )
    return answers.response(raw, outcome)
