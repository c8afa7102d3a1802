"""The endpoints that may get a request."""

__all__ = ["endpoints", "rest_s"]


def endpoints(request, parts, now):
    """Return the endpoints that may get a request, by all restrictions.

    They are in a region that its route and team allow and, if it goes on with
    a stream, have the software version that began the stream.  One that begins
    a stream gets a version that others will know of, if that has endpoints.

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
    return _allowed(request, parts, available, now)


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
        (
            resting[each]
            for each in _allowed(request, parts, tuple(resting), now)
        ),
        default=None,
    )


def _allowed(request, parts, available, now):
    in_region = parts.residency.select(request, available)
    if request.origin is not None:
        return _of_versions(in_region, [request.origin.software_version])
    versions = parts.resumption.preferred_versions(request, now)
    if not versions:
        return in_region
    return _of_versions(in_region, versions) or in_region


def _of_versions(available, versions):
    return tuple(
        each for each in available if each.software_version in versions
    )
