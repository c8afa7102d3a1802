"""The endpoints that may get a request."""

__all__ = ["endpoints"]


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
    allowed = parts.residency.endpoints(request, now)
    if request.origin is None:
        return allowed
    return tuple(
        each
        for each in allowed
        if each.software_version == request.origin.software_version
    )
