"""The closed list of error kinds and the HTTP answer for each.

Internal failures are values of `Failure`: a kind and a reason.  Only this
module maps a kind to the answer that callers receive.
"""

import enum
import typing

__all__ = ["ANSWERS", "Answer", "Failure", "Kind", "Outcome", "answer_for"]


class Outcome(enum.StrEnum):
    """What a caller may conclude about its request."""

    COMPLETE = "complete"
    NOT_RUN = "not-run"
    OUTCOME_UNKNOWN = "outcome-unknown"
    FAILED = "failed"
    LATE = "late"
    SHED = "shed"


class Kind(enum.StrEnum):
    """All error kinds."""

    BAD_REQUEST = "bad-request"
    TOO_LARGE = "too-large"
    HEAD_TOO_LARGE = "head-too-large"
    # Of the caller: an unknown API key.
    UNKNOWN_KEY = "unknown-key"
    UNKNOWN_TEAM = "unknown-team"
    NOT_ASSIGNED = "not-assigned"
    UNKNOWN_PIPELINE = "unknown-pipeline"
    WITHDRAWN = "withdrawn"
    UNKNOWN_PATH = "unknown-path"
    WRONG_METHOD = "wrong-method"
    KEY_MISSING = "key-missing"
    KEY_CONFLICT = "key-conflict"
    # Of a look-up: an idempotency key without a record.
    KEY_UNKNOWN = "key-unknown"
    KEY_EXPIRED = "key-expired"
    IN_PROGRESS = "in-progress"
    NOT_READY = "not-ready"
    DRAINING = "draining"
    SHED = "shed"
    OVER_LIMIT = "over-limit"
    HOPELESS = "hopeless"
    NO_ENDPOINT = "no-endpoint"
    # Of a request whose body cannot be held.
    NO_MEMORY = "no-memory"
    # Of a request that may be served in no region.
    NO_REGION = "no-region"
    # Of a request that needs more memory than an engine of its service has.
    LARGER_THAN_ENGINES = "larger-than-engines"
    # Of a request that crashed several endpoints.
    CRASHES_ENDPOINTS = "crashes-endpoints"
    STORE_AWAY = "store-away"
    REFUSED = "refused"
    STAGE_FAILED = "stage-failed"
    BROKEN_STREAM = "broken-stream"
    STRAY_ANSWER = "stray-answer"
    LATE = "late"
    OUTCOME_UNKNOWN = "outcome-unknown"
    NOTE_INVALID = "note-invalid"
    NOTE_CONFLICT = "note-conflict"
    NOTE_UNKNOWN = "note-unknown"
    LEASE_LOST = "lease-lost"
    INTERNAL = "internal"


class Failure(typing.NamedTuple):
    """A failure as a value.

    Parameters
    ----------
    kind : Kind
    reason : str
        Human-readable; never parsed.
    sent : bool
        Whether the call of an endpoint or the write to a store may have
        been sent.  False guarantees that it had no effect: the work did
        not start.
    retry_after : float or None
        Seconds after which a retry makes sense.
    earlier_may_have_run : bool
        Whether an earlier request with the same idempotency key may have
        run.
    """

    kind: Kind
    reason: str
    sent: bool = False
    retry_after: float | None = None
    earlier_may_have_run: bool = False


class Answer(typing.NamedTuple):
    """HTTP answer for an error kind.

    Parameters
    ----------
    status : int
        HTTP status.
    title : str
        Title of the problem details (RFC 9457).
    outcome : Outcome
        What the caller may conclude; `answer_for` replaces it where
        something was sent or an earlier request may have run.
    retry_after : float or None
        Seconds for ``Retry-After`` if the failure sets none.
    """

    status: int
    title: str
    outcome: Outcome
    retry_after: float | None = None


# Outcomes that guarantee that nothing ran, and their replacement once
# something was sent.
_OUTCOME_IF_SENT = {
    Outcome.NOT_RUN: Outcome.FAILED,
    Outcome.SHED: Outcome.FAILED,
}
_NOT_RUN_OUTCOMES = frozenset(_OUTCOME_IF_SENT)

ANSWERS = {
    Kind.BAD_REQUEST: Answer(400, "Bad request", Outcome.NOT_RUN),
    Kind.TOO_LARGE: Answer(413, "Request too large", Outcome.NOT_RUN),
    Kind.HEAD_TOO_LARGE: Answer(
        431, "Request head too large", Outcome.NOT_RUN
    ),
    Kind.UNKNOWN_KEY: Answer(401, "Unknown key", Outcome.NOT_RUN),
    Kind.UNKNOWN_TEAM: Answer(403, "Unknown team", Outcome.NOT_RUN),
    Kind.NOT_ASSIGNED: Answer(
        403, "Pipeline not assigned to the team", Outcome.NOT_RUN
    ),
    Kind.UNKNOWN_PIPELINE: Answer(404, "Unknown pipeline", Outcome.NOT_RUN),
    Kind.WITHDRAWN: Answer(410, "Pipeline withdrawn", Outcome.NOT_RUN),
    Kind.UNKNOWN_PATH: Answer(404, "Unknown path", Outcome.NOT_RUN),
    Kind.WRONG_METHOD: Answer(405, "Wrong method", Outcome.NOT_RUN),
    Kind.KEY_MISSING: Answer(400, "Idempotency-Key required", Outcome.NOT_RUN),
    Kind.KEY_CONFLICT: Answer(
        422, "Idempotency-Key used with another body", Outcome.NOT_RUN
    ),
    # A request with the key may not have written its record yet, so "not
    # run" could turn out to be false.
    Kind.KEY_UNKNOWN: Answer(404, "Unknown key", Outcome.OUTCOME_UNKNOWN),
    Kind.KEY_EXPIRED: Answer(410, "Key expired", Outcome.OUTCOME_UNKNOWN),
    Kind.IN_PROGRESS: Answer(
        409, "Request in progress", Outcome.OUTCOME_UNKNOWN, 1.0
    ),
    Kind.NOT_READY: Answer(503, "Not ready", Outcome.NOT_RUN, 1.0),
    Kind.DRAINING: Answer(503, "Draining", Outcome.NOT_RUN, 0.0),
    Kind.SHED: Answer(503, "Shed", Outcome.SHED, 1.0),
    Kind.OVER_LIMIT: Answer(429, "Over the limit", Outcome.NOT_RUN, 1.0),
    Kind.HOPELESS: Answer(503, "Deadline cannot be met", Outcome.NOT_RUN, 1.0),
    Kind.NO_ENDPOINT: Answer(503, "No endpoint", Outcome.NOT_RUN, 1.0),
    Kind.NO_MEMORY: Answer(503, "No memory", Outcome.NOT_RUN, 1.0),
    Kind.NO_REGION: Answer(403, "No allowed region", Outcome.NOT_RUN),
    # Not a 413: with other engines or a shorter answer it could be served.
    Kind.LARGER_THAN_ENGINES: Answer(
        503, "Request larger than engines", Outcome.NOT_RUN, 3600.0
    ),
    Kind.CRASHES_ENDPOINTS: Answer(
        503, "Request crashes endpoints", Outcome.NOT_RUN, 3600.0
    ),
    Kind.STORE_AWAY: Answer(503, "Store away", Outcome.NOT_RUN, 2.0),
    Kind.REFUSED: Answer(502, "Endpoint refused", Outcome.NOT_RUN, 1.0),
    Kind.STAGE_FAILED: Answer(502, "Stage failed", Outcome.FAILED, 1.0),
    Kind.BROKEN_STREAM: Answer(502, "Broken stream", Outcome.FAILED, 1.0),
    Kind.STRAY_ANSWER: Answer(502, "Stray answer", Outcome.FAILED, 1.0),
    Kind.LATE: Answer(504, "Deadline passed", Outcome.LATE),
    Kind.OUTCOME_UNKNOWN: Answer(
        504, "Outcome unknown", Outcome.OUTCOME_UNKNOWN, 1.0
    ),
    Kind.NOTE_INVALID: Answer(400, "Invalid note", Outcome.NOT_RUN),
    Kind.NOTE_CONFLICT: Answer(409, "Note conflict", Outcome.NOT_RUN),
    Kind.NOTE_UNKNOWN: Answer(
        503, "Note outcome unknown", Outcome.OUTCOME_UNKNOWN, 2.0
    ),
    Kind.LEASE_LOST: Answer(409, "Lease lost", Outcome.NOT_RUN),
    Kind.INTERNAL: Answer(500, "Internal error", Outcome.FAILED),
}


def answer_for(failure):
    """Return the answer for a failure, with the outcome that holds for it.

    Parameters
    ----------
    failure : Failure

    Returns
    -------
    Answer

    Notes
    -----
    "Not run" is reported only if nothing was sent.  A kind whose table
    entry says not-run or shed is reported as failed once something was
    sent, and as outcome-unknown if an earlier request with the key may
    have run.

    Examples
    --------
    >>> answer_for(Failure(Kind.SHED, "queue full")).outcome
    <Outcome.SHED: 'shed'>
    >>> answer_for(Failure(Kind.SHED, "queue full", sent=True)).outcome
    <Outcome.FAILED: 'failed'>
    >>> answer_for(
    ...     Failure(Kind.SHED, "queue full", earlier_may_have_run=True)
    ... ).outcome
    <Outcome.OUTCOME_UNKNOWN: 'outcome-unknown'>
    """
    answer = ANSWERS[failure.kind]
    if failure.earlier_may_have_run and answer.outcome in _NOT_RUN_OUTCOMES:
        answer = answer._replace(outcome=Outcome.OUTCOME_UNKNOWN)
    if failure.sent and answer.outcome in _OUTCOME_IF_SENT:
        answer = answer._replace(outcome=_OUTCOME_IF_SENT[answer.outcome])
    if failure.retry_after is not None:
        answer = answer._replace(retry_after=failure.retry_after)
    return answer
