"""Tells the request that crashes endpoints from those that were beside it.

A crash of an endpoint has every request as a suspect that was in flight
there.  A request that crashes whatever begins to run it is a suspect of each
of its crashes, and always soon after it was sent, while others are suspects
of a few crashes by chance, and are served elsewhere.
"""

import typing

__all__ = ["Crash", "Suspect", "Verdict", "judge", "unserved"]

# Crashes after which a request is rejected, and how many of them it must have
# been the only likely cause of.
REJECT_AFTER = 3
MIN_ALONE = 2
# Without these, it takes so many crashes.
REJECT_AFTER_IF_UNCLEAR = 5
# A request that was served is not blamed for crashes until this long after.
SERVED_TTL_S = 60.0


class Suspect(typing.NamedTuple):
    """A request that was in flight at an endpoint when it crashed.

    Parameters
    ----------
    fingerprint : str
    age_s : float
        Seconds since it was sent there.
    has_begun : bool
        Whether a part of its answer had arrived, and more of it some time
        later: the endpoint had begun to run it without a crash.
    """

    fingerprint: str
    age_s: float
    has_begun: bool = False


class Crash(typing.NamedTuple):
    """A crash of an endpoint, at a time.

    ``is_overload`` tells whether it may have failed under the requests that
    it had to reject.
    """

    at: float
    suspects: tuple
    is_overload: bool = False


class Verdict(typing.NamedTuple):
    """What crashes tell of requests.

    Parameters
    ----------
    blamed : dict of str to int
        Number of crashes that each fingerprint is blamed for, without those
        that a rejected one explains.
    rejected : set of str
        Fingerprints of requests that crash endpoints.
    """

    blamed: dict
    rejected: set


def judge(crashes, served_at, rejected=()):
    """Return the `Verdict` on the suspects of crashes.

    Parameters
    ----------
    crashes : iterable of Crash
        In any order.
    served_at : dict of str to float
        Fingerprints of requests that an endpoint has served, and when.
    rejected : collection of str
        Fingerprints that are known to crash endpoints.

    Notes
    -----
    Those suspects of a crash are blamed that have been blamed most before,
    and none if one of the suspects is known to crash endpoints.  Suspects
    that had begun to be answered are blamed only if there are no others.

    Examples
    --------
    >>> crashes = [
    ...     Crash(float(at), (Suspect("a", 0.1), Suspect(other, 1.0, True)))
    ...     for at, other in enumerate("bcd")
    ... ]
    >>> judge(crashes, {}).rejected
    {'a'}
    >>> judge(crashes, {"a": 1.0}).rejected
    set()
    """
    suspects_of = [
        unserved(each, served_at)
        for each in sorted(crashes, key=lambda each: each.at)
    ]
    rejected = set(rejected)
    while True:
        tally = _Tally()
        found = _first_culprit(suspects_of, rejected, tally)
        if found is None:
            return Verdict(tally.blamed, rejected)
        # What it explains is taken off the others, so count again.
        rejected.add(found)


class _Tally:
    """Crashes that fingerprints are blamed for.

    ``alone`` counts those of which they were the only likely cause, and
    ``age_s`` sums their seconds in flight before them.
    """

    def __init__(self):
        self.blamed = {}
        self.alone = {}
        self.age_s = {}

    def add(self, suspect, *, is_alone):
        name = suspect.fingerprint
        self.blamed[name] = self.blamed.get(name, 0) + 1
        self.age_s[name] = self.age_s.get(name, 0.0) + suspect.age_s
        self.alone[name] = self.alone.get(name, 0) + is_alone


def unserved(crash, served_at):
    """Return a crash's suspects by fingerprint, without those served."""
    return {
        each.fingerprint: each
        for each in crash.suspects
        if served_at.get(each.fingerprint, float("-inf"))
        < crash.at - SERVED_TTL_S
    }


def _first_culprit(suspects_of, rejected, tally):
    """Count the crashes that suspects are blamed for, into `tally`.

    Returns
    -------
    str or None
        The first fingerprint that has to be rejected besides `rejected`.
    """
    for suspects in suspects_of:
        if not suspects or not rejected.isdisjoint(suspects):
            continue
        starting = [e for e in suspects.values() if not e.has_begun]
        likeliest = _most_blamed(starting or suspects.values(), tally)
        for each in likeliest:
            tally.add(each, is_alone=starting == [each])
        culprit = _culprit([each.fingerprint for each in likeliest], tally)
        if culprit is not None:
            return culprit
    return None


def _most_blamed(candidates, tally):
    most = max(tally.blamed.get(e.fingerprint, 0) for e in candidates)
    return [
        each
        for each in candidates
        if tally.blamed.get(each.fingerprint, 0) == most
    ]


def _culprit(names, tally):
    """Return which of equally blamed fingerprints to reject, or None."""
    first = min(names, key=lambda name: (tally.age_s[name], name))
    is_clear = len(names) == 1 and tally.alone[first] >= MIN_ALONE
    limit = REJECT_AFTER if is_clear else REJECT_AFTER_IF_UNCLEAR
    return first if tally.blamed[first] >= limit else None
