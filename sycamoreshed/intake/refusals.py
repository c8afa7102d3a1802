"""Requests that are refused before a handler has them."""

from aiohttp import http_exceptions
from aiohttp import web_protocol

from sycamoreshed.errors import kinds

__all__ = [
    "HEAD_TOO_LARGE",
    "LATE_BODY",
    "MALFORMED",
    "NO_MEMORY",
    "BodyRefused",
    "HeadRefused",
    "failure_of",
]

HEAD_TOO_LARGE = kinds.Failure(
    kinds.Kind.HEAD_TOO_LARGE, "head or trailers too large"
)
MALFORMED = kinds.Failure(kinds.Kind.BAD_REQUEST, "not an HTTP request")
NO_MEMORY = kinds.Failure(kinds.Kind.NO_MEMORY, "no memory for the request")
LATE_BODY = kinds.Failure(kinds.Kind.BAD_REQUEST, "body came too slowly")
_TORN_BODY = kinds.Failure(kinds.Kind.BAD_REQUEST, "body is not whole")


class HeadRefused(http_exceptions.HttpProcessingError):
    """The head of a request cannot be taken.

    Parameters
    ----------
    failure : Failure
    """

    def __init__(self, failure):
        super().__init__(code=400, message=failure.reason)
        self.failure = failure


class BodyRefused(web_protocol.RequestPayloadError):
    """The body of a request cannot be taken.

    Parameters
    ----------
    failure : Failure
    """

    def __init__(self, failure):
        super().__init__(failure.reason)
        self.failure = failure


def failure_of(error):
    """Return the `Failure` of what a peer did wrong, or None for our errors.

    Examples
    --------
    >>> failure_of(HeadRefused(NO_MEMORY)).kind
    <Kind.NO_MEMORY: 'no-memory'>
    >>> failure_of(KeyError("x")) is None
    True
    """
    if isinstance(error, HeadRefused | BodyRefused):
        return error.failure
    if isinstance(error, http_exceptions.HttpProcessingError):
        return MALFORMED
    if isinstance(error, web_protocol.RequestPayloadError):
        return _TORN_BODY
    return None
