"""Explores every order of events between two candidates and one store.

Events: time passes, one clock drifts, a candidate reads, proposes a
write, stops waiting for the response, restarts, stops and releases; the
store applies or refuses a write in flight, at any later time, and comes back
from an older copy, where it compares bare versions.  A pause is
a candidate without events while time passes; a lost write is one that
stays in flight.  The exploration calls the functions of `leases` that the
system uses.  Worlds that differ only in absolute time, or in times too
long ago to matter, are equal, so that all of them can be visited.
"""

import typing

from sycamoreshed.adapters import positions
from sycamoreshed.adapters import table as tables
from sycamoreshed.orders import leases
from sycamoreshed.orders import records

KEY = "leases/z"
TERMS = records.Terms(duration_s=3, margin_s=1, max_order_s=2)
LONG_AGO = -9


class FrozenValue(dict):
    """Hashable value of a row."""

    def __hash__(self):
        """Hash the attempt, which is unique for each value."""
        return hash(self["attempt"])


class Candidate(typing.NamedTuple):
    """One candidate; its times are by its own clock, except two.

    `stopped_at` and `last_order_at` are times of the world.
    """

    clock: int = 0
    state: records.LeaseState = records.LeaseState()
    waiting_for: str | None = None
    attempts: int = 0
    restarts: int = 0
    stopped_at: int | None = None
    last_order_at: int = LONG_AGO
    fence: int = 0


class World(typing.NamedTuple):
    """The store, the writes in flight and both candidates."""

    time: int = 0
    row: tables.Row = tables.Row(KEY, None, tables.ABSENT)
    version: int = 0
    drift: int = 0
    in_flight: tuple = ()
    answers: tuple = ()
    # Row and version of the store's copy.
    copy: tuple | None = None
    era: int = 0
    candidates: tuple = (Candidate(), Candidate())
    # Time of the last order and highest fence of restarted processes.
    ended: tuple = (LONG_AGO, 0)


class Bounds(typing.NamedTuple):
    """Limits; `attempts` are the writes each candidate may propose."""

    attempts: tuple = (2, 1)
    restarts: int = 0
    drift: int = 1
    writes: int = 3
    restores: int = 0


def explore(*, bounds, terms=TERMS):
    """Visit all reachable worlds; return their number and the first fault.

    Parameters
    ----------
    bounds : Bounds
    terms : Terms
    """
    pending = [(World(), None)]
    visited = {World()}
    while pending:
        world, trail = pending.pop()
        for name, after in _steps(world, terms, bounds):
            after, fault = _check(world, after, terms)
            if fault:
                return len(visited), [(fault, _path((name, trail)))]
            after = _canonical(after, terms)
            if after not in visited:
                visited.add(after)
                pending.append((after, (name, trail)))
    return len(visited), []


def _path(trail):
    names = []
    while trail is not None:
        names.append(trail[0])
        trail = trail[1]
    return names[::-1]


def _steps(world, terms, bounds):
    candidates = [_advance_clock(candidate) for candidate in world.candidates]
    yield (
        "tick",
        world._replace(time=world.time + 1, candidates=tuple(candidates)),
    )
    for index, candidate in enumerate(world.candidates):
        name = "ab"[index]
        if world.drift < bounds.drift:
            drifted = world._replace(drift=world.drift + 1)
            yield (
                f"{name} drifts",
                _with_candidate(drifted, index, _advance_clock(candidate)),
            )
        yield from _candidate_steps(world, index, candidate, terms, bounds)
    if world.era < bounds.restores:
        yield from _restore_steps(world)
    for item in world.in_flight:
        yield from _store_steps(world, item, bounds)
    for item in world.answers:
        yield _answer_step(world, item, terms)


def _restore_steps(world):
    if world.copy is None:
        copy = (world.row, world.version)
        yield "store is copied", world._replace(copy=copy)
        return
    row, version = world.copy
    number = positions.unpack(row.version).version
    restored = row._replace(version=_packed(number, world.era + 1))
    yield (
        "store comes back",
        world._replace(
            row=restored, version=version, copy=None, era=world.era + 1
        ),
    )


def _packed(version, era):
    return positions.pack(positions.Position(era, version))


def _candidate_steps(world, index, candidate, terms, bounds):
    name = "ab"[index]
    if candidate.waiting_for is not None:
        yield (
            f"{name} gives up",
            _with_candidate(
                world, index, candidate._replace(waiting_for=None)
            ),
        )
    elif candidate.stopped_at is None:
        state = leases.observe(
            candidate.state, world.row, candidate.clock, terms
        )
        read = candidate._replace(state=state)
        yield f"{name} reads", _with_candidate(world, index, read)
        if candidate.attempts < bounds.attempts[index]:
            yield from _propose(world, index, read, world.row, terms)
            lease = candidate.state.lease
            if lease is not None and not candidate.state.unanswered:
                row = tables.Row(KEY, None, lease.version)
                yield from _propose(world, index, candidate, row, terms)
        if leases.is_valid(candidate.state, candidate.clock, terms):
            stopped = candidate._replace(stopped_at=world.time)
            yield f"{name} stops", _with_candidate(world, index, stopped)
    elif world.time - candidate.stopped_at >= terms.max_order_s:
        yield from _release(world, index, candidate, terms)
    if (
        candidate.restarts < bounds.restarts
        and candidate.state.lease is not None
    ):
        ended = (
            max(world.ended[0], candidate.last_order_at),
            max(world.ended[1], candidate.fence),
        )
        fresh = Candidate(
            clock=candidate.clock,
            attempts=candidate.attempts,
            restarts=candidate.restarts + 1,
        )
        yield (
            f"{name} restarts",
            _with_candidate(world._replace(ended=ended), index, fresh),
        )


def _propose(world, index, candidate, row, terms):
    attempt = f"{'ab'[index]}{candidate.attempts}"
    state, write = leases.propose(
        candidate.state,
        row,
        candidate.clock,
        terms,
        holder="x",
        attempt=attempt,
    )
    if write is None:
        return
    candidate = candidate._replace(
        state=state, waiting_for=attempt, attempts=candidate.attempts + 1
    )
    yield (
        f"{attempt} proposed",
        _send(_with_candidate(world, index, candidate), index, write),
    )


def _release(world, index, candidate, terms):
    state, write = leases.propose_release(
        candidate.state, KEY, terms, holder="x", attempt="r"
    )
    if write is None:
        return
    after = _with_candidate(world, index, candidate._replace(state=state))
    yield f"{'ab'[index]} releases", _send(after, index, write)


def _send(world, index, write):
    write = write._replace(value=FrozenValue(write.value))
    return world._replace(in_flight=(*world.in_flight, (index, write)))


def _store_steps(world, item, bounds):
    index, write = item
    attempt = write.value["attempt"]
    in_flight = tuple(other for other in world.in_flight if other is not item)
    world = world._replace(in_flight=in_flight)
    expected = positions.unpack(write.if_version)
    found = positions.unpack(world.row.version)
    if expected.version != found.version:
        answer = (index, attempt, None, world.row)
        yield f"{attempt} refused", _send_answer(world, answer)
    elif world.version < bounds.writes:
        version = world.version + 1
        row = tables.Row(KEY, write.value, _packed(version, world.era))
        world = world._replace(row=row, version=version)
        answer = (index, attempt, row.version, row)
        if expected.era == found.era:
            world = _send_answer(world, answer)
        # Else the client takes the outcome for unknown.
        yield f"{attempt} applied", world


def _send_answer(world, answer):
    return world._replace(answers=(*world.answers, answer))


def _answer_step(world, answer, terms):
    index, attempt, version, row = answer
    answers = tuple(other for other in world.answers if other is not answer)
    world = world._replace(answers=answers)
    candidate = world.candidates[index]
    if version is None:
        state = leases.on_conflict(
            candidate.state, row, attempt, candidate.clock, terms
        )
    else:
        state = leases.on_written(candidate.state, attempt, version, terms)
    candidate = candidate._replace(state=state, waiting_for=None)
    return f"{attempt} answered", _with_candidate(world, index, candidate)


def _check(before, world, terms):
    """Record the orders sent by now; return the world and a fault or None."""
    old_fence = (before.row.value or {}).get("fence", 0)
    # A write over the same version of an earlier era may lower it; whoever
    # acquires the lease later needs a higher one all the same.
    is_given_again = (world.row.value or {}).get("era", 0) != world.era
    fell = (world.row.value or {}).get("fence", 0) < old_fence
    if fell and not is_given_again:
        return world, "the fence fell"
    for index, candidate in enumerate(world.candidates):
        if candidate.stopped_at is not None:
            continue
        if not leases.is_valid(candidate.state, candidate.clock, terms):
            continue
        other = world.candidates[1 - index]
        last_order_at = max(other.last_order_at, world.ended[0])
        if last_order_at + terms.max_order_s > world.time:
            return world, "two holders' orders overlap"
        fence = candidate.state.lease.fence
        if fence <= max(other.fence, world.ended[1]):
            return world, "a later holder has no higher fence"
        candidate = candidate._replace(last_order_at=world.time, fence=fence)
        world = _with_candidate(world, index, candidate)
    return world, None


def _canonical(world, terms):
    """Return the world with current times zero and old times clamped."""
    wait_s = terms.duration_s + terms.max_order_s + 1
    candidates = []
    for candidate in world.candidates:
        now = candidate.clock
        lease, seen, unanswered, max_fence = candidate.state
        if lease is not None:
            expires_at = max(lease.expires_at - now, terms.margin_s)
            lease = lease._replace(expires_at=expires_at)
        if seen is not None:
            seen = seen._replace(seen_at=max(seen.seen_at - now, -wait_s))
        unanswered = tuple(
            item._replace(sent_at=max(item.sent_at - now, -terms.duration_s))
            for item in unanswered
        )
        stopped_at = candidate.stopped_at
        if stopped_at is not None:
            stopped_at = max(stopped_at - world.time, -terms.max_order_s)
        candidates.append(
            candidate._replace(
                clock=0,
                state=records.LeaseState(lease, seen, unanswered, max_fence),
                stopped_at=stopped_at,
                last_order_at=max(
                    candidate.last_order_at - world.time, -terms.max_order_s
                ),
            )
        )
    last_order_at = max(world.ended[0] - world.time, -terms.max_order_s)
    in_flight = tuple(
        (index, write)
        for index, write in world.in_flight
        if positions.unpack(write.if_version).version
        == positions.unpack(world.row.version).version
        or world.copy is not None
        or world.candidates[index].waiting_for == write.value["attempt"]
    )
    answers = tuple(
        answer
        for answer in world.answers
        if world.candidates[answer[0]].waiting_for == answer[1]
    )
    return world._replace(
        time=0,
        candidates=tuple(candidates),
        ended=(last_order_at, world.ended[1]),
        in_flight=in_flight,
        answers=answers,
    )


def _advance_clock(candidate):
    return candidate._replace(clock=candidate.clock + 1)


def _with_candidate(world, index, candidate):
    candidates = list(world.candidates)
    candidates[index] = candidate
    return world._replace(candidates=tuple(candidates))
