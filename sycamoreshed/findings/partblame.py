"""Tells the prompt part that crashes endpoints from the parts beside it.

Requests with such a part are never the same, so that none of them is a suspect
of many crashes.  The part itself is a suspect of each crash, and no request
that has it is ever answered, while the other parts of its requests are parts
of requests that endpoints answer meanwhile.  So a part is suspected of the
crashes since an endpoint last answered a request that has it.
"""

import types
import typing

from sycamoreshed.findings import fingerprints

__all__ = ["PartVerdict", "judge"]

# Crashes within this time count once, as a power loss ends many endpoints
# under requests that have the same first part.
COINCIDENCE_S = 0.05
# Crashes after which a part is rejected, and how many different requests must
# have been suspects of them: what one request repeats is not due to a part.
REJECT_AFTER = 5
MIN_REQUESTS = 2
# It takes so many crashes while rarer parts, which only some of the requests
# have, are suspects of most of them: these may be the causes.
REJECT_AFTER_IF_UNCLEAR = 10
MIN_RIVAL_CRASHES = 2
# It also takes so many if a part is a suspect of less than this share of the
# crashes since the first one: it may have been there by chance.
MIN_SHARE = 0.4
# Of the crashes, so many must not be explained by other parts.
MIN_UNEXPLAINED = 3
# After the last of the crashes that it takes, instances have this long to tell
# that endpoints answer requests with the part.
DEFENCE_S = 1.2


class PartVerdict(typing.NamedTuple):
    """What crashes tell of parts of prompts.

    Parameters
    ----------
    blamed : dict of str to int
        Number of crashes that each part is suspected of, without those that
        a rejected one explains.
    rejected : set of str
        Keys of parts that crash endpoints.
    due_at : float
        When the verdict may change without further findings.
    requests : dict of str to int
        Number of different requests because of which each part is suspected,
        rejected ones included.
    """

    blamed: dict
    rejected: set
    due_at: float = float("inf")
    requests: typing.Mapping = types.MappingProxyType({})


class _Suspicion(typing.NamedTuple):
    """Crashes and requests because of which a part is suspected.

    ``crashes`` are numbers of groups of coincident crashes.
    """

    crashes: list
    requests: set


def judge(crashes, sound_at, rejected, now):
    """Return the `PartVerdict` on the parts of the suspects of crashes.

    Parameters
    ----------
    crashes : iterable of Crash
        In any order.
    sound_at : dict of str to float
        Keys of parts, and when an endpoint last answered a request that has
        the part.
    rejected : collection of str
        Keys of parts that are known to crash endpoints.
    now : float

    Examples
    --------
    >>> from sycamoreshed.findings import blame
    >>> crashes = [
    ...     blame.Crash(float(at), (blame.Suspect(f"r{at}/first/bad", 0.1),))
    ...     for at in range(5)
    ... ]
    >>> judge(crashes, {"part:first": 3.5}, (), 6.0).rejected
    {'part:bad'}
    >>> judge(crashes, {"part:first": 3.5, "part:bad": 1.5}, (), 6.0).rejected
    set()
    """
    groups = list(_coincident(sorted(crashes, key=lambda each: each.at)))
    times = [group[0].at for group in groups]
    suspicions = _suspicions(groups, sound_at)
    # Of these nothing is known any more but that they are rejected.
    verdict = {part for part in rejected if part not in suspicions}
    unexplained = {
        number
        for number, group in enumerate(groups)
        if not any(_has_part(crash, verdict) for crash in group)
    }
    due_at = float("inf")
    candidates = set()
    for part in suspicions:
        decided_at = _decided_at(part, suspicions, times)
        if part in rejected or decided_at <= now:
            candidates.add(part)
        else:
            due_at = min(due_at, decided_at)
    while candidates:
        part, count = _best(candidates, suspicions, unexplained)
        candidates.discard(part)
        if count >= (1 if part in rejected else MIN_UNEXPLAINED):
            verdict.add(part)
            unexplained.difference_update(suspicions[part].crashes)
    blamed = {
        part: len(unexplained.intersection(each.crashes))
        for part, each in suspicions.items()
        if part not in verdict
    }
    requests = {part: len(each.requests) for part, each in suspicions.items()}
    return PartVerdict(blamed, verdict, due_at, requests)


def _best(candidates, suspicions, unexplained):
    """Return the part that explains most crashes, and how many.

    Of parts that explain as many, fewer requests have the one that is the
    cause than those that stand beside it.
    """
    counts = {
        part: len(unexplained.intersection(suspicions[part].crashes))
        for part in candidates
    }
    part = min(
        candidates,
        key=lambda part: (
            -counts[part],
            len(suspicions[part].requests),
            part,
        ),
    )
    return part, counts[part]


def _suspicions(groups, sound_at):
    """Return the `_Suspicion` of each part since it was last answered."""
    suspicions = {}
    for number, group in enumerate(groups):
        members = {}
        for crash in group:
            for part, requests in _members(crash).items():
                if crash.at > sound_at.get(part, float("-inf")):
                    members.setdefault(part, set()).update(requests)
        for part, requests in members.items():
            suspicion = suspicions.setdefault(part, _Suspicion([], set()))
            suspicion.crashes.append(number)
            suspicion.requests.update(requests)
    return suspicions


def _coincident(crashes):
    """Yield lists of crashes that count once, in order of time."""
    group = []
    for crash in crashes:
        if group and crash.at - group[0].at > COINCIDENCE_S:
            yield group
            group = []
        group.append(crash)
    if group:
        yield group


def _members(crash):
    """Return the requests by part that may have caused a crash."""
    members = {}
    for suspect in crash.suspects:
        if suspect.has_begun:
            continue
        request = fingerprints.request_of(suspect.fingerprint)
        for part in fingerprints.parts_of(suspect.fingerprint):
            members.setdefault(part, set()).add(request)
    return members


def _has_part(crash, parts):
    return any(
        part in parts
        for suspect in crash.suspects
        for part in fingerprints.parts_of(suspect.fingerprint)
    )


def _decided_at(part, suspicions, times):
    """Return when a part may be rejected, as far as is known."""
    suspicion = suspicions[part]
    numbers = suspicion.crashes
    if len(suspicion.requests) < MIN_REQUESTS:
        return float("inf")
    limit = REJECT_AFTER
    share = len(numbers) / (len(times) - numbers[0])
    rivalled = _rivalled_crashes(suspicion, suspicions)
    is_unclear = rivalled and len(set(numbers) - rivalled) < MIN_UNEXPLAINED
    if is_unclear or share < MIN_SHARE:
        limit = REJECT_AFTER_IF_UNCLEAR
    if len(numbers) < limit:
        return float("inf")
    return times[numbers[limit - 1]] + DEFENCE_S


def _rivalled_crashes(suspicion, suspicions):
    """Return the crashes that parts of some of its requests may explain."""
    crashes = set()
    for rival in suspicions.values():
        if (
            len(rival.crashes) >= MIN_RIVAL_CRASHES
            and len(rival.requests) >= MIN_REQUESTS
            and rival.requests < suspicion.requests
        ):
            crashes.update(rival.crashes)
    return crashes
