"""Convert exceptions raised by handlers into problem details."""

from aiohttp import web
from loguru import logger

from sycamoreshed.entry import problems
from sycamoreshed.errors import kinds
from sycamoreshed.intake import refusals
from sycamoreshed.kernel import kernel

__all__ = ["handle_errors", "internal_failure", "is_disconnected"]

# Customary in logs for a caller that disconnected; no caller receives it.
CLIENT_CLOSED_STATUS = 499
_KINDS_BY_STATUS = {
    404: kinds.Kind.UNKNOWN_PATH,
    405: kinds.Kind.WRONG_METHOD,
    413: kinds.Kind.TOO_LARGE,
}


@web.middleware
async def handle_errors(http, handler):
    """Return problem details when a handler raises.

    Notes
    -----
    Without it an internal error would reach the caller as a bare status
    500, which does not tell whether the request ran.
    """
    try:
        return await handler(http)
    except web.HTTPException as err:
        kind = _KINDS_BY_STATUS.get(err.status, kinds.Kind.BAD_REQUEST)
        answer = problems.response(kinds.Failure(kind, err.reason))
        if "Allow" in err.headers:
            answer.headers["Allow"] = err.headers["Allow"]
        return answer
    except web.RequestPayloadError as err:
        return problems.response(refusals.failure_of(err))
    except Exception as err:
        if is_disconnected(http):
            # No caller is left to receive an answer.  If raised again, the
            # exception would be logged as an internal error each time a
            # caller disconnects.
            return web.Response(status=CLIENT_CLOSED_STATUS)
        logger.opt(exception=err).bind(path=http.path).error("handler failed")
        return problems.response(internal_failure(err))


def is_disconnected(http):
    """Return whether the caller's connection is closed."""
    return http.transport is None or http.transport.is_closing()


def internal_failure(err):
    """Return the failure for an unexpected exception."""
    reason = f"unexpected {type(err).__name__}"
    return kinds.Failure(kinds.Kind.INTERNAL, reason, sent=True)


@kernel.plugin("guard")
async def guard(core):
    """Install the error middleware around all handlers."""
    core.add_middleware(handle_errors)
    yield handle_errors
