"""Rules for ejecting endpoints that fail or are slow, and for their return.

An endpoint with a gray failure answers probes but fails some calls or is
slow.  At the design size of 410 instances, each sends an endpoint one call
in ten seconds, too few to detect a gray failure alone, so tallies of bad
calls are pooled within a zone.  Three consecutive failures of own calls,
failed probes, or a peer's report of either eject an endpoint immediately;
a recent own success outweighs a peer's report.
"""

import math
import statistics
import typing

__all__ = [
    "EndpointHealth",
    "Tally",
    "can_try",
    "decayed",
    "eject",
    "exempt",
    "is_gray",
    "is_slow",
    "pooled",
    "record_call",
    "record_trial",
]

HALF_LIFE_S = 10.0
CONSECUTIVE_FAILURES = 3
MIN_CALLS = 10
MIN_BAD_CALLS = 3.0
MIN_BAD_SHARE = 0.12
# A share of bad calls that all endpoints of a service have in common is not
# the fault of one of them.
MIN_RATIO_TO_OTHERS = 3.0
SLOW_RATIO = 3.0
SLOW_MARGIN_S = 0.05
SMOOTHING = 0.1
MIN_EJECTION_S = 2.0
MAX_EJECTION_S = 60.0
# After this long in use, the next ejection takes the shortest time again.
EJECTION_RESET_S = 120.0
TRIAL_TIMEOUT_S = 1.0
TRIALS_TO_RETURN = 3
MAX_EJECTED_SHARE = 0.5


class Tally(typing.NamedTuple):
    """Exponentially decaying counts of calls and of bad calls.

    Parameters
    ----------
    calls, bad : float
        Counts as of `at`; they halve every `HALF_LIFE_S`.
    at : float
        Monotonic seconds.
    """

    calls: float = 0.0
    bad: float = 0.0
    at: float = 0.0


class EndpointHealth(typing.NamedTuple):
    """An instance's record of an endpoint's health.

    Parameters
    ----------
    tally : Tally
        Own calls.
    consecutive_failures : int
    smoothed_s : float or None
        Smoothed time of successful calls.
    ejections : int
        Number of ejections since the last reset, failed trials included;
        each doubles the time of the next, up to `MAX_EJECTION_S`.
    ejected_until : float or None
        End of the ejection, after which the endpoint is on trial; None if
        it is in use.
    returned_at : float
        When it last returned to use.
    next_trial_at : float
        When the next trial call may be sent.
    successful_trials : int
    """

    tally: Tally = Tally()
    consecutive_failures: int = 0
    smoothed_s: float | None = None
    ejections: int = 0
    ejected_until: float | None = None
    returned_at: float = 0.0
    next_trial_at: float = 0.0
    successful_trials: int = 0


def decayed(tally, now):
    """Return a tally as of `now`.

    Examples
    --------
    >>> decayed(Tally(8.0, 2.0, 0.0), 10.0)
    Tally(calls=4.0, bad=1.0, at=10.0)
    """
    factor = 0.5 ** (max(now - tally.at, 0.0) / HALF_LIFE_S)
    return Tally(tally.calls * factor, tally.bad * factor, now)


def is_slow(seconds, others):
    """Return whether a call is slow compared to the other endpoints.

    Parameters
    ----------
    seconds : float or None
    others : list of float
        Smoothed times of the service's other endpoints.
    """
    if seconds is None or not others:
        return False
    median_s = statistics.median(others)
    return seconds > max(SLOW_RATIO * median_s, median_s + SLOW_MARGIN_S)


def record_call(record, now, *, ok, seconds=None, slow=False):
    """Return the record after one call.

    Parameters
    ----------
    record : EndpointHealth
    now : float
    ok : bool
    seconds : float, optional
        Time of the call.
    slow : bool
        Whether the call was slow; counts as bad.
    """
    tally = decayed(record.tally, now)
    bad = tally.bad + (not ok or slow)
    smoothed_s = record.smoothed_s
    if ok and seconds is not None:
        previous_s = seconds if smoothed_s is None else smoothed_s
        smoothed_s = previous_s + SMOOTHING * (seconds - previous_s)
    return record._replace(
        tally=Tally(tally.calls + 1, bad, now),
        consecutive_failures=0 if ok else record.consecutive_failures + 1,
        smoothed_s=smoothed_s,
    )


def pooled(own, others, instances, now):
    """Return the pooled tally of a zone.

    Parameters
    ----------
    own : Tally
    others : iterable of Tally
        Tallies of peers that had bad calls.
    instances : int
        Number of live instances in the zone.
    now : float

    Notes
    -----
    Only instances that had bad calls publish their tallies.  Alone these
    would make any endpoint look bad, so an instance without a tally counts
    as having made the average number of calls, none of them bad.
    """
    tallies = [decayed(item, now) for item in (own, *others)]
    calls = sum(item.calls for item in tallies)
    bad = sum(item.bad for item in tallies)
    unreported = max(instances - len(tallies), 0)
    return Tally(calls + unreported * calls / len(tallies), bad, now)


def is_gray(tally, others):
    """Return whether an endpoint has a gray failure.

    Parameters
    ----------
    tally : Tally
        Calls to the endpoint.
    others : Tally
        Calls to the service's other endpoints together.
    """
    if tally.calls < MIN_CALLS or tally.bad < MIN_BAD_CALLS:
        return False
    share = tally.bad / tally.calls
    usual_share = others.bad / others.calls if others.calls else 0.0
    return share >= max(MIN_BAD_SHARE, MIN_RATIO_TO_OTHERS * usual_share)


def eject(record, now):
    """Return the record with an ejection.

    Notes
    -----
    Each is twice as long as the last, up to `MAX_EJECTION_S`.

    Examples
    --------
    >>> first = eject(EndpointHealth(), 0.0)
    >>> first.ejected_until, eject(first, 2.0).ejected_until
    (2.0, 6.0)
    """
    ejections = record.ejections
    if (
        record.ejected_until is None
        and now - record.returned_at > EJECTION_RESET_S
    ):
        ejections = 0
    seconds = min(MIN_EJECTION_S * 2**ejections, MAX_EJECTION_S)
    return record._replace(
        ejections=ejections + 1,
        ejected_until=now + seconds,
        next_trial_at=now + seconds,
        successful_trials=0,
    )


def can_try(record, now):
    """Return whether the endpoint is in use or a trial call is due."""
    if record.ejected_until is None:
        return True
    return now >= record.next_trial_at


def record_trial(record, now, *, ok):
    """Return the record after a trial call.

    Notes
    -----
    The tally is reset on the return to use; the old one would eject the
    endpoint again for calls before the ejection.
    """
    if not ok:
        return eject(record, now)
    if record.successful_trials + 1 < TRIALS_TO_RETURN:
        return record._replace(
            successful_trials=record.successful_trials + 1, next_trial_at=now
        )
    return record._replace(
        tally=Tally(at=now),
        consecutive_failures=0,
        smoothed_s=None,
        ejected_until=None,
        returned_at=now,
        successful_trials=0,
    )


def exempt(candidates, records):
    """Return the ejected endpoints to use all the same.

    Parameters
    ----------
    candidates : list of str
        Endpoints of a service that may get calls unless ejected.
    records : dict of str to EndpointHealth

    Returns
    -------
    set of str

    Notes
    -----
    If most endpoints were ejected, the rest would be overloaded, and the
    fault may be on the side of this instance.  So at most
    `MAX_EJECTED_SHARE` is ejected at a time, and the least bad are used.
    """
    ejected = [
        name
        for name in candidates
        if name in records and records[name].ejected_until is not None
    ]
    max_ejected = math.floor(len(candidates) * MAX_EJECTED_SHARE)
    surplus = len(ejected) - max_ejected
    if surplus <= 0:
        return set()
    ejected.sort(key=lambda name: (_badness(records[name]), name))
    return set(ejected[:surplus])


def _badness(record):
    calls = max(record.tally.calls, 1.0)
    return (
        min(record.consecutive_failures, CONSECUTIVE_FAILURES),
        record.tally.bad / calls,
    )
