"""Decisions about a request that may not be repeated.

Plain functions of what is known, so that the daemon and the exhaustive
exploration in the tests drive the same ones.
"""

import enum
import typing

from sycamoreshed.adapters import table as tables
from sycamoreshed.errors import kinds

__all__ = ["Record", "State", "Step", "after_read", "after_write"]


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

    ``at`` is wall-clock seconds, for sweeping only.
    """

    state: str
    attempt: str
    body: str
    instance: str
    at: float
    answer: typing.NotRequired[str]


class Step(enum.Enum):
    """What to do next."""

    SEND = "send"
    READ_BACK = "read back"
    CLAIM_AGAIN = "claim again"
    REPLAY = "replay"
    WAIT = "wait"
    REFUSE = "refuse"
    CONFLICT = "conflict"


def after_write(result, attempt, body):
    """Decide after the conditional write of a record.

    Parameters
    ----------
    result : Written, Conflict or Failure
    attempt, body : str
        This attempt, and the digest of the request's body.

    Returns
    -------
    Step
    """
    if isinstance(result, tables.Written):
        return Step.SEND
    if isinstance(result, kinds.Failure):
        return Step.READ_BACK if result.sent else Step.REFUSE
    return after_read(result.rows[0], attempt, body)


def after_read(row, attempt, body):
    """Decide after reading a record back.

    Parameters
    ----------
    row : Row or Failure
    attempt, body : str

    Returns
    -------
    Step

    Notes
    -----
    A missing row is refused, not written again: the first write may
    still be on its way, and the attempt is over before it can matter.
    """
    if isinstance(row, kinds.Failure) or row.value is None:
        return Step.REFUSE
    record = row.value
    if record["body"] != body:
        return Step.CONFLICT
    if record["state"] == State.DONE:
        return Step.REPLAY
    if record["state"] == State.NOT_RUN:
        return Step.CLAIM_AGAIN
    if record["attempt"] == attempt:
        return Step.SEND
    return Step.WAIT
