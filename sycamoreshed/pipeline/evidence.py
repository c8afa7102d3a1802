"""What the outcome of one call says about its endpoint."""

from sycamoreshed.errors import kinds

__all__ = ["report"]

# A call that was given less says nothing by being late.  A team could
# otherwise have endpoints ejected for all others by asking with
# deadlines that nobody can meet.
LEAST_EVIDENCE_S = 0.5


def report(membership, endpoint, result, *, given_s, now, seconds=None):
    """Pass the outcome of a call on to the membership.

    Parameters
    ----------
    membership : Membership
    endpoint : Endpoint
    result : StageAnswer or Failure
    given_s : float
        Seconds the call might take.
    now : float
        Monotonic seconds.
    seconds : float, optional
        Time of the call, where callers have no part in it.
    """
    failed = isinstance(result, kinds.Failure)
    late = failed and result.kind == kinds.Kind.LATE
    if late and given_s < LEAST_EVIDENCE_S:
        return
    membership.report(endpoint, ok=not failed, now=now, seconds=seconds)
