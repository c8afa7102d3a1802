"""How long calls may last that this instance sends for others."""

import multidict

from sycamoreshed.catalog import types
from sycamoreshed.forwarding import requests

__all__ = ["as_request"]

# Once the head of an answer has come, its body may take as long again.
ANSWER_TIMEOUTS = 2.0


def as_request(call, endpoint, *, catalog, codec, now):
    """Return a call as this instance would see the request behind it.

    Parameters
    ----------
    call : Call
    endpoint : Endpoint
    catalog : Catalog
    codec : Platform
    now : float
        When it began.

    Returns
    -------
    Request
        Without the body.  A call that is of no route gets one that stands for
        all such calls of its service.
    """
    headers = multidict.CIMultiDict(call.headers)
    head = codec.parse_head(headers)
    route = catalog.routes.find(headers.get("Host", ""), call.target)
    if route is None:
        route = _route_of_calls(call, endpoint, catalog)
    limit_s = call.timeout_s
    if not call.is_cleanup:
        limit_s *= ANSWER_TIMEOUTS
    if route.streaming:
        limit_s = route.timeout_s
    if head.deadline_s is not None:
        limit_s = min(limit_s, head.deadline_s)
    return requests.Request(
        id=call.request,
        route=route,
        service=endpoint.service,
        team=None,
        priority=requests.Priority(0, 0),
        head=head,
        method=call.method,
        target=call.target,
        headers=headers,
        body=b"",
        fingerprint="",
        started_at=now,
        waited_s=0.0,
        deadline=now + limit_s,
    )


def _route_of_calls(call, endpoint, catalog):
    """Return a `Route` for the calls of a service that are of no route."""
    target_s = call.timeout_s
    configuration = catalog.configuration
    service = configuration and configuration.services.get(endpoint.service)
    if service and service.pieces and not call.is_cleanup:
        spec = service.pieces
        target_s = spec.call_s + spec.batch * spec.piece_s
    return types.Route(
        f"calls of {endpoint.service}",
        "",
        "",
        ((endpoint.service, 1.0),),
        target_s=target_s,
    )
