"""Which entry instances are alive, and which talk to which."""

import enum
import typing

from sycamoreshed.membership import rendezvous
from sycamoreshed.membership import topics

__all__ = ["Live", "Member", "State", "alive", "count", "partners"]

TOPIC = "member"
# A suspected instance has this long to object, in seconds.
SUSPECT_S = 4.0
# A zone from which nothing new came for this long is out of reach.
ZONE_S = 10.0
DELEGATES = 2
ZONE_LINKS = 2


class State(enum.IntEnum):
    """State of an instance; of one generation the greater holds."""

    LIVE = 0
    SUSPECT = 1
    LEAVING = 2


class Member(typing.NamedTuple):
    """An entry instance as others know it.

    Parameters
    ----------
    generation : int
        Milliseconds of the wall clock at its start; the instance itself
        raises it to object to something said of it.
    state : int
        A `State`.
    address : str
        Its advertised control address.
    zone, region, name : str
    """

    generation: int
    state: int
    address: str
    zone: str
    region: str
    name: str


class Live(typing.NamedTuple):
    """How many instances are alive, here and by zone."""

    total: int
    zones: dict


@topics.topic(TOPIC, urgent=True)
def merge(held, came):
    """Keep the greater generation, and of one generation the end of it.

    Notes
    -----
    A late message that says "live" has the generation of before the
    instance left, in which "leaving" holds: so it revives nobody.
    """
    if held is None or tuple(came[:2]) > tuple(held[:2]):
        return came
    return held


def alive(members, *, suspected, beats, own_zone, now):
    """Return the members that may be counted on.

    Parameters
    ----------
    members : iterable of Member
    suspected : dict of str to float
        When each suspicion was heard, in monotonic seconds.
    beats : dict of str to float
        When each zone was last heard of, in monotonic seconds.
    own_zone : str
    now : float

    Returns
    -------
    list of Member
        In alphabetical order.
    """
    result = []
    for item in members:
        if item.state == State.LEAVING:
            continue
        if item.zone != own_zone:
            heard = beats.get(item.zone)
            if heard is None or now - heard > ZONE_S:
                continue
        if item.state == State.SUSPECT:
            since = suspected.get(item.name)
            if since is None or now - since > SUSPECT_S:
                continue
        result.append(item)
    return sorted(result, key=lambda item: item.name)


def count(members):
    """Return the `Live` count of members."""
    zones = {}
    for item in members:
        zones[item.zone] = zones.get(item.zone, 0) + 1
    return Live(len(members), zones)


def partners(own, near, far, *, avoid=frozenset()):
    """Return the names an instance exchanges messages with.

    Parameters
    ----------
    own : Member
    near : list of Member
        Of the own zone, alive, the own one among them.
    far : list of Member
        Of other zones, neither suspected nor leaving.
    avoid : set of str
        Names that did not answer lately.

    Returns
    -------
    list of str

    Notes
    -----
    Within a zone each talks to the next by name, which closes a ring
    that all are on, and to one more by hash, which makes ways short.
    Between two zones only `DELEGATES` of each talk: traffic between
    zones and regions is paid for, and news comes to a zone once.
    """
    names = [item.name for item in near if item.name not in avoid]
    chosen = []
    others = [name for name in names if name != own.name]
    if others:
        later = [name for name in others if name > own.name]
        chosen.append(min(later) if later else min(others))
        chosen += rendezvous.top(own.name, others, ZONE_LINKS - 1)
    zones = {}
    for item in far:
        if item.name not in avoid:
            zones.setdefault(item.zone, []).append(item.name)
    locals_ = {*names, own.name}
    for zone in sorted(zones):
        duty = f"{own.zone}>{zone}"
        if own.name in rendezvous.top(duty, locals_, DELEGATES):
            chosen += rendezvous.top(own.name, zones[zone], 1)
    return list(dict.fromkeys(chosen))
