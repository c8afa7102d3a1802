import hypothesis
from hypothesis import strategies as st
import pytest

from sycamoreshed.adapters import engines as control
from sycamoreshed.config import state as configs
from sycamoreshed.orders import assignment
from sycamoreshed.orders import rollout

NOW = 0.0


def _engine(name, rack=None, model=None):
    endpoint = configs.Endpoint(name, "127.0.0.1:9", "s", "z", "r", 8, True)
    return assignment.Engine(endpoint, rack or name, model)


def _engines(*names, racks=None):
    racks = racks or {}
    return {name: _engine(name, racks.get(name)) for name in names}


def _target(model="m", version="1", role="both", adapters=()):
    return {
        "model": model,
        "version": version,
        "adapters": list(adapters),
        "role": role,
    }


def _placement(
    name="p", replicas=2, min_serving=None, load_bytes=0.0, **target
):
    min_serving = replicas - 1 if min_serving is None else min_serving
    return assignment.Placement(
        name, _target(**target), replicas, min_serving, load_bytes
    )


def _state(target, **changes):
    return control.State(target, fence=1)._replace(**changes)


def _assign(engines, placements, states=None, dead=()):
    result = assignment.assign(engines, placements, states or {}, set(dead))
    return {name: item.name for name, item in sorted(result.items())}


def test_engines_keep_their_placement_when_engines_are_added():
    states = {"e3": _state(_target()), "e4": _state(_target())}
    engines = _engines("a1", "a2", "e3", "e4")
    assigned = _assign(engines, [_placement()], states)
    assert assigned == {"e3": "p", "e4": "p"}


def test_new_version_is_assigned_to_engines_of_the_old_one():
    states = {
        "a": _state(_target(model="other")),
        "b": control.State(None),
        "c": _state(_target()),
        "d": _state(_target()),
    }
    engines = _engines("a", "b", "c", "d")
    assigned = _assign(engines, [_placement(version="2")], states)
    assert assigned == {"c": "p", "d": "p"}


def test_dead_engine_is_replaced_and_assigned_nothing():
    states = {"a": _state(_target()), "b": _state(_target())}
    engines = _engines("a", "b", "c")
    assigned = _assign(engines, [_placement()], states, dead=["a"])
    assert assigned == {"b": "p", "c": "p"}


def test_replicas_are_spread_over_racks():
    names = [f"e{number}" for number in range(9)]
    racks = {name: f"r{index % 3}" for index, name in enumerate(names)}
    engines = _engines(*names, racks=racks)
    assigned = _assign(engines, [_placement(replicas=6)])
    used = [racks[name] for name in assigned]
    assert sorted(used) == ["r0", "r0", "r1", "r1", "r2", "r2"]


def test_service_of_one_model_is_assigned_no_other():
    engines = {"a": _engine("a", model="x"), "b": _engine("b")}
    assert _assign(engines, [_placement(replicas=2)]) == {"b": "p"}


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(data=st.data())
def test_assignment_of_a_settled_zone_is_stable(data):
    """An assignment that engines have loaded is assigned again, unchanged.

    Otherwise engines would load again and again with no change of the
    configuration.
    """
    names = [f"e{number}" for number in range(8)]
    counts = data.draw(st.lists(st.integers(1, 3), min_size=1, max_size=4))
    placements = [
        _placement(
            f"p{index}", count, model=f"m{index % 2}", version=f"{index}"
        )
        for index, count in enumerate(counts)
    ]
    targets = st.sampled_from([None, *(item.target for item in placements)])
    states = {name: _state(data.draw(targets)) for name in names}
    engines = _engines(*names)
    first = assignment.assign(engines, placements, states, set())
    after = {
        name: _state(first[name].target if name in first else None)
        for name in names
    }
    assert assignment.assign(engines, placements, after, set()) == first
    assert len(first) == min(len(names), sum(counts))
    moved = sum(
        states[name].loaded is not None
        and name in first
        and states[name].loaded != first[name].target
        for name in names
    )
    # An engine is moved only if no other engine can take its place.
    unmoved = sum(
        name in first and states[name].loaded == first[name].target
        for name in names
    )
    max_unmoved = sum(
        min(
            item.replicas,
            sum(state.loaded == item.target for state in states.values()),
        )
        for item in placements
    )
    assert unmoved == max_unmoved
    assert moved <= len(first) - unmoved


V1 = _state(_target())
V2 = _state(_target(version="2"))
LOADING = V1._replace(loading=_target(version="2"), serving=False)
EMPTY = control.State(None, fence=1, serving=False)
# Replicas and minimum serving, states of the engines, dead engines, load
# slots, and the engines that receive an order.
STEPS = {
    "one at a time": (3, 2, [V1, V1, V1], [], 4, ["0"]),
    "floor stated": (3, 1, [V1, V1, V1], [], 4, ["0", "1"]),
    "loads at a time": (3, 0, [V1, V1, V1], [], 2, ["0", "1"]),
    "wait for the one that loads": (3, 2, [LOADING, V1, V1], [], 4, []),
    "next": (3, 2, [V2, V1, V1], [], 4, ["1"]),
    "broken version stops at the first": (3, 2, [EMPTY, V1, V1], [], 4, ["0"]),
    "empty ones need no floor": (3, 2, [EMPTY, EMPTY, V1], [], 4, ["0", "1"]),
    "one replica": (1, 0, [V1], [], 4, ["0"]),
    "silent one counts as not serving": (3, 2, [None, V1, V1], [], 4, []),
    "dead one lowers the floor": (3, 2, [None, V1, V1], ["0"], 4, ["1"]),
    "done": (3, 2, [V2, V2, V2], [], 4, []),
}


@pytest.mark.parametrize(
    ("replicas", "min_serving", "states", "dead", "load_slots", "expected"),
    STEPS.values(),
    ids=STEPS,
)
def test_steps(replicas, min_serving, states, dead, load_slots, expected):
    placement = _placement(
        replicas=replicas, min_serving=min_serving, version="2", load_bytes=5.0
    )
    names = [str(index) for index in range(len(states))]
    assigned = {name: placement for name in names}
    known = {
        name: state
        for name, state in zip(names, states, strict=True)
        if state is not None
    }
    steps = rollout.steps(
        assigned, [placement], known, set(dead), load_slots=load_slots
    )
    assert [step.engine for step in steps] == expected
    assert all(step.load_bytes == 5.0 for step in steps)


def test_change_of_adapters_fetches_no_weights():
    placement = _placement(replicas=1, adapters=["a"], load_bytes=5.0)
    steps = rollout.steps(
        {"e": placement}, [placement], {"e": V1}, set(), load_slots=0
    )
    assert [(step.target, step.load_bytes) for step in steps] == [
        (placement.target, 0.0)
    ]


def test_left_over_version_is_unloaded_once_its_successors_serve():
    placement = _placement(replicas=1, version="2")
    foreign = V1._replace(fence=0)

    def unloaded(state):
        states = {"e": state, "left": V1, "foreign": foreign}
        steps = rollout.steps(
            {"e": placement}, [placement], states, set(), load_slots=0
        )
        return [step.engine for step in steps if step.target is None]

    assert unloaded(EMPTY) == []
    assert unloaded(V2) == ["left"]
