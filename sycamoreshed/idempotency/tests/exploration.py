"""Exhaustive model of two attempts at one key against one store.

Each attempt makes at most `MAX_WRITES` writes in a phase.

A concurrent reader looks the key up, as a caller of the look-up does.

The control flow of `records` and `once` is modelled as steps that
interleave in any order; the decisions are those of `decide`, as in the
daemon.  A paused process is a step that is taken later, so pauses are
covered too.
"""

import collections
import typing

from sycamoreshed.adapters import table as tables
from sycamoreshed.errors import kinds
from sycamoreshed.idempotency import decide

BODY = "body"
MAX_WRITES = 3
BEGUN, DONE = decide.State.BEGUN, decide.State.DONE
NOT_RUN = decide.State.NOT_RUN
LOST = kinds.Failure(kinds.Kind.STORE_AWAY, "lost", sent=True)
UNSENT = kinds.Failure(kinds.Kind.STORE_AWAY, "refused", sent=False)
INACTIVE_PHASES = ("idle", "over", "looking")
ENDED_PHASES = ("over", "dead", "stuck")
READER = 2


class Message(typing.NamedTuple):
    """A conditional write that has not taken effect yet.

    ``writer`` is the index of the attempt that wrote it, ``owner`` of the
    attempt in the record, ``is_awaited`` whether the writer still waits
    for the answer.
    """

    writer: int
    is_awaited: bool
    state: str
    owner: int
    if_version: int


class Attempt(typing.NamedTuple):
    """One attempt, or the reader.

    ``waits`` tells whether a write of it is unanswered.  ``reported`` is a
    pair of the outcome and the attempt whose answer was sent,
    ``awaited_owner`` the attempt whose record it waits for.
    """

    phase: str = "idle"
    waits: bool = False
    reply: tuple | None = None
    version: int = 0
    may_be_written: bool = False
    writes: int = 0
    reported: tuple | None = None
    awaited_owner: int | None = None


class World(typing.NamedTuple):
    """State of the model.

    ``in_flight`` holds the writes, ``calls`` the attempts whose call is on
    its way to the endpoint, and ``reported_not_run`` the attempts for
    which some caller received "not run".
    """

    row: tuple | None = None
    version: int = 0
    attempts: tuple = (Attempt(), Attempt(), Attempt(phase="looking"))
    in_flight: frozenset = frozenset()
    calls: frozenset = frozenset()
    run_counts: tuple = (0, 0)
    reported_not_run: frozenset = frozenset()


class Report(typing.NamedTuple):
    """Result of an exploration; `path` leads to the violation."""

    states: int
    end_counts: collections.Counter
    violation: str | None
    path: tuple


def as_row(row, version):
    if row is None:
        return tables.Row("k", None, 0)
    state, owner = row
    value = {"state": state, "attempt": str(owner), "body": BODY}
    return tables.Row("k", value, version)


def as_result(reply):
    if isinstance(reply, kinds.Failure):
        return reply
    is_applied, row, version = reply
    if is_applied:
        return tables.Written((version,))
    return tables.Conflict((as_row(row, version),))


def with_attempt(world, i, **changes):
    attempts = list(world.attempts)
    attempts[i] = attempts[i]._replace(**changes)
    return world._replace(attempts=tuple(attempts))


def report_outcome(world, i, outcome, owner=None):
    if outcome == "not-run":
        world = world._replace(reported_not_run=world.reported_not_run | {i})
    return with_attempt(world, i, reported=(outcome, owner))


def write(world, i, state, owner, if_version, phase):
    me = world.attempts[i]
    message = Message(i, True, state, owner, if_version)
    world = world._replace(in_flight=world.in_flight | {message})
    return with_attempt(
        world,
        i,
        phase=phase,
        waits=True,
        reply=None,
        version=if_version,
        writes=me.writes + 1,
    )


def deliver(world, message):
    in_flight = world.in_flight - {message}
    is_applied = world.version == message.if_version
    if is_applied:
        row = (message.state, message.owner)
        world = world._replace(row=row, version=world.version + 1)
        if message.state == NOT_RUN:
            # From now on, look-ups of the key report "not run".
            reported_not_run = world.reported_not_run | {message.owner}
            world = world._replace(reported_not_run=reported_not_run)
    world = world._replace(in_flight=in_flight)
    if message.is_awaited:
        reply = (is_applied, world.row, world.version)
        world = with_attempt(world, message.writer, reply=reply)
    return world


def abandon(world, i, outcome):
    phase = "fencing" if world.attempts[i].may_be_written else "over"
    world = report_outcome(world, i, outcome)
    return with_attempt(
        world, i, phase=phase, waits=False, reply=None, writes=0
    )


def claim_steps(world, i, step, row):
    """Yield the possible events after a claim step; see `Records.claim`."""
    Step = decide.Step
    me = world.attempts[i]
    if step is Step.SEND:
        version = row.version if row else me.version
        yield (
            "claimed",
            with_attempt(world, i, phase="claimed", version=version, writes=0),
        )
    elif step is Step.READ_BACK:
        yield (
            "reads back",
            with_attempt(world, i, phase="reading", may_be_written=True),
        )
    elif step is Step.WAIT:
        awaited_owner = int(row.value["attempt"])
        yield (
            "waits",
            with_attempt(
                world,
                i,
                phase="watching",
                version=row.version,
                awaited_owner=awaited_owner,
            ),
        )
    elif step is Step.REPLAY:
        owner = int(row.value["attempt"])
        yield (
            "replays",
            with_attempt(
                report_outcome(world, i, "complete", owner), i, phase="over"
            ),
        )
    else:
        yield "gives up", abandon(world, i, "not-run")
        again = step in (Step.CLAIM_AGAIN, Step.TRY_AGAIN)
        if again and me.writes < MAX_WRITES:
            version = row.version if row else me.version
            yield "writes again", write(world, i, BEGUN, i, version, "writing")


def write_results(world, i):
    """Yield the possible results of an attempt's write, as it sees them."""
    me = world.attempts[i]
    if me.reply is not None:
        yield "hears", world, me.reply
    own = frozenset(
        m for m in world.in_flight if m.writer == i and m.is_awaited
    )
    others = world.in_flight - own
    late = frozenset(m._replace(is_awaited=False) for m in own)
    yield "answer lost", world._replace(in_flight=others | late), LOST
    if own:
        yield "refused", world._replace(in_flight=others), UNSENT


def writing(world, i):
    for name, after, reply in write_results(world, i):
        result = as_result(reply)
        step = decide.after_write(result, str(i), BODY)
        after = with_attempt(after, i, waits=False, reply=None)
        row = None
        if isinstance(result, tables.Written):
            row = tables.Row("k", None, result.versions[0])
        if isinstance(result, tables.Conflict):
            row = result.rows[0]
        for what, end in claim_steps(after, i, step, row):
            yield f"{name}, {what}", end


def reading(world, i):
    row = as_row(world.row, world.version)
    step = decide.after_read(row, str(i), BODY)
    for what, end in claim_steps(world, i, step, row):
        yield f"reads, {what}", end
    step = decide.after_read(LOST, str(i), BODY)
    for what, end in claim_steps(world, i, step, None):
        yield f"read fails, {what}", end


def look_up(world):
    """Return the endpoint's answer, as `EndpointLookups.find_answer` does."""
    if sum(world.run_counts):
        answers = [{"state": "ran", "output": world.run_counts.index(1)}]
    else:
        answers = [{"state": "never"}]
    return decide.find_ran_answer([LOST, *answers])


def watching(world, i):
    me = world.attempts[i]
    yield "stops waiting", abandon(world, i, "unknown")
    row = as_row(world.row, world.version)
    step = decide.after_read(row, str(i), BODY)
    if step is not decide.Step.WAIT:
        for what, end in claim_steps(world, i, step, row):
            yield f"sees, {what}", end
    if look_up(world) is not None and me.writes < MAX_WRITES:
        end = write(world, i, DONE, me.awaited_owner, me.version, "completing")
        yield "hears ran", end


def completion_results(world, i):
    """Yield the possible results of a write of another attempt's answer.

    Yields
    ------
    str, World, Row or None
        The row as the writer sees it then.
    """
    me = world.attempts[i]
    value = as_row((DONE, me.awaited_owner), me.version).value
    for name, after, reply in write_results(world, i):
        after = with_attempt(after, i, waits=False, reply=None)
        message = tables.Write("k", value, me.version)
        yield (
            name,
            after,
            decide.row_after_completion(as_result(reply), message),
        )


def completing(world, i):
    for name, after, row in completion_results(world, i):
        if row is None:
            yield f"{name}, waits on", with_attempt(after, i, phase="watching")
            continue
        step = decide.after_read(row, str(i), BODY)
        for what, end in claim_steps(after, i, step, row):
            yield f"{name}, {what}", end


def looking(world, i):
    if world.row is not None and world.row[0] == BEGUN:
        yield (
            "reads the row",
            with_attempt(
                world,
                i,
                phase="asking",
                version=world.version,
                awaited_owner=world.row[1],
            ),
        )


def asking(world, i):
    me = world.attempts[i]
    if look_up(world) is not None:
        end = write(world, i, DONE, me.awaited_owner, me.version, "look sent")
        yield "hears ran", end


def look_sent(world, i):
    for name, after, row in completion_results(world, i):
        if row is not None and row.value["state"] == DONE:
            after = report_outcome(
                after, i, "complete", int(row.value["attempt"])
            )
        yield f"look {name}", with_attempt(after, i, phase="over")


def claimed(world, i):
    me = world.attempts[i]
    yield (
        "sends",
        with_attempt(world._replace(calls=world.calls | {i}), i, phase="sent"),
    )
    yield "too late", end_run(world, i, UNSENT, me)


def end_run(world, i, failure, me):
    """Return the world after a run; see `AtMostOnce._settle_and_respond`."""
    end = decide.after_run(failure, failure is None)
    if end is decide.RunEnd.LEAVE:
        return with_attempt(
            report_outcome(world, i, "unknown"), i, phase="over"
        )
    if end is decide.RunEnd.RELEASE:
        world = report_outcome(world, i, "not-run")
        return write(world, i, NOT_RUN, i, me.version, "settling")
    world = report_outcome(world, i, "complete", i)
    return write(world, i, DONE, i, me.version, "settling")


def sent(world, i):
    me = world.attempts[i]
    if world.run_counts[i]:
        yield "hears the answer", end_run(world, i, None, me)
    elif i in world.calls:
        calls = world.calls - {i}
        yield (
            "call refused",
            end_run(world._replace(calls=calls), i, UNSENT, me),
        )
    yield "call's answer lost", end_run(world, i, LOST, me)
    if look_up(world) is not None:
        yield "asks after own call", end_run(world, i, None, me)


def settle_results(world, i):
    """Yield the possible results of a settling write, lost ones read back."""
    for name, after, reply in write_results(world, i):
        yield name, after, as_result(reply)
        attempt = world.attempts[i]
        if reply == LOST and after.version > attempt.version:
            row = as_row(after.row, after.version)
            yield f"{name}, reads back", after, tables.Conflict((row,))


def settling(world, i):
    me = world.attempts[i]
    outcome = me.reported[0]
    state = NOT_RUN if outcome == "not-run" else DONE
    for name, after, result in settle_results(world, i):
        record = {"state": DONE, "attempt": str(i), "body": BODY}
        step = decide.after_finish(result, record)
        after = with_attempt(after, i, waits=False, reply=None)
        if step is decide.Step.REFUSE and outcome == "complete":
            after = with_attempt(after, i, reported=("displaced", None))
        if step in (decide.Step.TRY_AGAIN, decide.Step.CLAIM_AGAIN):
            version = me.version
            if step is decide.Step.CLAIM_AGAIN:
                version = result.rows[0].version
            if me.writes < MAX_WRITES:
                yield (
                    f"{name}, again",
                    write(after, i, state, i, version, "settling"),
                )
            else:
                yield f"{name}, stuck", with_attempt(after, i, phase="stuck")
        else:
            yield f"{name}, settled", with_attempt(after, i, phase="over")


def fencing(world, i):
    me = world.attempts[i]
    if not me.may_be_written:
        yield "over", with_attempt(world, i, phase="over")
        return
    row = as_row(world.row, world.version)
    version = decide.fence_write_version(row, str(i))
    if version is None:
        yield (
            "nothing to fence",
            with_attempt(world, i, phase="over", waits=False),
        )
    elif me.writes < MAX_WRITES:
        yield "fences", write(world, i, NOT_RUN, i, version, "fence sent")
    else:
        yield "stuck", with_attempt(world, i, phase="stuck", waits=False)


def fence_sent(world, i):
    for name, after, reply in write_results(world, i):
        is_applied = isinstance(as_result(reply), tables.Written)
        phase = "over" if is_applied else "fencing"
        yield (
            f"fence {name}",
            with_attempt(after, i, phase=phase, waits=False, reply=None),
        )


def idle(world, i):
    yield "begins", write(world, i, BEGUN, i, tables.ABSENT, "writing")


PHASES = {
    "idle": idle,
    "writing": writing,
    "reading": reading,
    "watching": watching,
    "completing": completing,
    "looking": looking,
    "asking": asking,
    "look sent": look_sent,
    "claimed": claimed,
    "sent": sent,
    "settling": settling,
    "fencing": fencing,
    "fence sent": fence_sent,
}


def successors(world):
    """Yield the name of each possible next event, and the world after it."""
    for message in world.in_flight:
        yield f"store takes {message}", deliver(world, message)
    for i in world.calls:
        run_counts = list(world.run_counts)
        run_counts[i] += 1
        yield (
            f"endpoint runs {i}",
            world._replace(
                calls=world.calls - {i}, run_counts=tuple(run_counts)
            ),
        )
    for i, attempt in enumerate(world.attempts):
        if attempt.phase in PHASES:
            for name, after in PHASES[attempt.phase](world, i):
                yield f"{i} {name}", after
            if attempt.phase != "idle" and i != READER:
                yield (
                    f"{i} dies",
                    with_attempt(
                        world, i, phase="dead", waits=False, reply=None
                    ),
                )


def normalized(world):
    """Return a world without state that can have no further effect.

    Versions only grow, so a write conditional on an earlier one has no
    effect.  Otherwise equivalent worlds would be visited many times.
    """
    attempts = tuple(
        Attempt(phase=item.phase, reported=item.reported)
        if item.phase in ENDED_PHASES
        else item
        for item in world.attempts
    )
    in_flight = set()
    for message in world.in_flight:
        waits = attempts[message.writer].waits and message.is_awaited
        if waits or message.if_version >= world.version:
            in_flight.add(message._replace(is_awaited=waits))
    return world._replace(attempts=attempts, in_flight=frozenset(in_flight))


def violation(world):
    """Return the invariant that a world violates, or None."""
    started = [n + (i in world.calls) for i, n in enumerate(world.run_counts)]
    if sum(started) > 1:
        return "runs more than once"
    for i in world.reported_not_run:
        if started[i]:
            return "told not-run, and runs"
    # A third attempt, which the model leaves out, would be allowed to run.
    if sum(started) and (world.row is None or world.row[0] == NOT_RUN):
        return "the record lets another attempt run"
    answers = set()
    for attempt in world.attempts:
        if attempt.reported is not None and attempt.reported[0] == "displaced":
            return "answered, and the record is another's"
        if attempt.reported is not None and attempt.reported[0] == "complete":
            answers.add(attempt.reported[1])
    if len(answers) > 1:
        return "two answers for one key"
    for owner in answers:
        if world.run_counts[owner] != 1:
            return "told complete, and has not run"
    return _unreleased_record(world)


def _unreleased_record(world):
    if any(item.phase not in INACTIVE_PHASES for item in world.attempts):
        return None
    if world.row is None or world.row[0] != BEGUN:
        return None
    reported = world.attempts[world.row[1]].reported
    if reported[0] == "not-run":
        return "left begun although told not-run"
    return None


def explore():
    """Visit all reachable worlds breadth first, up to the first violation."""
    start = World()
    parents = {start: None}
    queue = collections.deque([start])
    end_counts = collections.Counter()
    while queue:
        world = queue.popleft()
        problem = violation(world)
        if problem is not None:
            return Report(
                len(parents), end_counts, problem, _path(parents, world)
            )
        is_final = True
        for name, after in successors(world):
            is_final = False
            after = normalized(after)
            if after not in parents:
                parents[after] = (name, world)
                queue.append(after)
        if is_final:
            end_counts[_outcomes_of(world)] += 1
    return Report(len(parents), end_counts, None, ())


def _outcomes_of(world):
    attempts = world.attempts[:READER]
    return tuple(sorted(str(a.reported and a.reported[0]) for a in attempts))


def _path(parents, world):
    names = []
    while parents[world] is not None:
        name, world = parents[world]
        names.append(name)
    return tuple(reversed(names))
