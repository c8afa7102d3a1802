"""Failures of requests that no endpoint may get, or none can take in time."""

from sycamoreshed.errors import kinds
from sycamoreshed.forwarding import candidates

__all__ = [
    "MAX_WAIT_SHARE",
    "no_endpoint",
    "of_request",
    "over_limit",
]

# Share of the remaining time that a request may wait for an endpoint whose
# limit is used up; the rest is for the answer.
MAX_WAIT_SHARE = 0.5


def of_request(request, parts, now, *, sent=False):
    """Return the `Failure` of a request that no endpoint may get, or None.

    It crashes endpoints, or may be served in no region.

    Parameters
    ----------
    request : Request
    parts : Parts
    now : float
    sent : bool
        Whether an attempt of this request may have run.
    """
    is_allowed = request.is_probe and not sent
    if is_allowed or not parts.crashes.is_rejected(request.fingerprint, now):
        return parts.residency.rejection(request, sent=sent)
    return kinds.Failure(
        kinds.Kind.CRASHES_ENDPOINTS,
        "endpoints crashed under this request",
        sent=sent,
        retry_after=parts.crashes.retry_after_s(request.fingerprint, now),
    )


def over_limit(endpoints, parts, now, *, sent=False):
    """Return the `Failure` of a request that the limits leave no time for.

    Parameters
    ----------
    endpoints : iterable of Endpoint
        Those that could serve it.
    parts : Parts
    now : float
    sent : bool
        Whether an attempt of this request may have run.
    """
    return kinds.Failure(
        kinds.Kind.OVER_LIMIT,
        "the limits of all endpoints are used up",
        sent=sent,
        retry_after=parts.limiter.wait_s(endpoints, now),
    )


def no_endpoint(request, parts, now, *, sent=False):
    """Return the `Failure` of a request for which there is no endpoint.

    Parameters
    ----------
    request : Request
    parts : Parts
    now : float
    sent : bool
        Whether an attempt of this request may have run.
    """
    reason = f"no endpoint of {request.service}"
    if request.origin is not None:
        reason += f" of version {request.origin.software_version!r}"
    if parts.residency.regions(request) is not None:
        reason += " in its allowed regions"
    leaving = parts.catalog.count_leaving(request.service)
    if leaving:
        reason += f"; leaving: {leaving}"
    evacuated = parts.catalog.evacuations.ages(now)
    if evacuated:
        reason += f"; evacuated: {', '.join(sorted(evacuated))}"
    retry_after = candidates.rest_s(request, parts, now)
    if retry_after is None:
        retry_after = kinds.ANSWERS[kinds.Kind.NO_ENDPOINT].retry_after
    else:
        reason += "; those that could serve it rest"
    return kinds.Failure(
        kinds.Kind.NO_ENDPOINT, reason, sent=sent, retry_after=retry_after
    )
