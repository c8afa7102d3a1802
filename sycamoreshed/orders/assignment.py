"""Assignment of the engines of a zone to placements.

An assignment follows from the configuration and from the models that the
engines have loaded.  An engine that has loaded or is loading the model,
version and role of a placement is preferred for it, so that a new engine
or placement moves no other engine.
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
        Failure domain; the name of the engine if none is configured.
    model : str or None
        The only model that its service accepts, if configured.
    """

    endpoint: typing.Any
    rack: str
    model: str | None

    @property
    def name(self):
        """Name of the endpoint."""
        return self.endpoint.name


class Placement(typing.NamedTuple):
    """The part of a placement that concerns one zone.

    Parameters
    ----------
    name : str
    target : Target
    replicas : int
    min_serving : int
        Minimum of engines that keep serving while versions change.
    load_bytes : float
        Bytes of weights that one load fetches.
    """

    name: str
    target: dict
    replicas: int
    min_serving: int
    load_bytes: float


class _Fit(enum.IntEnum):
    """Rank of an engine by how little has to change; less is better."""

    MATCHES = 0
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
    """Return the placements of a zone, ordered by name.

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
        # With a minimum of all replicas, none could load a new version.
        min_serving = min(spec.get("floor", replicas - 1), replicas - 1)
        load_bytes = spec.get("weight_bytes", 0.0)
        result.append(
            Placement(name, target, replicas, min_serving, load_bytes)
        )
    return result


def assign(zone_engines, zone_placements, states, dead):
    """Assign engines to placements, moving as few as possible.

    Parameters
    ----------
    zone_engines : dict of str to Engine
    zone_placements : list of Placement
    states : dict of str to State
        As last read; engines that never responded are absent.
    dead : set of str
        Engines unresponsive for long; they are assigned nothing, so that
        others replace them.

    Returns
    -------
    dict of str to Placement
        By engine name.
    """
    wanted = {_identity(item.target) for item in zone_placements}
    free = {
        name: item for name, item in zone_engines.items() if name not in dead
    }
    missing = {item.name: item.replicas for item in zone_placements}
    rack_counts_by_placement = {item.name: {} for item in zone_placements}
    result = {}
    for fit in _Fit:
        for placement in zone_placements:
            candidates = [
                item
                for name, item in free.items()
                if item.model in (None, placement.target["model"])
                and _fit(states.get(name), placement, wanted) is fit
            ]
            rack_counts = rack_counts_by_placement[placement.name]
            while candidates and missing[placement.name]:
                best = min(candidates, key=_rack_order(placement, rack_counts))
                candidates.remove(best)
                del free[best.name]
                result[best.name] = placement
                missing[placement.name] -= 1
                rack_counts[best.rack] = rack_counts.get(best.rack, 0) + 1
    return result


def _rack_order(placement, rack_counts):
    def key(engine):
        weight = rendezvous.rank(placement.name, engine.name)
        return rack_counts.get(engine.rack, 0), weight

    return key


def _fit(state, placement, wanted):
    if state is NO_STATE:
        return _Fit.EMPTY
    current = state.loading or state.loaded
    if current is None:
        return _Fit.EMPTY
    target = placement.target
    if _identity(current) == _identity(target):
        return _Fit.MATCHES
    if _identity(current) in wanted:
        return _Fit.WANTED_ELSEWHERE
    if current["model"] != target["model"]:
        return _Fit.UNWANTED
    if current["role"] == target["role"]:
        return _Fit.OTHER_VERSION
    return _Fit.OTHER_ROLE


def _identity(target):
    return target["model"], target["version"], target["role"]
