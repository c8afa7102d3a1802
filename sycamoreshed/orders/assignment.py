"""Which engine of a zone is to have which placement.

An assignment follows from the configuration and from what the engines
have: whoever holds the wanted thing keeps it, so that a new engine or a
new placement moves nobody else.
"""

import enum
import typing

from sycamoreshed.membership import rendezvous

__all__ = ["Engine", "Placement", "assign", "engines", "placements"]

NO_STATE = None


class Engine(typing.NamedTuple):
    """An engine of the zone.

    Parameters
    ----------
    endpoint : Endpoint
    rack : str
        What fails as one; the engine's own name if none is stated.
    model : str or None
        The only model its service takes, if that is stated.
    """

    endpoint: typing.Any
    rack: str
    model: str | None

    @property
    def name(self):
        """Name of the endpoint."""
        return self.endpoint.name


class Placement(typing.NamedTuple):
    """A placement as one zone sees it.

    Parameters
    ----------
    name : str
    target : Target
    replicas : int
    floor : int
        Engines that go on serving while versions change.
    size : float
        Bytes of one load.
    """

    name: str
    target: dict
    replicas: int
    floor: int
    size: float


class _Fit(enum.IntEnum):
    """How little has to change on an engine; less is better."""

    HAS_IT = 0
    OTHER_VERSION = 1
    OTHER_ROLE = 2
    EMPTY = 3
    UNWANTED = 4
    WANTED_ELSEWHERE = 5


def engines(config, zone):
    """Return the engines of a zone, by name.

    Parameters
    ----------
    config : Config
    zone : str

    Returns
    -------
    dict of str to Engine
    """
    result = {}
    for service, items in config.endpoints.items():
        spec = config.sections["services"][service]
        if spec["kind"] != "engine":
            continue
        for item in items:
            if item.zone != zone:
                continue
            entry = config.sections["endpoints"][item.name]
            rack = entry.get("rack", item.name)
            result[item.name] = Engine(item, rack, spec.get("model"))
    return result


def placements(config, zone):
    """Return the placements of a zone, in order of name.

    Parameters
    ----------
    config : Config
    zone : str

    Returns
    -------
    list of Placement
    """
    result = []
    for name, spec in sorted(config.sections["placements"].items()):
        replicas = spec["replicas"].get(zone, 0)
        if not replicas:
            continue
        target = {
            "model": spec["model"],
            "version": spec["version"],
            "adapters": sorted(spec.get("adapters", ())),
            "role": spec.get("role", "both"),
        }
        # Were all kept serving, none could ever load the new version.
        floor = min(spec.get("floor", replicas - 1), replicas - 1)
        size = spec.get("weight_bytes", 0.0)
        result.append(Placement(name, target, replicas, floor, size))
    return result


def assign(zone_engines, zone_placements, states, dead):
    """Assign engines to placements, moving as few as can be.

    Parameters
    ----------
    zone_engines : dict of str to Engine
    zone_placements : list of Placement
    states : dict of str to State
        As last read; engines that never answered are absent.
    dead : set of str
        Engines that have not answered for long; they get nothing, so
        that others replace them.

    Returns
    -------
    dict of str to Placement
        By name of the engine.
    """
    wanted = {_identity(item.target) for item in zone_placements}
    free = {
        name: item for name, item in zone_engines.items() if name not in dead
    }
    missing = {item.name: item.replicas for item in zone_placements}
    racks = {item.name: {} for item in zone_placements}
    result = {}
    for fit in _Fit:
        for placement in zone_placements:
            ready = [
                item
                for name, item in free.items()
                if item.model in (None, placement.target["model"])
                and _fit(states.get(name), placement, wanted) is fit
            ]
            used = racks[placement.name]
            while ready and missing[placement.name]:
                best = min(ready, key=_spread(placement, used))
                ready.remove(best)
                del free[best.name]
                result[best.name] = placement
                missing[placement.name] -= 1
                used[best.rack] = used.get(best.rack, 0) + 1
    return result


def _spread(placement, used):
    def key(engine):
        weight = rendezvous.rank(placement.name, engine.name)
        return used.get(engine.rack, 0), weight

    return key


def _fit(state, placement, wanted):
    if state is NO_STATE:
        return _Fit.EMPTY
    held = state.loading or state.loaded
    if held is None:
        return _Fit.EMPTY
    target = placement.target
    if _identity(held) == _identity(target):
        return _Fit.HAS_IT
    if _identity(held) in wanted:
        return _Fit.WANTED_ELSEWHERE
    if held["model"] != target["model"]:
        return _Fit.UNWANTED
    if held["role"] == target["role"]:
        return _Fit.OTHER_VERSION
    return _Fit.OTHER_ROLE


def _identity(target):
    return target["model"], target["version"], target["role"]
