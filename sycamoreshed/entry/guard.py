"""Turns what a handler raises into problem details."""

from aiohttp import web
from loguru import logger

from sycamoreshed.entry import problems
from sycamoreshed.errors import kinds
from sycamoreshed.kernel import kernel

__all__ = ["guarded", "internal", "is_gone"]

# Seen by nobody: customary in logs for a caller that hung up.
CLOSED = 499
_KINDS = {
    404: kinds.Kind.UNKNOWN_PATH,
    405: kinds.Kind.WRONG_METHOD,
    413: kinds.Kind.TOO_LARGE,
}


@web.middleware
async def guarded(http, handler):
    """Answer with problem details when a handler raises.

    Notes
    -----
    Without it a fault of ours would reach the caller as a bare status
    500 that does not tell whether the request ran.
    """
    try:
        return await handler(http)
    except web.HTTPException as err:
        kind = _KINDS.get(err.status, kinds.Kind.BAD_REQUEST)
        answer = problems.response(kinds.Failure(kind, err.reason))
        if "Allow" in err.headers:
            answer.headers["Allow"] = err.headers["Allow"]
        return answer
    except Exception as err:
        if is_gone(http):
            # Nobody is left to be answered. Raised further, it would be
            # logged as a fault of ours each time a caller hangs up.
            return web.Response(status=CLOSED)
        logger.opt(exception=err).bind(path=http.path).error("handler failed")
        return problems.response(internal(err))


def is_gone(http):
    """Return whether the caller's connection is closed."""
    return http.transport is None or http.transport.is_closing()


def internal(err):
    """Return the failure for an unexpected exception."""
    reason = f"unexpected {type(err).__name__}"
    return kinds.Failure(kinds.Kind.INTERNAL, reason, sent=True)


@kernel.plugin("guard")
async def guard(core):
    """Put the guard around all handlers."""
    core.add_middleware(guarded)
    yield guarded
