"""Selects the orders to send now while enough engines keep serving."""

import collections
import typing

__all__ = ["Step", "is_settled", "steps"]


class Step(typing.NamedTuple):
    """An order that may be sent now.

    Parameters
    ----------
    engine : str
    target : Target or None
        None unloads.
    load_bytes : float
        Bytes that the engine fetches from the weight store.
    interrupts : bool
        Whether the engine serves now and the order makes it load or
        unload weights; it is drained first.
    reason : str
        Reason in the decision log.
    """

    engine: str
    target: dict | None
    load_bytes: float
    interrupts: bool
    reason: str


def is_settled(state, target):
    """Return whether an engine has loaded its target.

    Parameters
    ----------
    state : State
    target : Target or None
    """
    return state.loaded == target and state.loading is None


def steps(assigned, zone_placements, states, dead, *, load_slots, pending=()):
    """Return the orders that may be sent now.

    Parameters
    ----------
    assigned : dict of str to Placement
    zone_placements : list of Placement
    states : dict of str to State
    dead : set of str
    load_slots : int
        Maximum of concurrent loads, those in progress included.
    pending : collection of str
        Engines not read since their last order was started; their states
        are from before the order.

    Returns
    -------
    list of Step

    Notes
    -----
    An engine does not serve its model while it loads.  An order to a
    serving engine waits while it would leave fewer engines serving the
    model, in any version, than the minimum.  A version that fails to
    load thus stops the rollout at its first engine, and the other engines
    keep serving the previous version.  An engine without a placement is
    unloaded once all engines assigned to its model are settled.
    """
    serving = _count_serving(states, {*dead, *pending})
    minimums = _minimums(assigned, zone_placements, dead)
    load_slots -= sum(
        name in pending or state.loading is not None
        for name, state in states.items()
    )
    result = []
    for name, placement in sorted(assigned.items()):
        state = states.get(name)
        if state is None or name in pending:
            continue
        if _has_or_is_loading(state, placement.target):
            continue
        load_bytes = _load_bytes(state, placement)
        if load_bytes is not None and load_slots <= 0:
            continue
        if not _try_interrupt(state, serving, minimums):
            continue
        load_slots -= load_bytes is not None
        interrupts = load_bytes is not None and _is_serving(state)
        result.append(
            Step(name, placement.target, load_bytes or 0.0, interrupts, "note")
        )
    for name, state in sorted(states.items()):
        if name in dead or name in pending:
            continue
        if not _is_left_over(name, state, assigned):
            continue
        if _can_unload(state, assigned, states):
            serves = _is_serving(state)
            result.append(Step(name, None, 0.0, serves, "left over"))
    return result


def _count_serving(states, excluded):
    """Count the serving engines of each model."""
    return collections.Counter(
        state.loaded["model"]
        for name, state in states.items()
        if name not in excluded and _is_serving(state)
    )


def _minimums(assigned, zone_placements, dead):
    """Return how many engines of each model must keep serving.

    With dead engines, the configured minimum could forbid every step and
    block the rollout until a machine is repaired.  The minimum is
    therefore at most one less than the engines alive.
    """
    minimums = collections.Counter()
    for placement in zone_placements:
        minimums[placement.target["model"]] += placement.min_serving
    alive = collections.Counter(
        placement.target["model"]
        for name, placement in assigned.items()
        if name not in dead
    )
    return {
        model: min(minimum, max(alive[model] - 1, 0))
        for model, minimum in minimums.items()
    }


def _is_serving(state):
    return state.serving and state.loaded is not None


def _has_or_is_loading(state, target):
    if state.loading is not None:
        return state.loading == target
    return state.loaded == target


def _load_bytes(state, placement):
    """Return the bytes of a load, or None if no weights are fetched."""
    loaded = state.loaded
    target = placement.target
    if loaded is not None and state.loading is None:
        same_model = loaded["model"] == target["model"]
        if same_model and loaded["version"] == target["version"]:
            return None
    return placement.load_bytes


def _try_interrupt(state, serving, minimums):
    """Return whether an engine may be ordered; deduct it if it serves."""
    if not _is_serving(state):
        return True
    model = state.loaded["model"]
    if serving[model] - 1 < minimums.get(model, 0):
        return False
    serving[model] -= 1
    return True


def _is_left_over(name, state, assigned):
    """Return whether an engine without a placement has a model.

    An engine that never accepted an order is managed by others.
    """
    if name in assigned or not state.fence:
        return False
    return state.loaded is not None or state.loading is not None


def _can_unload(state, assigned, states):
    current = state.loading or state.loaded
    return all(
        is_settled(states[name], placement.target) if name in states else False
        for name, placement in assigned.items()
        if placement.target["model"] == current["model"]
    )
