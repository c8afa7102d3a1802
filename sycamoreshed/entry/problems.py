"""Problem details (RFC 9457) for failures."""

import math

from aiohttp import web
import msgspec

from sycamoreshed.errors import kinds

__all__ = ["document", "headers", "response"]

TYPE_PREFIX = "urn:sycamoreshed:error:"


def document(failure, request_id=None):
    """Return the problem details of a failure as a dictionary."""
    answer = kinds.answer_for(failure)
    details = {
        "type": TYPE_PREFIX + failure.kind,
        "title": answer.title,
        "status": answer.status,
        "detail": failure.reason,
        "outcome": answer.outcome,
    }
    if answer.retry_after is not None:
        # Also in the body: an error event in a stream cannot set headers.
        details["retry_after"] = answer.retry_after
    if request_id is not None:
        details["request"] = request_id
    return details


def headers(failure):
    """Return the response headers for a failure.

    Notes
    -----
    ``Retry-After`` has whole seconds, so it is rounded up: with a shorter
    time callers would retry too early and be rejected again.
    """
    answer = kinds.answer_for(failure)
    result = {"Outcome": str(answer.outcome)}
    if answer.retry_after is not None:
        result["Retry-After"] = str(math.ceil(answer.retry_after))
    return result


def response(failure, request_id=None):
    """Return the HTTP response for a failure."""
    details = document(failure, request_id)
    return web.Response(
        status=details["status"],
        body=msgspec.json.encode(details),
        content_type="application/problem+json",
        headers=headers(failure),
    )
