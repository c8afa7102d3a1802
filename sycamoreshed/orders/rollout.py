"""Which orders may be given now, without too few engines serving."""

import collections
import typing

__all__ = ["Step", "is_settled", "steps"]


class Step(typing.NamedTuple):
    """An order that may be given now.

    Parameters
    ----------
    engine : str
    target : Target or None
        None unloads.
    size : float
        Bytes that it takes from the weight store.
    interrupts : bool
        Whether the engine serves now and will not during the load.
    why : str
        For the decision line.
    """

    engine: str
    target: dict | None
    size: float
    interrupts: bool
    why: str


def is_settled(state, target):
    """Return whether an engine has what it should have.

    Parameters
    ----------
    state : State
    target : Target or None
    """
    return state.loaded == target and state.loading is None


def steps(assigned, zone_placements, states, dead, *, loads, pending=()):
    """Return the orders that may be given now.

    Parameters
    ----------
    assigned : dict of str to Placement
    zone_placements : list of Placement
    states : dict of str to State
    dead : set of str
    loads : int
        Engines that may load at a time, those loading now included.
    pending : collection of str
        Engines with an order under way that were not read back since;
        their states tell of before the order.

    Returns
    -------
    list of Step

    Notes
    -----
    An order to an engine that serves takes it away from its model for
    the time of the load.  It waits while the model would have fewer than
    its floor of engines serving, of whatever version.  So a version that
    does not load stops the change at its first engine, and the others go
    on with the version before.
    """
    serving = _serving(states, {*dead, *pending})
    floors = _floors(assigned, zone_placements, dead)
    loads -= sum(
        name in pending or state.loading is not None
        for name, state in states.items()
    )
    result = []
    for name, placement in sorted(assigned.items()):
        state = states.get(name)
        if state is None or name in pending:
            continue
        if _is_on_its_way(state, placement.target):
            continue
        size = _size(state, placement)
        if size is not None and loads <= 0:
            continue
        if not _may_interrupt(state, serving, floors):
            continue
        loads -= size is not None
        interrupts = size is not None and _is_serving(state)
        result.append(
            Step(name, placement.target, size or 0.0, interrupts, "note")
        )
    for name, state in sorted(states.items()):
        if name in dead or name in pending:
            continue
        if not _is_left_over(name, state, assigned):
            continue
        if _may_unload(state, assigned, states):
            serves = _is_serving(state)
            result.append(Step(name, None, 0.0, serves, "left over"))
    return result


def _serving(states, dead):
    """Count engines that serve, by model."""
    return collections.Counter(
        state.loaded["model"]
        for name, state in states.items()
        if name not in dead and _is_serving(state)
    )


def _floors(assigned, zone_placements, dead):
    """Return how many must go on serving, by model.

    With an engine dead for long the floor could forbid every step; the
    change would hang until a machine is repaired.  So it falls to one
    less than what is alive.
    """
    floors = collections.Counter()
    for placement in zone_placements:
        floors[placement.target["model"]] += placement.floor
    alive = collections.Counter(
        placement.target["model"]
        for name, placement in assigned.items()
        if name not in dead
    )
    return {
        model: min(floor, max(alive[model] - 1, 0))
        for model, floor in floors.items()
    }


def _is_serving(state):
    return state.serving and state.loaded is not None


def _is_on_its_way(state, target):
    if state.loading is not None:
        return state.loading == target
    return state.loaded == target


def _size(state, placement):
    """Return the bytes of a load, or None if no weights are loaded."""
    held = state.loaded
    target = placement.target
    if held is not None and state.loading is None:
        same = held["model"] == target["model"]
        if same and held["version"] == target["version"]:
            return None
    return placement.size


def _may_interrupt(state, serving, floors):
    """Return whether an engine may be taken away, and count it as gone."""
    if not _is_serving(state):
        return True
    model = state.loaded["model"]
    if serving[model] - 1 < floors.get(model, 0):
        return False
    serving[model] -= 1
    return True


def _is_left_over(name, state, assigned):
    """Return whether an engine has what nobody wants of it.

    An engine that never took an order is another's business.
    """
    if name in assigned or not state.fence:
        return False
    return state.loaded is not None or state.loading is not None


def _may_unload(state, assigned, states):
    held = state.loading or state.loaded
    return all(
        is_settled(states[name], placement.target) if name in states else False
        for name, placement in assigned.items()
        if placement.target["model"] == held["model"]
    )
