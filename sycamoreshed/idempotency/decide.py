"""Decisions of the protocol that runs a non-repeatable request at most once.

Pure functions, so that the daemon and the exhaustive exploration in the
tests run the same code.  An attempt is one admitted request; its id is the
request id.  It claims its idempotency key by a conditional write of a
record with state ``begun``, and sends the call only once it holds the claim.
"""

import enum
import typing

from sycamoreshed.adapters import table as tables
from sycamoreshed.errors import kinds

__all__ = [
    "Record",
    "RunEnd",
    "State",
    "Step",
    "after_finish",
    "after_loss",
    "after_read",
    "after_run",
    "after_write",
    "can_wait_for_store",
    "fence_write_version",
    "find_ran_answer",
    "is_claiming_over",
    "row_after_completion",
]

# A call sent later than this before the deadline could not end in time.
DEADLINE_MARGIN_S = 0.02


class State(enum.StrEnum):
    """States of a record.

    ``begun`` never expires: only the attempt that wrote it can tell that
    nothing was sent.
    """

    BEGUN = "begun"
    DONE = "done"
    NOT_RUN = "not-run"


class Record(typing.TypedDict):
    """The value of a record's row.

    ``attempt`` is the id of the request that claimed it, ``body`` the
    digest of its pipeline and input, ``at`` wall-clock seconds, used only
    for sweeping.  ``stages`` names the stages of a complete answer if the
    non-repeatable stage is the last, so that any instance can build the
    answer from that stage's output.  ``answer`` and ``status`` are
    the answer for the caller.
    """

    state: str
    attempt: str
    body: str
    pipeline: str
    config: int
    instance: str
    at: float
    stages: typing.NotRequired[list[str]]
    answer: typing.NotRequired[str]
    status: typing.NotRequired[int]


class Step(enum.Enum):
    """Next step after a read or write of a record.

    A record is written to claim it, and again to settle it.
    """

    # The record is written: send the call, or the answer if it settles.
    SEND = "send"
    # The answer to the claim's write was lost: read the row.
    READ_BACK = "read back"
    # Write again, conditional on the version found.
    CLAIM_AGAIN = "claim again"
    # Read or write again after a pause, conditional on the same version.
    TRY_AGAIN = "try again"
    # An answer is recorded: send that one.
    REPLAY = "replay"
    # Another attempt has begun: wait for its end.
    WAIT = "wait"
    # The record allows this attempt no further write: stop.
    REFUSE = "refuse"
    # The key was used with another pipeline or input.
    CONFLICT = "conflict"


class RunEnd(enum.Enum):
    """What to do with the record at the end of a run."""

    FINISH = "finish"
    RELEASE = "release"
    LEAVE = "leave begun"


def after_write(result, attempt, body_digest):
    """Decide the next step after the conditional write of a claim.

    Parameters
    ----------
    result : Written, Conflict or Failure
    attempt, body_digest : str
        Id of this attempt, and the digest of its pipeline and input.

    Returns
    -------
    Step
    """
    if isinstance(result, tables.Written):
        return Step.SEND
    if isinstance(result, kinds.Failure):
        return Step.READ_BACK if result.sent else Step.TRY_AGAIN
    return after_read(result.rows[0], attempt, body_digest)


def after_read(row, attempt, body_digest):
    """Decide the next step after reading a record.

    Parameters
    ----------
    row : Row or Failure
    attempt, body_digest : str

    Returns
    -------
    Step

    Notes
    -----
    Writing the claim of the same attempt again is safe while it has sent
    nothing: all its writes have the same content, and at most one of two
    that are conditional on the same version takes effect.
    """
    if isinstance(row, kinds.Failure):
        return Step.TRY_AGAIN
    if row.value is None:
        return Step.CLAIM_AGAIN
    record = row.value
    is_own = record["attempt"] == attempt
    if is_own and record["state"] == State.BEGUN:
        return Step.SEND
    if is_own and record["state"] == State.NOT_RUN:
        return Step.REFUSE
    if record["body"] != body_digest:
        return Step.CONFLICT
    if record["state"] == State.DONE:
        return Step.REPLAY
    if record["state"] == State.NOT_RUN:
        return Step.CLAIM_AGAIN
    return Step.WAIT


def is_claiming_over(now, deadline, is_store_unavailable):
    """Return whether an attempt without a claim stops trying to get one.

    Parameters
    ----------
    now, deadline : float
        Monotonic seconds.
    is_store_unavailable : bool
        Whether the store is unavailable, and the attempt does not go on
        waiting for it.
    """
    return is_store_unavailable or now + DEADLINE_MARGIN_S >= deadline


def can_wait_for_store(now, unavailable_since, max_wait_s, *, may_be_written):
    """Return whether an attempt goes on waiting for an unavailable store.

    Parameters
    ----------
    now, unavailable_since : float
        Monotonic seconds.
    max_wait_s : float
        Seconds after which a rejected caller would be told to retry.
    may_be_written : bool
        Whether the answer to a write of the attempt was lost; the write
        may have taken effect.

    Notes
    -----
    A rejected caller would retry with a key whose record may already
    exist, left by the lost write, and could receive "outcome unknown".  An
    attempt that has written nothing is rejected at once.

    Examples
    --------
    >>> can_wait_for_store(1.5, 1.0, 2.0, may_be_written=True)
    True
    >>> can_wait_for_store(3.5, 1.0, 2.0, may_be_written=True)
    False
    >>> can_wait_for_store(1.5, 1.0, 2.0, may_be_written=False)
    False
    """
    return may_be_written and now < unavailable_since + max_wait_s


def fence_write_version(row, attempt):
    """Return the row version over which an ended attempt writes its fence.

    Parameters
    ----------
    row : Row
    attempt : str
        Id of an attempt that ended before it sent anything, while one of
        its writes may still be in flight.

    Returns
    -------
    int or None
        Version of the row over which ``not-run`` is to be written, or
        None if no fence is needed.

    Notes
    -----
    Without the fence, the delayed write could leave a record that stays
    ``begun`` for ever, and every retry with the key would receive
    "outcome unknown" although nothing ran.  Once the row has another
    version, the delayed write cannot take effect.  A record that another
    attempt has begun or done already has such a version, and is left
    unchanged.  A ``not-run`` of another attempt is overwritten, since the
    delayed write may be conditional on its version.
    """
    if row.value is None:
        return row.version
    is_own = row.value["attempt"] == attempt
    if row.value["state"] == State.NOT_RUN:
        return None if is_own else row.version
    if is_own and row.value["state"] == State.BEGUN:
        return row.version
    return None


def after_loss(row, record):
    """Decide how to write a record again that the store may have lost.

    Parameters
    ----------
    row : Row
        As the store has it since it came back from an older copy.
    record : Record
        The last one that this instance wrote for the key.

    Returns
    -------
    Step
        ``CLAIM_AGAIN``: write it over the row.  ``TRY_AGAIN``: read again
        later.  ``REFUSE``: the row tells as much as the record, or the
        answer of another attempt.

    Notes
    -----
    Over ``not-run`` of another attempt the record is written as well: the
    copy may be from before this attempt claimed the key.  Another attempt
    may have claimed it as the record was lost; it gives the key up once it
    hears of the new era.
    """
    if row.value is None:
        return Step.CLAIM_AGAIN
    state, written = row.value["state"], record["state"]
    if row.value["attempt"] == record["attempt"]:
        is_older = state == State.BEGUN and written != State.BEGUN
        return Step.CLAIM_AGAIN if is_older else Step.REFUSE
    if written == State.NOT_RUN or state == State.DONE:
        return Step.REFUSE
    return Step.CLAIM_AGAIN if state == State.NOT_RUN else Step.TRY_AGAIN


def after_run(failure, has_output):
    """Decide how to settle the record at the end of a run.

    Parameters
    ----------
    failure : Failure or None
        None if the run is complete.
    has_output : bool
        Whether the non-repeatable stage has returned its output.

    Returns
    -------
    RunEnd
    """
    if failure is None or has_output:
        return RunEnd.FINISH
    return RunEnd.LEAVE if failure.sent else RunEnd.RELEASE


def after_finish(result, record, *, is_row_restored=False):
    """Decide the next step after the write that settles a record.

    Parameters
    ----------
    result : Written, Conflict or Failure
    record : Record
        The settled record.
    is_row_restored : bool
        Whether the store came back from an older copy since the key was
        claimed.

    Returns
    -------
    Step
        ``SEND``: recorded, send the answer to the caller.  ``REPLAY``: an
        answer is already recorded, by another instance or an earlier
        write; send that one.  ``CLAIM_AGAIN``: write again over the
        current version.  ``TRY_AGAIN``: the write failed, or its result
        is unknown.  ``REFUSE``: the record belongs to another attempt, is
        absent, or is already ``not-run``; not if the claim may be lost.
    """
    if isinstance(result, tables.Written):
        return Step.SEND
    if isinstance(result, kinds.Failure):
        return Step.TRY_AGAIN
    row = result.rows[0]
    if is_row_restored:
        step = after_loss(row, record)
        if step is not Step.REFUSE:
            return step
    if row.value is None or row.value["attempt"] != record["attempt"]:
        return Step.REFUSE
    if row.value["state"] == State.DONE:
        return Step.REPLAY
    if row.value["state"] == State.BEGUN:
        return Step.CLAIM_AGAIN
    return Step.REFUSE


def row_after_completion(result, write):
    """Return the row after the answer of another attempt was written.

    Parameters
    ----------
    result : Written, Conflict or Failure
    write : Write
        Of an answer built from the output that an endpoint reported, over
        the row version that was read before the endpoint was queried.

    Returns
    -------
    Row or None
        None if it is unknown whether the write took effect.

    Notes
    -----
    An endpoint identifies a call by its key, not by its attempt.  During
    the query, the attempt in the row may have released its record unsent,
    and another attempt may have claimed it and run.  An answer recorded
    for the first attempt would then be a second answer for one key, and
    for a request that was reported as "not run".  Versions only grow, so a
    write that took effect proves that no other attempt has held the record
    since.  No other result proves it: after a conflict, the current row
    counts; after a failure, nothing is known.
    """
    if isinstance(result, tables.Written):
        return tables.Row(write.key, write.value, result.versions[0])
    if isinstance(result, tables.Conflict):
        return result.rows[0]
    return None


def find_ran_answer(answers):
    """Return the first answer to a look-up by key that reports ``ran``.

    Parameters
    ----------
    answers : iterable of dict or Failure
        From the endpoints of the service.

    Returns
    -------
    dict or None
        With the call's ``output``; None if the outcome is unknown.

    Notes
    -----
    ``never`` does not mean "not run": the call may be in flight, or its
    sender may be paused just before sending.  If it were reported as "not
    run", the call could still run after that.
    """
    for answer in answers:
        # A failure, or JSON that is not an object.
        if not isinstance(answer, dict):
            continue
        if answer.get("state") == "ran" and "output" in answer:
            return answer
    return None
