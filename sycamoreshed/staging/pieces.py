"""Stages of a request, their pieces, and what instances tell of them."""

import itertools
import typing

__all__ = [
    "Done",
    "Held",
    "Job",
    "Piece",
    "Result",
    "StageWork",
    "final_stages",
    "time_after",
]


class StageWork(typing.NamedTuple):
    """The pieces of one stage of a request.

    Parameters
    ----------
    service : str
    after : tuple of int
        Indices of the stages whose results it takes.
    count : int
        Pieces; 0 if the request leaves the stage out.
    size : int
        Approximate bytes of one result.
    """

    service: str
    after: tuple[int, ...]
    count: int
    size: int


class Job(typing.NamedTuple):
    """The stages of one request, as one instance asks another for them.

    Parameters
    ----------
    request : str
    stages : list of StageWork
    key : str or None
        What pieces of first stages are made from.
    target_s, soft_limit_s, hard_limit_s : float
        Seconds from now by which all results should be there for the
        answer to be in time, until which they are worked for while
        others wait, and after which nobody waits for the answer.  Clocks
        of instances differ, so no times are told.
    team : str or None
    team_priority, priority : int
        Of the team and of the route; 0 is the most urgent.
    """

    request: str
    stages: list[StageWork]
    key: str | None
    target_s: float
    soft_limit_s: float
    hard_limit_s: float
    team: str | None
    team_priority: int
    priority: int


class Held(typing.NamedTuple):
    """A result, and the id of the endpoint that holds it."""

    handle: str
    maker: str


class Done(typing.NamedTuple):
    """Answer to a `Job`.

    Parameters
    ----------
    results : list of Held or None
        Of the final stages, in order; None if there are none.
    why : str or None
        Why there are none.
    is_late : bool
        Whether it was given up for lack of time.
    backlog_s : dict of str to float
        By service, the seconds of work that wait for each endpoint.
    retry_s : float or None
        For a job that was refused: when it should be possible again.
    """

    results: list[Held] | None
    why: str | None
    is_late: bool
    backlog_s: dict[str, float]
    retry_s: float | None = None


class Piece(typing.NamedTuple):
    """A piece of work of one stage of one request.

    Parameters
    ----------
    request : str
    stage, index : int
        Which stage of the route, and which of its pieces.
    deadline : float
        Monotonic time; begun later, it is done for nobody.
    key : str or None
        What a piece of a first stage is made from.
    inputs : tuple of str
        Handles of the results that a later stage takes.
    """

    request: str
    stage: int
    index: int
    deadline: float
    key: str | None = None
    inputs: tuple = ()


class Result(typing.NamedTuple):
    """Where the result of a piece lies, or why there is none.

    Parameters
    ----------
    held : Held or None
    why : str or None
    sent : bool
        Whether a call with the piece reached an endpoint.
    """

    held: Held | None
    why: str | None = None
    sent: bool = False


def final_stages(stages):
    """Return the indices of stages that no other stage follows.

    Examples
    --------
    >>> final_stages([StageWork("a", (), 1, 8), StageWork("b", (0,), 1, 8)])
    [1]
    """
    followed = set(itertools.chain.from_iterable(s.after for s in stages))
    return [i for i in range(len(stages)) if i not in followed]


def least_time(stage, spec):
    """Return the seconds that a call with a stage's pieces takes."""
    return spec.call_s + min(stage.count, spec.batch) * spec.piece_s


def time_after(stages, index, specs):
    """Return the least time from the end of a stage to all results.

    Parameters
    ----------
    stages : list of StageWork
    index : int
    specs : dict of str to PieceSpec

    Returns
    -------
    float
        Seconds, if nothing waits anywhere.
    """
    longest = 0.0
    for later, stage in enumerate(stages):
        if index in stage.after and stage.count:
            least = least_time(stage, specs[stage.service])
            after = least + time_after(stages, later, specs)
            longest = max(longest, after)
    return longest
