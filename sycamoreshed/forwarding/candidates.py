"""The endpoints that may get a request."""

__all__ = ["endpoints", "rest_s"]


def endpoints(request, parts, now):
    """Return the endpoints that may get a request, by all restrictions.

    They are in a region that its route and team allow and, if it goes on with
    a stream, have the software version that began the stream.

    Parameters
    ----------
    request : Request
    parts : Parts
    now : float

    Returns
    -------
    tuple of Endpoint
    """
    available = parts.catalog.endpoints(request.service, now)
    return _allowed(request, parts, available)


def rest_s(request, parts, now):
    """Return the seconds until an endpoint that rests may get a request.

    Parameters
    ----------
    request : Request
    parts : Parts
    now : float

    Returns
    -------
    float or None
        None if no endpoint that may get it rests.
    """
    resting = dict(parts.catalog.resting(request.service, now))
    return min(
        (resting[each] for each in _allowed(request, parts, tuple(resting))),
        default=None,
    )


def _allowed(request, parts, available):
    in_region = parts.residency.select(request, available)
    if request.origin is None:
        return in_region
    return tuple(
        each
        for each in in_region
        if each.software_version == request.origin.software_version
    )
