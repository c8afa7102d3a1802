"""Decisions about a request that may not be repeated.

Plain functions of what is known, so that the daemon and the exhaustive
exploration in the tests drive the same ones.  An attempt is one admitted
request; its id is the request's.
"""

import enum
import typing

from sycamoreshed.adapters import table as tables
from sycamoreshed.errors import kinds

__all__ = [
    "End",
    "Record",
    "State",
    "Step",
    "after_finish",
    "after_read",
    "after_run",
    "after_write",
    "completed",
    "fence_version",
    "found",
    "gives_up",
    "waits_out",
]

# Less than this before the deadline no call could end in time.
MARGIN_S = 0.02


class State(enum.StrEnum):
    """States of a record.

    ``begun`` never lapses: nobody but the attempt that wrote it can know
    that nothing was sent.
    """

    BEGUN = "begun"
    DONE = "done"
    NOT_RUN = "not-run"


class Record(typing.TypedDict):
    """The value of a record's row.

    ``attempt`` is the id of the request that wrote it, ``body`` the
    digest of what it asks for, ``at`` wall-clock seconds, for sweeping
    only.  ``stages`` names the stages of a whole answer if the one that
    may not be repeated is the last, so that any instance can write the
    answer from that stage's output.  ``answer`` and ``status`` are what
    the caller was given.
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
    """What to do next while claiming."""

    SEND = "send"
    READ_BACK = "read back"
    CLAIM_AGAIN = "claim again"
    TRY_AGAIN = "try again"
    REPLAY = "replay"
    WAIT = "wait"
    REFUSE = "refuse"
    CONFLICT = "conflict"


class End(enum.Enum):
    """What to record, and to tell, at the end of a run."""

    FINISH = "finish"
    RELEASE = "release"
    LEAVE = "leave begun"


def after_write(result, attempt, body):
    """Decide after the conditional write of a record.

    Parameters
    ----------
    result : Written, Conflict or Failure
    attempt, body : str
        This attempt, and the digest of what it asks for.

    Returns
    -------
    Step
    """
    if isinstance(result, tables.Written):
        return Step.SEND
    if isinstance(result, kinds.Failure):
        return Step.READ_BACK if result.sent else Step.TRY_AGAIN
    return after_read(result.rows[0], attempt, body)


def after_read(row, attempt, body):
    """Decide after reading a record.

    Parameters
    ----------
    row : Row or Failure
    attempt, body : str

    Returns
    -------
    Step

    Notes
    -----
    Writing the same attempt again is safe while it has sent nothing:
    all its writes say the same, and at most one of two that ask for the
    same version takes effect.
    """
    if isinstance(row, kinds.Failure):
        return Step.TRY_AGAIN
    if row.value is None:
        return Step.CLAIM_AGAIN
    record = row.value
    own = record["attempt"] == attempt
    if own and record["state"] == State.BEGUN:
        return Step.SEND
    if own and record["state"] == State.NOT_RUN:
        return Step.REFUSE
    if record["body"] != body:
        return Step.CONFLICT
    if record["state"] == State.DONE:
        return Step.REPLAY
    if record["state"] == State.NOT_RUN:
        return Step.CLAIM_AGAIN
    return Step.WAIT


def gives_up(now, deadline, store_away):
    """Return whether an attempt that holds no record yet ends.

    Parameters
    ----------
    now, deadline : float
        Monotonic seconds.
    store_away : bool
        Whether the breaker before the store is open.
    """
    return store_away or now + MARGIN_S >= deadline


def waits_out(now, away_since, patience_s, *, is_lost):
    """Return whether an attempt waits for a store that is away.

    Parameters
    ----------
    now, away_since : float
        Monotonic seconds.
    patience_s : float
        Seconds after which a refused caller would be told to come again.
    is_lost : bool
        Whether the answer to a write of the attempt was lost, which may
        have taken effect.

    Notes
    -----
    Refused, the caller would come again with a key whose record may be
    there already.  An attempt that has written nothing is refused at once.

    Examples
    --------
    >>> waits_out(1.5, 1.0, 2.0, is_lost=True)
    True
    >>> waits_out(3.5, 1.0, 2.0, is_lost=True)
    False
    >>> waits_out(1.5, 1.0, 2.0, is_lost=False)
    False
    """
    return is_lost and now < away_since + patience_s


def fence_version(row, attempt):
    """Return at which version an ended attempt fences itself off.

    Parameters
    ----------
    row : Row
    attempt : str
        Ended before it sent anything, while one of its writes may still
        be on its way.

    Returns
    -------
    int or None
        Version of the row over which ``not-run`` is to be written, or
        None if there is nothing to do any more.

    Notes
    -----
    Its late write would otherwise leave a record that says ``begun`` for
    ever: whoever comes with the key hears "outcome unknown" although
    nothing ran.  Once the row has another version, the late write cannot
    take effect.  A record another attempt has begun or done has such a
    version already, and is not touched.
    """
    if row.value is None:
        return row.version
    own = row.value["attempt"] == attempt
    if row.value["state"] == State.NOT_RUN:
        return None if own else row.version
    if own and row.value["state"] == State.BEGUN:
        return row.version
    return None


def after_run(failure, ran):
    """Decide what to record at the end of a run.

    Parameters
    ----------
    failure : Failure or None
        None when the answer is whole.
    ran : bool
        Whether the answer of the stage that may not be repeated is here.

    Returns
    -------
    End
    """
    if failure is None or ran:
        return End.FINISH
    return End.LEAVE if failure.sent else End.RELEASE


def after_finish(result, attempt):
    """Decide after the write of an answer.

    Parameters
    ----------
    result : Written, Conflict or Failure
    attempt : str
        The attempt whose answer it is.

    Returns
    -------
    Step
        ``SEND``: recorded, give the answer.  ``REPLAY``: another
        instance recorded it, give what is recorded.  ``CLAIM_AGAIN``:
        write again over the version found.  ``TRY_AGAIN``: not known.
        ``REFUSE``: the record is not this attempt's any more.
    """
    if isinstance(result, tables.Written):
        return Step.SEND
    if isinstance(result, kinds.Failure):
        return Step.TRY_AGAIN
    record = result.rows[0].value
    if record is None or record["attempt"] != attempt:
        return Step.REFUSE
    if record["state"] == State.DONE:
        return Step.REPLAY
    if record["state"] == State.BEGUN:
        return Step.CLAIM_AGAIN
    return Step.REFUSE


def completed(result, write):
    """Return the row after the answer of another's attempt was written.

    Parameters
    ----------
    result : Written, Conflict or Failure
    write : Write
        Of the answer, made from what an endpoint told, over the row that
        was read before the endpoint was asked.

    Returns
    -------
    Row or None
        None if it is not known whether the write took effect.

    Notes
    -----
    An endpoint knows a call by its key, not by its attempt.  While it
    was asked, the attempt that was read may have given the record back
    unsent, and another may have taken it and run.  An answer in the name
    of the first would be a second answer for one key, of a request that
    was told "not run".  Versions only grow, so a write that took effect
    proves that no other attempt has held the record since; any other end
    of it proves nothing.
    """
    if isinstance(result, tables.Written):
        return tables.Row(write.key, write.value, result.versions[0])
    if isinstance(result, tables.Conflict):
        return result.rows[0]
    return None


def found(answers):
    """Return what endpoints that were asked by key know of its call.

    Parameters
    ----------
    answers : iterable of dict or Failure

    Returns
    -------
    dict or None
        The first answer that says ``ran``; None means not known.

    Notes
    -----
    ``never`` does not mean "not run": the call may be on its way, or its
    sender paused just before sending.  Taken for "not run", the call
    would run after the caller was told that it had not.
    """
    for answer in answers:
        # A failure, or JSON that is no object at all.
        if not isinstance(answer, dict):
            continue
        if answer.get("state") == "ran" and "output" in answer:
            return answer
    return None
