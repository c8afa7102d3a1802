"""Live entry instances, and the choice of gossip partners."""

import enum
import typing

from sycamoreshed.membership import rendezvous
from sycamoreshed.membership import topics

__all__ = ["InstanceCounts", "Member", "State", "alive", "count", "partners"]

TOPIC = "member"
# Time a suspected instance has to refute the suspicion.
SUSPICION_TIMEOUT_S = 4.0
# A zone whose last new heartbeat is older than this is unreachable.
ZONE_TIMEOUT_S = 10.0
DELEGATES = 2
IN_ZONE_PARTNERS = 2


class State(enum.IntEnum):
    """State of an instance; within a generation the greater wins."""

    LIVE = 0
    SUSPECT = 1
    LEAVING = 2


class Member(typing.NamedTuple):
    """The record of an entry instance.

    Parameters
    ----------
    generation : int
        Wall clock at its start, in milliseconds; the instance itself
        raises it to refute a wrong record.
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


class InstanceCounts(typing.NamedTuple):
    """Numbers of live instances, in total and by zone."""

    total: int
    zones: dict


@topics.topic(TOPIC, urgent=True)
def merge(stored, received):
    """Keep the greater generation, and within it the greater state.

    Notes
    -----
    A late `LIVE` record has at most the generation of the `LEAVING`
    record, which wins, so the instance is not revived.  Records of equal
    generation and state are identical, as only the instance itself sets
    the other fields.
    """
    if stored is None or tuple(received[:2]) > tuple(stored[:2]):
        return received
    return stored


def alive(members, *, suspected_at, heartbeat_at, own_zone, now):
    """Return the members considered alive.

    Parameters
    ----------
    members : iterable of Member
    suspected_at : dict of str to float
        Time of each suspicion by name, in monotonic seconds.
    heartbeat_at : dict of str to float
        Time of the last new heartbeat by zone, in monotonic seconds; in
        other zones, members count as alive only if their zone has one.
    own_zone : str
    now : float

    Returns
    -------
    list of Member
        In alphabetical order.
    """
    alive_members = []
    for item in members:
        if item.state == State.LEAVING:
            continue
        if item.zone != own_zone:
            last_heartbeat_at = heartbeat_at.get(item.zone)
            if (
                last_heartbeat_at is None
                or now - last_heartbeat_at > ZONE_TIMEOUT_S
            ):
                continue
        if item.state == State.SUSPECT:
            since = suspected_at.get(item.name)
            if since is None or now - since > SUSPICION_TIMEOUT_S:
                continue
        alive_members.append(item)
    return sorted(alive_members, key=lambda item: item.name)


def count(members):
    """Return the `InstanceCounts` of members."""
    zones = {}
    for item in members:
        zones[item.zone] = zones.get(item.zone, 0) + 1
    return InstanceCounts(len(members), zones)


def partners(own, zone_members, remote_members, *, avoid=frozenset()):
    """Return the names an instance exchanges messages with.

    Parameters
    ----------
    own : Member
    zone_members : list of Member
        Live members of the own zone, including the own one.
    remote_members : list of Member
        Members of other zones, neither suspected nor leaving.
    avoid : set of str
        Names of instances that did not answer recently.

    Returns
    -------
    list of str

    Notes
    -----
    Within a zone each instance is linked to the next by name, which forms
    a ring of all of them, and to one more by hash, which shortens the
    paths.  Between two zones only `DELEGATES` instances of each start
    exchanges, each with one instance of the other zone: traffic between
    zones and regions is billed, and a change needs to reach a zone only
    once.
    """
    names = [item.name for item in zone_members if item.name not in avoid]
    chosen = []
    others = [name for name in names if name != own.name]
    if others:
        later = [name for name in others if name > own.name]
        chosen.append(min(later) if later else min(others))
        chosen += rendezvous.top(own.name, others, IN_ZONE_PARTNERS - 1)
    zones = {}
    for item in remote_members:
        if item.name not in avoid:
            zones.setdefault(item.zone, []).append(item.name)
    zone_names = {*names, own.name}
    for zone in sorted(zones):
        link_key = f"{own.zone}>{zone}"
        if own.name in rendezvous.top(link_key, zone_names, DELEGATES):
            chosen += rendezvous.top(own.name, zones[zone], 1)
    return list(dict.fromkeys(chosen))
