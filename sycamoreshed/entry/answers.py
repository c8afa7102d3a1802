"""Whole answers: their body and the HTTP answer around it."""

from aiohttp import web
import msgspec

from sycamoreshed.errors import kinds

__all__ = ["encode", "response"]


def encode(request, complete):
    """Return the body of a complete answer as bytes."""
    return msgspec.json.encode(
        {
            "request": request.id,
            "outcome": kinds.Outcome.COMPLETE,
            "version": request.config.version,
            "output": complete.output,
            "stages": complete.stages,
        }
    )


def response(raw, outcome=kinds.Outcome.COMPLETE):
    """Return the HTTP answer around a body."""
    return web.Response(
        body=raw,
        content_type="application/json",
        headers={"Outcome": str(outcome)},
    )
