"""What callers are told of requests that may not be repeated."""

from aiohttp import web
import msgspec

from sycamoreshed.entry import answers
from sycamoreshed.entry import problems
from sycamoreshed.errors import kinds
from sycamoreshed.idempotency import decide
from sycamoreshed.idempotency import settling

__all__ = ["OK", "ran_document", "respond", "tell", "unsent"]

OK = 200
# Kinds that would not be told as "not run", and what is told instead
# when nothing was sent that may not be repeated.
_UNSENT = {
    kinds.Kind.LATE: kinds.Kind.HOPELESS,
    kinds.Kind.STAGE_FAILED: kinds.Kind.REFUSED,
    kinds.Kind.BROKEN_STREAM: kinds.Kind.REFUSED,
    kinds.Kind.STRAY_ANSWER: kinds.Kind.REFUSED,
    kinds.Kind.OUTCOME_UNKNOWN: kinds.Kind.REFUSED,
}


def ran_document(request, critical, output, failure):
    """Return the body and status of a failure after the stage ran."""
    failure = failure._replace(
        reason=f"stage {critical['name']} ran; {failure.reason}", sent=True
    )
    details = problems.document(failure, request.id)
    details["ran"] = {
        "stage": critical["name"],
        "output": output,
    }
    return msgspec.json.encode(details), details["status"]


def unsent(result):
    """Return a failure so that it is told as "not run"."""
    if not isinstance(result, kinds.Failure) or result.sent:
        return result
    return result._replace(kind=_UNSENT.get(result.kind, result.kind))


def respond(result):
    """Return the HTTP answer of a replay; other results as they are."""
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


def tell(record):
    """Return the HTTP answer that tells of a record."""
    if record["state"] == decide.State.DONE:
        return respond(settling.Replay(record["answer"], record["status"]))
    outcome = kinds.Outcome.OUTCOME_UNKNOWN
    if record["state"] == decide.State.NOT_RUN:
        outcome = kinds.Outcome.NOT_RUN
    raw = msgspec.json.encode(
        {"request": record["attempt"], "outcome": outcome}
    )
    return answers.response(raw, outcome)
