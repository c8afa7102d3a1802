"""Report the outcomes of calls as evidence of endpoint health."""

from sycamoreshed.errors import kinds

__all__ = ["report"]

# A late call counts against its endpoint only if its time limit was at
# least this long.  Otherwise a team could have endpoints ejected for all
# other teams by sending deadlines that no endpoint can meet.
MIN_LATE_LIMIT_S = 0.5


def report(membership, endpoint, result, *, limit_s, now, seconds=None):
    """Report the outcome of a call to the membership.

    Parameters
    ----------
    membership : Membership
    endpoint : Endpoint
    result : StageAnswer or Failure
    limit_s : float
        Time limit of the call in seconds.
    now : float
        Monotonic seconds.
    seconds : float, optional
        Duration of the call; omitted where a slow caller may have
        prolonged it.
    """
    has_failed = isinstance(result, kinds.Failure)
    is_late = has_failed and result.kind == kinds.Kind.LATE
    if is_late and limit_s < MIN_LATE_LIMIT_S:
        return
    membership.report(endpoint, ok=not has_failed, now=now, seconds=seconds)
