"""Explores every order of events between two candidates and one store.

Events: time passes, one clock drifts, a candidate reads, proposes a
write, gives up waiting for its answer, restarts, stops and releases; the
store applies or refuses a write that is on its way, at any later time.  A
pause is a candidate to which nothing happens while time passes; a lost
write is one that stays on its way.  What is driven are the deciding
functions themselves.  Worlds that differ only in when they happen, or in
times too long ago to matter, count as one, so all of them are visited.
"""

import typing

from sycamoreshed.adapters import table as tables
from sycamoreshed.orders import leases
from sycamoreshed.orders import records

KEY = "leases/z"
TERMS = records.Terms(seconds=3, margin=1, longest=2)
FOREVER = -9


class Frozen(dict):
    """A row's value that can be part of a visited world."""

    def __hash__(self):
        """Hash the attempt, which is unique for each value."""
        return hash(self["attempt"])


class Side(typing.NamedTuple):
    """One candidate: times by its own clock, `last` by the real one."""

    clock: int = 0
    standing: records.LeaseState = records.LeaseState()
    waiting: str | None = None
    attempts: int = 0
    restarts: int = 0
    stopped: int | None = None
    last: int = FOREVER
    fence: int = 0


class World(typing.NamedTuple):
    """The store, the writes under way and both candidates."""

    time: int = 0
    row: tables.Row = tables.Row(KEY, None, tables.ABSENT)
    version: int = 0
    drift: int = 0
    flying: tuple = ()
    answers: tuple = ()
    sides: tuple = (Side(), Side())
    # Latest order and fence of processes that are gone.
    gone: tuple = (FOREVER, 0)


class Bounds(typing.NamedTuple):
    """How far to explore; writes proposed are counted for each side."""

    attempts: tuple = (2, 1)
    restarts: int = 0
    drift: int = 1
    writes: int = 3


def explore(*, bounds, terms=TERMS):
    """Visit reachable worlds; return their number and the first fault.

    Parameters
    ----------
    bounds : Bounds
    terms : Terms
    """
    todo = [(World(), None)]
    seen = {World()}
    while todo:
        world, trail = todo.pop()
        for name, after in _steps(world, terms, bounds):
            after, fault = _judge(world, after, terms)
            if fault:
                return len(seen), [(fault, _path((name, trail)))]
            after = _canonical(after, terms)
            if after not in seen:
                seen.add(after)
                todo.append((after, (name, trail)))
    return len(seen), []


def _path(trail):
    names = []
    while trail is not None:
        names.append(trail[0])
        trail = trail[1]
    return names[::-1]


def _steps(world, terms, bounds):
    sides = [_shift(side) for side in world.sides]
    yield "tick", world._replace(time=world.time + 1, sides=tuple(sides))
    for index, side in enumerate(world.sides):
        who = "ab"[index]
        if world.drift < bounds.drift:
            drifted = world._replace(drift=world.drift + 1)
            yield f"{who} drifts", _put(drifted, index, _shift(side))
        yield from _own_steps(world, index, side, terms, bounds)
    for item in world.flying:
        yield from _store_steps(world, item, bounds)
    for item in world.answers:
        yield _answer_step(world, item, terms)


def _own_steps(world, index, side, terms, bounds):
    who = "ab"[index]
    if side.waiting is not None:
        yield (
            f"{who} gives up",
            _put(world, index, side._replace(waiting=None)),
        )
    elif side.stopped is None:
        standing = leases.observe(side.standing, world.row, side.clock, terms)
        read = side._replace(standing=standing)
        yield f"{who} reads", _put(world, index, read)
        if side.attempts < bounds.attempts[index]:
            yield from _propose(world, index, read, world.row, terms)
            held = side.standing.held
            if held is not None and not side.standing.sent:
                row = tables.Row(KEY, None, held.version)
                yield from _propose(world, index, side, row, terms)
        if leases.is_valid(side.standing, side.clock, terms):
            stopped = side._replace(stopped=world.time)
            yield f"{who} stops", _put(world, index, stopped)
    elif world.time - side.stopped >= terms.longest:
        yield from _release(world, index, side, terms)
    if side.restarts < bounds.restarts and side.standing.held is not None:
        gone = (max(world.gone[0], side.last), max(world.gone[1], side.fence))
        fresh = Side(
            clock=side.clock,
            attempts=side.attempts,
            restarts=side.restarts + 1,
        )
        yield f"{who} restarts", _put(world._replace(gone=gone), index, fresh)


def _propose(world, index, side, row, terms):
    attempt = f"{'ab'[index]}{side.attempts}"
    standing, write = leases.propose(
        side.standing, row, side.clock, terms, holder="x", attempt=attempt
    )
    if write is None:
        return
    side = side._replace(
        standing=standing, waiting=attempt, attempts=side.attempts + 1
    )
    yield f"{attempt} proposed", _send(_put(world, index, side), index, write)


def _release(world, index, side, terms):
    standing, write = leases.propose_release(
        side.standing, KEY, terms, holder="x", attempt="r"
    )
    if write is None:
        return
    after = _put(world, index, side._replace(standing=standing))
    yield f"{'ab'[index]} releases", _send(after, index, write)


def _send(world, index, write):
    write = write._replace(value=Frozen(write.value))
    return world._replace(flying=(*world.flying, (index, write)))


def _store_steps(world, item, bounds):
    index, write = item
    attempt = write.value["attempt"]
    flying = tuple(other for other in world.flying if other is not item)
    world = world._replace(flying=flying)
    if write.if_version != world.row.version:
        answer = (index, attempt, None, world.row)
        yield f"{attempt} refused", _send_answer(world, answer)
    elif world.version < bounds.writes:
        version = world.version + 1
        row = tables.Row(KEY, write.value, version)
        world = world._replace(row=row, version=version)
        answer = (index, attempt, version, row)
        yield f"{attempt} applied", _send_answer(world, answer)


def _send_answer(world, answer):
    return world._replace(answers=(*world.answers, answer))


def _answer_step(world, answer, terms):
    index, attempt, version, row = answer
    answers = tuple(other for other in world.answers if other is not answer)
    world = world._replace(answers=answers)
    side = world.sides[index]
    if version is None:
        standing = leases.on_conflict(
            side.standing, row, attempt, side.clock, terms
        )
    else:
        standing = leases.on_written(side.standing, attempt, version, terms)
    side = side._replace(standing=standing, waiting=None)
    return f"{attempt} answered", _put(world, index, side)


def _judge(before, world, terms):
    """Return the world with its latest orders, and a fault or None."""
    old = (before.row.value or {}).get("fence", 0)
    if (world.row.value or {}).get("fence", 0) < old:
        return world, "the fence fell"
    for index, side in enumerate(world.sides):
        if side.stopped is not None:
            continue
        if not leases.is_valid(side.standing, side.clock, terms):
            continue
        other = world.sides[1 - index]
        last = max(other.last, world.gone[0])
        if last + terms.longest > world.time:
            return world, "two holders' orders overlap"
        fence = side.standing.held.fence
        if fence <= max(other.fence, world.gone[1]):
            return world, "a later holder has no higher fence"
        side = side._replace(last=world.time, fence=fence)
        world = _put(world, index, side)
    return world, None


def _canonical(world, terms):
    """Return the world with present times zero and old times cut off."""
    wait = terms.seconds + terms.longest + 1
    sides = []
    for side in world.sides:
        now = side.clock
        held, seen, sent, floor = side.standing
        if held is not None:
            until = max(held.until - now, terms.margin)
            held = held._replace(until=until)
        if seen is not None:
            seen = seen._replace(at=max(seen.at - now, -wait))
        sent = tuple(
            item._replace(at=max(item.at - now, -terms.seconds))
            for item in sent
        )
        stopped = side.stopped
        if stopped is not None:
            stopped = max(stopped - world.time, -terms.longest)
        sides.append(
            side._replace(
                clock=0,
                standing=records.LeaseState(held, seen, sent, floor),
                stopped=stopped,
                last=max(side.last - world.time, -terms.longest),
            )
        )
    last = max(world.gone[0] - world.time, -terms.longest)
    flying = tuple(
        (index, write)
        for index, write in world.flying
        if write.if_version == world.row.version
        or world.sides[index].waiting == write.value["attempt"]
    )
    answers = tuple(
        answer
        for answer in world.answers
        if world.sides[answer[0]].waiting == answer[1]
    )
    return world._replace(
        time=0,
        sides=tuple(sides),
        gone=(last, world.gone[1]),
        flying=flying,
        answers=answers,
    )


def _shift(side):
    return side._replace(clock=side.clock + 1)


def _put(world, index, side):
    sides = list(world.sides)
    sides[index] = side
    return world._replace(sides=tuple(sides))
