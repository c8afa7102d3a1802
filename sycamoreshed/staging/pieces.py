"""Jobs, stages, pieces and results, as instances exchange them."""

import itertools
import typing

__all__ = [
    "NO_ORIGIN",
    "Job",
    "JobOutcome",
    "Origin",
    "Piece",
    "PieceOutcome",
    "ResultRef",
    "StageWork",
    "final_stages",
    "min_job_s",
    "min_remaining_s",
    "stage_s",
    "time_limit_s",
]

# The time limit of a job is at least this multiple of the shortest time its
# stages take: otherwise idle stages would reject requests of a route with a
# tight target.
MIN_LIMIT_FACTOR = 2.0


class StageWork(typing.NamedTuple):
    """The pieces of one stage of a request.

    Parameters
    ----------
    service : str
    after : tuple of int
        Indices of the stages whose results are its inputs.
    count : int
        Number of pieces; 0 if the request skips the stage.
    result_bytes : int
        Approximate size of one result.
    """

    service: str
    after: tuple[int, ...]
    count: int
    result_bytes: int


class Job(typing.NamedTuple):
    """The stages of one request, as one instance delegates them to another.

    Parameters
    ----------
    request : str
    stages : list of StageWork
    key : str or None
        Identifies the source data of pieces of first stages.
    target_s, soft_limit_s, hard_limit_s : float
        Seconds from now by which all results should be available for the
        answer to meet the route's target, after which the job is
        abandoned (unless its stages need longer even when idle), and
        after which nobody waits for the answer.  Relative times, because
        the clocks of instances differ.
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


class Origin(typing.NamedTuple):
    """What concerns a job but is not part of its work.

    Parameters
    ----------
    fingerprint : str
        Of the request; empty if not known.
    regions : frozenset of str or None
        Regions in which its stages may run; None for all.
    """

    fingerprint: str = ""
    regions: frozenset | None = None


NO_ORIGIN = Origin()


class ResultRef(typing.NamedTuple):
    """Handle of a result, and the id of the endpoint that stores it."""

    handle: str
    endpoint: str


class JobOutcome(typing.NamedTuple):
    """Answer to a `Job`.

    Parameters
    ----------
    results : list of ResultRef or None
        Of the final stages, in order; None if the job failed.
    reason : str or None
        Why the job failed.
    is_late : bool
        Whether it failed for lack of time.
    backlog_s : dict of str to float
        By service, seconds until its queued work could be done.
    retry_s : float or None
        For a rejected job, seconds after which it may be admitted.
    """

    results: list[ResultRef] | None
    reason: str | None
    is_late: bool
    backlog_s: dict[str, float]
    retry_s: float | None = None


class Piece(typing.NamedTuple):
    """A unit of work of one stage of one request.

    Parameters
    ----------
    request : str
    stage, index : int
        Which stage of the route, and which of its pieces.
    deadline : float
        Monotonic time by which its result must be available for the job
        to meet its deadline.
    key : str or None
        Identifies the source data of a piece of a first stage.
    inputs : tuple of str
        Handles of the results that a piece of a later stage needs.
    origin : Origin
    """

    request: str
    stage: int
    index: int
    deadline: float
    key: str | None = None
    inputs: tuple = ()
    origin: Origin = NO_ORIGIN


class PieceOutcome(typing.NamedTuple):
    """Where the result of a piece is stored, or why there is none.

    Parameters
    ----------
    ref : ResultRef or None
    reason : str or None
        "late": its deadline passed; "room": no memory for the result;
        "full": the endpoint did not run the call; "gone": its inputs are
        no longer stored; "error": the call failed; or another reason
        that the endpoint gave.
    sent : bool
        Whether an endpoint may have processed the call.
    is_rejected : bool
        Whether an endpoint has rejected the call.
    """

    ref: ResultRef | None
    reason: str | None = None
    sent: bool = False
    is_rejected: bool = False

    @property
    def has_arrived(self):
        """Whether the call may have arrived at an endpoint."""
        return self.sent or self.is_rejected


def final_stages(stages):
    """Return the indices of stages that no other stage follows.

    Examples
    --------
    >>> final_stages([StageWork("a", (), 1, 8), StageWork("b", (0,), 1, 8)])
    [1]
    """
    followed = set(itertools.chain.from_iterable(s.after for s in stages))
    return [i for i in range(len(stages)) if i not in followed]


def stage_s(stage, spec):
    """Return the shortest time of a stage: one call, at most a full batch."""
    return spec.call_s + min(stage.count, spec.batch) * spec.piece_s


def min_remaining_s(stages, index, specs):
    """Return the shortest time from the end of a stage to all results.

    Parameters
    ----------
    stages : list of StageWork
    index : int
    specs : dict of str to PieceSpec

    Returns
    -------
    float
        Seconds, if no later stage has to wait for an endpoint.
    """
    longest_s = 0.0
    for later, stage in enumerate(stages):
        if index in stage.after and stage.count:
            own_s = stage_s(stage, specs[stage.service])
            path_s = own_s + min_remaining_s(stages, later, specs)
            longest_s = max(longest_s, path_s)
    return longest_s


def min_job_s(stages, find_spec):
    """Return the seconds that stages take if nothing is ahead of them.

    Parameters
    ----------
    stages : list of StageWork
    find_spec : callable
        Takes the name of a service, returns its `PieceSpec`.
    """
    specs = {stage.service: find_spec(stage.service) for stage in stages}
    paths_s = [
        stage_s(stage, specs[stage.service])
        + min_remaining_s(stages, index, specs)
        for index, stage in enumerate(stages)
        if stage.count and not stage.after
    ]
    return max(paths_s, default=0.0)


def time_limit_s(job, min_s):
    """Return the seconds after which a job is abandoned.

    Parameters
    ----------
    job : Job
    min_s : float
        See `min_job_s`.
    """
    limit_s = max(job.soft_limit_s, MIN_LIMIT_FACTOR * min_s)
    return min(job.hard_limit_s, limit_s)
