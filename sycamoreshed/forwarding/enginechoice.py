"""Selection of the engine where a request is expected to end first.

The load that it answers: many instances, each with few requests, share
engines of limited memory and uneven speed, and a part of a prompt is common
to much of the traffic.

Costs are in tokens: the time that an engine of usual speed needs to read so
many tokens of a prompt.  They can be compared before any time is known.
"""

import math
import typing

from sycamoreshed.membership import rendezvous

__all__ = [
    "Candidate",
    "Pick",
    "expected_now",
    "has_room",
    "margins",
    "pick",
    "room_needed",
]

# Speeds and costs that differ by less count as equal: learnt speeds vary by as
# much.
TOLERANCE = 0.25
# A step of all running requests, each of which gets a token by it, takes as
# long as reading this many tokens of a prompt.
STEP_TOKENS = 100
# Work of a request besides its tokens, and all of it if it names none.
REQUEST_TOKENS = 200
# Share of the requests of others that may have the same prefix.
PREFIX_SHARE = 0.5
# Power of an engine's speed to which its share of the prefixes is
# proportional.
PREFIX_SPEED_POWER = 2
# Speeds are rounded to powers of this ratio for it: a prefix that moves with
# each change of an estimate is read again and again.
PREFIX_SPEED_STEP = 1.5
# One in so many requests is sent as if all engines were equally fast: an
# engine that got none would remain slow by its last measurement.
EXPLORATION_PERIOD = 50


class Candidate(typing.NamedTuple):
    """An engine that a request may be sent to.

    Parameters
    ----------
    endpoint : Endpoint
    load : Load
        What all instances are expected to have there.
    slowness : float
        How many times longer it takes than usual.
    transfer_tokens : float
        Cost of the transfers to it.
    spare_tokens : float
        Memory that stays free if it gets the request.
    """

    endpoint: typing.Any
    load: typing.Any
    slowness: float = 1.0
    transfer_tokens: float = 0.0
    spare_tokens: float = math.inf


class Pick(typing.NamedTuple):
    """A selected engine.

    Parameters
    ----------
    candidate : Candidate
    reason : str
    cost_tokens : float
        Expected time until the request ends there, see above.
    """

    candidate: Candidate
    reason: str
    cost_tokens: float


def margins(loads, told, spec, *, age_s, held_s):
    """Return the memory left free at engines for what is not told yet.

    What others should have replaced meanwhile is expected where there is
    room, in proportion to it.

    Parameters
    ----------
    loads : dict of str to Load
        What all have at each engine, by `Endpoint.boot`.
    told : dict of str to Load
        The part of it that others told.
    spec : EngineSpec
    age_s : float
        Age of what others told.
    held_s : float
        Mean time for which requests are at engines.

    Returns
    -------
    dict of str to float
    """
    if not told:
        return dict.fromkeys(loads, 0.0)
    replaced = 1 - _remaining(age_s, held_s)
    left = {
        boot: replaced * told[boot].held_tokens if boot in told else 0.0
        for boot in loads
    }
    free = {
        boot: max(1.0, spec.memory_tokens - load.held_tokens + left[boot])
        for boot, load in loads.items()
    }
    arrived = sum(left.values()) / sum(free.values())
    return {
        boot: max(0.0, arrived * free[boot] - left[boot]) for boot in loads
    }


def room_needed(load, needed, spec, margin):
    """Return how many tokens too few an engine has free for a request.

    Examples
    --------
    >>> from sycamoreshed.catalog import types
    >>> from sycamoreshed.engineload import work
    >>> spec = types.EngineSpec(64, 1000)
    >>> request = work.Work(400, 0, 100)
    >>> room_needed(work.Load(1, 0, 700), request, spec, 0)
    200
    >>> room_needed(work.Load(1, 0, 450), request, spec, 100)
    50
    """
    if load.held_tokens == 0:
        # An empty engine takes whatever fits, or nobody would ever send a
        # request of nearly its whole memory.
        margin = 0
    total = load.held_tokens + needed.memory_tokens + margin
    return max(0, total - spec.memory_tokens)


def has_room(load, needed, spec, margin):
    """Return whether an engine's memory has room for a request."""
    return room_needed(load, needed, spec, margin) == 0


def pick(candidates, needed, spec, *, key, affinity=None, untold=0.0):
    """Select one of the engines that have room for a request.

    Parameters
    ----------
    candidates : sequence of Candidate
        At least one.
    needed : Work
    spec : EngineSpec
    key : str
        Differs between requests, whose order of equal engines it decides.
    affinity : str, optional
        Equal for requests that have a part of their prompts in common.
    untold : float
        Expected number of requests at the engines that others have sent and
        not told yet.

    Returns
    -------
    Pick

    Notes
    -----
    If each request went to the engine of least cost, all that others send
    before they hear of each other would go to one engine.  Those requests are
    expected where they even out the costs, and a request goes to each engine
    with the probability that they do.
    """
    is_exploring = rendezvous.rank(key, "explore") % EXPLORATION_PERIOD == 0
    if is_exploring:
        candidates = [each._replace(slowness=1.0) for each in candidates]
    prefix_weights = {
        each.endpoint.id: _prefix_weight(each.slowness) for each in candidates
    }
    candidates = [
        each._replace(slowness=_rounded(each.slowness, 1 + TOLERANCE))
        for each in candidates
    ]
    with_prefix = _roomy(candidates, needed, PREFIX_SHARE * untold)
    even = untold / len(candidates)
    candidates = _roomy(candidates, needed, even) or candidates
    costs = {
        each.endpoint.id: _cost(each, needed, spec) for each in candidates
    }
    steps = {
        each.endpoint.id: _cost_step(each, needed, spec) for each in candidates
    }
    level = _level(costs, steps, 1 + untold)
    if affinity is not None:
        for each in _by_prefix(with_prefix, needed, affinity, prefix_weights):
            if each.endpoint.id not in costs:
                continue
            cost = _cost(each, needed, spec, cached=needed.shared_tokens)
            if cost <= level:
                return Pick(each, "prefix", cost)
    cheapest = min(each.transfer_tokens for each in candidates)
    near = {
        each.endpoint.id: costs[each.endpoint.id]
        for each in candidates
        if each.transfer_tokens == cheapest
    }
    near_level = _level(near, steps, 1 + untold)
    if near_level <= (1 + TOLERANCE) * level:
        level = near_level
    else:
        near = costs
    weights = {
        name: (level - cost) / steps[name]
        for name, cost in near.items()
        if cost < level
    }
    name = _drawn(weights, key)
    (chosen,) = (each for each in candidates if each.endpoint.id == name)
    return Pick(chosen, "expected end", costs[name])


def _roomy(candidates, needed, untold):
    """Return the engines with room for those that others may have sent.

    All instances that wait for room, or have requests with the same prefix,
    would choose the same engine before they hear of each other.
    """
    requests = sum(each.load.requests for each in candidates)
    held = sum(each.load.held_tokens for each in candidates)
    usual = max(needed.memory_tokens, held / max(1, requests))
    reserve = usual * (1 + untold)
    return [each for each in candidates if each.spare_tokens >= reserve]


def _rounded(slowness, step):
    """Return a slowness rounded to a power of a ratio."""
    base = math.log(step)
    return math.exp(base * round(math.log(max(1e-3, slowness)) / base))


def _prefix_weight(slowness):
    """Return an engine's share of the prefixes, relative to others."""
    return _rounded(slowness, PREFIX_SPEED_STEP) ** -PREFIX_SPEED_POWER


def _own_tokens(needed, cached):
    """Return the cost of a request at an idle engine of usual speed."""
    steps = needed.output_tokens * STEP_TOKENS + REQUEST_TOKENS
    return needed.prompt_tokens - cached + steps


def _cost(candidate, needed, spec, *, cached=0):
    """Return the cost of a request at an engine, with a part cached there.

    Each request there delays its prompt and steps, and it delays theirs; so
    does one that is preempted for lack of memory and read again.
    """
    load = candidate.load
    used = max(
        load.requests / max(1, spec.slots),
        load.held_tokens / spec.memory_tokens,
    )
    slowed = 1 + used
    tokens = load.unread_tokens + slowed * _own_tokens(needed, cached)
    return candidate.transfer_tokens + candidate.slowness * tokens


def _cost_step(candidate, needed, spec):
    """Return by how much one more such request raises the cost."""
    used = max(
        1 / max(1, spec.slots), needed.memory_tokens / spec.memory_tokens
    )
    unread = needed.prompt_tokens - needed.shared_tokens
    return candidate.slowness * (unread + used * _own_tokens(needed, 0))


def _level(costs, steps, requests):
    """Return the cost up to which some requests raise the lowest costs.

    Examples
    --------
    >>> _level({"e1": 10, "e2": 20, "e3": 90}, {"e1": 10, "e2": 10}, 3)
    30.0
    """
    names = sorted(costs, key=costs.get)
    filled = total = 0.0
    level = math.inf
    for name in names:
        if costs[name] >= level:
            break
        filled += costs[name] / steps[name]
        total += 1 / steps[name]
        level = (requests + filled) / total
    return level


def _drawn(weights, key):
    """Return a name drawn by weight; equal for equal keys."""

    def waiting(name):
        share = rendezvous.rank(key, name) / 2**64
        return -math.log1p(-min(share, 1 - 1e-12)) / weights[name]

    return min(weights, key=waiting)


def _by_prefix(candidates, needed, affinity, weights):
    """Return the engines that may have a prefix, the likeliest first.

    The order is the same on all instances that know about the same speeds.
    Faster engines have more prefixes: beside long prompts, the pauses of
    streams grow faster than the slowness of their engine.  An engine from
    which the transfers cost more than reading the prefix again has none.
    """
    cheapest = min((each.transfer_tokens for each in candidates), default=0.0)
    eligible = [
        each
        for each in candidates
        if each.transfer_tokens <= cheapest + needed.shared_tokens
    ]
    return sorted(
        eligible,
        key=lambda each: rendezvous.weighted_rank(
            affinity, each.endpoint.id, weights[each.endpoint.id]
        ),
        reverse=True,
    )


def expected_now(told, age_s, held_s):
    """Return what others still have at an engine, of what they told.

    Parameters
    ----------
    told : Load
    age_s : float
        Age of what they told.
    held_s : float
        Mean time for which requests are there.
    """
    share = _remaining(age_s, held_s)
    return told._replace(
        requests=share * told.requests,
        unread_tokens=share * told.unread_tokens,
        held_tokens=share * told.held_tokens,
    )


def _remaining(age_s, held_s):
    return math.exp(-age_s / max(1e-3, held_s))
