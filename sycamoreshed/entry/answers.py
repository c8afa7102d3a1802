"""Whole answers: their body and the HTTP answer around it."""

from aiohttp import web
import msgspec

from sycamoreshed.errors import kinds

__all__ = ["encode", "encode_parts", "response"]


def encode(request, complete):
    """Return the body of a complete answer as bytes."""
    return encode_parts(
        request.id, request.config.version, complete.output, complete.stages
    )


def encode_parts(request_id, version, output, stages):
    """Return the body of a complete answer, given its members."""
    return msgspec.json.encode(
        {
            "request": request_id,
            "outcome": kinds.Outcome.COMPLETE,
            "version": version,
            "output": output,
            "stages": stages,
        }
    )


def response(raw, outcome=kinds.Outcome.COMPLETE):
    """Return the HTTP answer around a body."""
    return web.Response(
        body=raw,
        content_type="application/json",
        headers={"Outcome": str(outcome)},
    )
