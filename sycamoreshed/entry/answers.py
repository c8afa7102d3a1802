"""Complete answers: their body and HTTP response."""

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
    """Return the body of a complete answer from its members."""
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
    """Return the HTTP response with an encoded body."""
    return web.Response(
        body=raw,
        content_type="application/json",
        headers={"Outcome": str(outcome)},
    )
