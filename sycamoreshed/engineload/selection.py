"""Which instance collects what the instances of a zone have at engines."""

import typing

from sycamoreshed.membership import rendezvous

__all__ = ["Found", "collector_of", "collector_for"]


class Found(typing.NamedTuple):
    """An instance that collects.

    Parameters
    ----------
    name, control : str
        Its name and control address.
    """

    name: str
    control: str


def collector_of(zone, members):
    """Return the instance of a zone that collects, or None.

    Parameters
    ----------
    zone : str
    members : dict of str to str
        Control addresses of its eligible instances by name.
    """
    return next(iter(_ranked(zone, members)), None)


def collector_for(own, zone, eligible, available, *, has_member):
    """Return the instance that an instance reports to.

    An instance that did not reach the collector might be next in turn
    itself.  It then reports to the one after it, as only its own link may be
    broken, unless that one reports to it.

    Parameters
    ----------
    own, zone : str
        Name and zone of the instance.
    eligible : dict of str to str
        Control addresses of the zone's eligible instances by name.
    available : dict of str to str
        Those of them that answered.
    has_member : callable
        Returns whether an instance reports to this one.

    Returns
    -------
    Found or None
        None if no other instance is left; may be the instance itself.
    """
    ranked = _ranked(zone, available)
    if not ranked or ranked[0].name != own:
        return next(iter(ranked), None)
    is_first = collector_of(zone, eligible).name == own
    if is_first or len(ranked) == 1 or has_member(ranked[1].name):
        return ranked[0]
    return ranked[1]


def _ranked(zone, members):
    names = rendezvous.top(f"engine load {zone}", members, 2)
    return [Found(name, members[name]) for name in names]
