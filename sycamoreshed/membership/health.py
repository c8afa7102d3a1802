"""Ejecting endpoints that fail or are slow, and trying them again.

At the size designed for an instance sends an endpoint one call in ten
seconds, too few to tell a gray failure by itself.  So tallies of bad
calls are pooled within a zone; three failures of own calls in a row, or a
watcher's word that an endpoint does not answer, eject at once.
"""

import math
import statistics
import typing

__all__ = [
    "Record",
    "Tally",
    "add",
    "decayed",
    "eject",
    "is_gray",
    "is_slow",
    "keep",
    "may_try",
    "pooled",
    "tried",
]

HALF_LIFE_S = 10.0
IN_A_ROW = 3
LEAST_CALLS = 10
LEAST_BAD = 3.0
BAD_SHARE = 0.12
# A share of bad calls that all endpoints of a service have is no fault of
# one of them.
TIMES_OTHERS = 3.0
SLOW_TIMES = 3.0
SLOW_S = 0.05
SMOOTHING = 0.1
FIRST_EJECTION_S = 2.0
LONGEST_EJECTION_S = 60.0
# In use for so long, the next ejection is a first one again.
HEALTHY_S = 120.0
TRIAL_S = 1.0
TRIALS = 3
MOST_EJECTED = 0.5


class Tally(typing.NamedTuple):
    """Calls and bad calls, fading with time.

    Parameters
    ----------
    calls, bad : float
        As of `at`; half of it counts after `HALF_LIFE_S`.
    at : float
        Monotonic seconds.
    """

    calls: float = 0.0
    bad: float = 0.0
    at: float = 0.0


class Record(typing.NamedTuple):
    """What an instance holds of an endpoint's health.

    Parameters
    ----------
    tally : Tally
        Own calls.
    row : int
        Failures in a row.
    seconds : float or None
        Smoothed time of good calls.
    level : int
        How often it was ejected lately; doubles the time.
    until : float or None
        Ejected until then, and on trial after; None if in use.
    back_at : float
        When it came back into use.
    next_trial : float
        When the next trial call may be sent.
    trials : int
        Trial calls that went well.
    """

    tally: Tally = Tally()
    row: int = 0
    seconds: float | None = None
    level: int = 0
    until: float | None = None
    back_at: float = 0.0
    next_trial: float = 0.0
    trials: int = 0


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
    """Return whether a time is out of line with other endpoints' times.

    Parameters
    ----------
    seconds : float or None
    others : list of float
        Smoothed times of the service's other endpoints.
    """
    if seconds is None or not others:
        return False
    middle = statistics.median(others)
    return seconds > max(SLOW_TIMES * middle, middle + SLOW_S)


def add(record, now, *, ok, seconds=None, slow=False):
    """Return the record after one call.

    Parameters
    ----------
    record : Record
    now : float
    ok : bool
    seconds : float, optional
        Time of the call.
    slow : bool
        Whether it was out of line; counts as bad.
    """
    tally = decayed(record.tally, now)
    bad = tally.bad + (not ok or slow)
    smoothed = record.seconds
    if ok and seconds is not None:
        before = seconds if smoothed is None else smoothed
        smoothed = before + SMOOTHING * (seconds - before)
    return record._replace(
        tally=Tally(tally.calls + 1, bad, now),
        row=0 if ok else record.row + 1,
        seconds=smoothed,
    )


def pooled(own, others, instances, now):
    """Return the tally of a zone.

    Parameters
    ----------
    own : Tally
    others : iterable of Tally
        Of peers that had bad calls.
    instances : int
        Live ones in the zone.
    now : float

    Notes
    -----
    Only those who had bad calls tell their tallies.  Taken alone these
    would make any endpoint look bad, so those who are silent count as
    having made as many calls as the rest do on average, and none bad.
    """
    known = [decayed(item, now) for item in (own, *others)]
    calls = sum(item.calls for item in known)
    bad = sum(item.bad for item in known)
    silent = max(instances - len(known), 0)
    return Tally(calls + silent * calls / len(known), bad, now)


def is_gray(tally, rest):
    """Return whether an endpoint is out of line with the rest.

    Parameters
    ----------
    tally, rest : Tally
        Of the endpoint, of the service's others together.
    """
    if tally.calls < LEAST_CALLS or tally.bad < LEAST_BAD:
        return False
    share = tally.bad / tally.calls
    usual = rest.bad / rest.calls if rest.calls else 0.0
    return share >= max(BAD_SHARE, TIMES_OTHERS * usual)


def eject(record, now):
    """Return the record with an ejection, each twice as long as the last.

    Examples
    --------
    >>> first = eject(Record(), 0.0)
    >>> first.until, eject(first, 2.0).until
    (2.0, 6.0)
    """
    level = record.level
    if record.until is None and now - record.back_at > HEALTHY_S:
        level = 0
    seconds = min(FIRST_EJECTION_S * 2**level, LONGEST_EJECTION_S)
    return record._replace(
        level=level + 1,
        until=now + seconds,
        next_trial=now + seconds,
        trials=0,
    )


def may_try(record, now):
    """Return whether a call may be sent: in use, or a trial is due."""
    if record.until is None:
        return True
    return now >= record.next_trial


def tried(record, now, *, ok):
    """Return the record after a trial call.

    Notes
    -----
    The tally begins anew with the return to use; the old one would eject
    the endpoint again for what was before.
    """
    if not ok:
        return eject(record, now)
    if record.trials + 1 < TRIALS:
        return record._replace(trials=record.trials + 1, next_trial=now)
    return record._replace(
        tally=Tally(at=now),
        row=0,
        seconds=None,
        until=None,
        back_at=now,
        trials=0,
    )


def keep(present, records):
    """Return the names to use although ejected, so that enough are left.

    Parameters
    ----------
    present : list of str
        All endpoints of a service that are not leaving.
    records : dict of str to Record

    Returns
    -------
    set of str

    Notes
    -----
    If most were ejected, the rest would fall over under the load of all,
    and the fault may be on our side.  So at most a share is out at a
    time, and the least bad are kept.
    """
    ejected = [
        name
        for name in present
        if name in records and records[name].until is not None
    ]
    most = math.floor(len(present) * MOST_EJECTED)
    surplus = len(ejected) - most
    if surplus <= 0:
        return set()
    ejected.sort(key=lambda name: (_badness(records[name]), name))
    return set(ejected[:surplus])


def _badness(record):
    calls = max(record.tally.calls, 1.0)
    return (min(record.row, IN_A_ROW), record.tally.bad / calls)
