"""What callers are told when no endpoint's answer is passed on."""

from aiohttp import web
import msgspec

from sycamoreshed.entry import problems
from sycamoreshed.errors import kinds

__all__ = ["error_response", "status_of"]

# Statuses that the platform's callers take as "has not run and never
# will"; told only when that is true, and then they may come back.
NOT_RUN = 503
# After a run that failed or whose end is not known.
FAILED = 502
UNKNOWN = 504
# Told as they are, whatever was sent: the request itself is at fault.
_CALLERS_FAULT = frozenset(
    (
        kinds.Kind.BAD_REQUEST,
        kinds.Kind.TOO_LARGE,
        kinds.Kind.UNKNOWN_KEY,
        kinds.Kind.UNKNOWN_PATH,
    )
)
_LATE = frozenset((kinds.Kind.LATE, kinds.Kind.OUTCOME_UNKNOWN))


def status_of(failure):
    """Return the status a failure is told with.

    Examples
    --------
    >>> status_of(kinds.Failure(kinds.Kind.LATE, "queued", sent=False))
    503
    >>> status_of(kinds.Failure(kinds.Kind.LATE, "silent", sent=True))
    504
    """
    if failure.kind in _CALLERS_FAULT:
        return kinds.ANSWERS[failure.kind].status
    if not failure.sent:
        return NOT_RUN
    return UNKNOWN if failure.kind in _LATE else FAILED


def error_response(failure, request_id, retry_after):
    """Return the HTTP answer of a failure.

    Parameters
    ----------
    failure : Failure
    request_id : str
    retry_after : float or None
        Seconds after which coming back makes sense.
    """
    status = status_of(failure)
    details = problems.document(failure, request_id)
    details["status"] = status
    headers = {}
    if status == NOT_RUN and retry_after is not None:
        headers["Retry-After"] = f"{retry_after:.2f}"
    return web.Response(
        status=status,
        body=msgspec.json.encode(details),
        content_type="application/problem+json",
        headers=headers,
    )
