"""Error responses, for requests without an endpoint's response."""

from aiohttp import web
import msgspec

from sycamoreshed.entry import problems
from sycamoreshed.errors import kinds

__all__ = ["error_response", "status_of"]

# The platform's callers take this status as "has not run and never will".
# It is sent only if that is true; they may then retry.
NOT_RUN_STATUS = 503
# Of requests that may have run: 504 if the outcome is unknown (see
# `_UNKNOWN_OUTCOMES`), 502 after any other failure.
FAILED_STATUS = 502
UNKNOWN_STATUS = 504
# These keep the status of their kind, whether or not anything was sent: the
# request itself is invalid.
_CLIENT_ERRORS = frozenset(
    (
        kinds.Kind.BAD_REQUEST,
        kinds.Kind.TOO_LARGE,
        kinds.Kind.HEAD_TOO_LARGE,
        kinds.Kind.UNKNOWN_KEY,
        kinds.Kind.UNKNOWN_PATH,
    )
)
# Of requests that have not run and never can, so that a retry is useless.
_NOT_RUN_STATUSES = {
    kinds.Kind.NO_REGION: kinds.ANSWERS[kinds.Kind.NO_REGION].status
}
_UNKNOWN_OUTCOMES = frozenset((kinds.Kind.LATE, kinds.Kind.OUTCOME_UNKNOWN))


def status_of(failure):
    """Return the HTTP status for a failure.

    Examples
    --------
    >>> status_of(kinds.Failure(kinds.Kind.LATE, "queued", sent=False))
    503
    >>> status_of(kinds.Failure(kinds.Kind.LATE, "silent", sent=True))
    504
    >>> status_of(kinds.Failure(kinds.Kind.NO_REGION, "none", sent=False))
    403
    """
    if failure.kind in _CLIENT_ERRORS:
        return kinds.ANSWERS[failure.kind].status
    if not failure.sent:
        return _NOT_RUN_STATUSES.get(failure.kind, NOT_RUN_STATUS)
    return (
        UNKNOWN_STATUS if failure.kind in _UNKNOWN_OUTCOMES else FAILED_STATUS
    )


def error_response(failure, request_id, retry_after):
    """Return the HTTP response for a failure.

    Parameters
    ----------
    failure : Failure
    request_id : str
    retry_after : float or None
        Seconds for `Retry-After`, set only if the request has not run.
    """
    status = status_of(failure)
    details = problems.document(failure, request_id)
    details["status"] = status
    headers = {}
    if status == NOT_RUN_STATUS and retry_after is not None:
        headers["Retry-After"] = f"{retry_after:.2f}"
    return web.Response(
        status=status,
        body=msgspec.json.encode(details),
        content_type="application/problem+json",
        headers=headers,
    )
