"""What a stage may take of a request's remaining time."""

__all__ = ["stage_budget"]


def stage_budget(stages, index, deadline, now):
    """Return the seconds stage `index` may take.

    Parameters
    ----------
    stages : list of StageSpec
    index : int
    deadline, now : float
        Monotonic seconds.

    Returns
    -------
    float
        Zero or less when the time is over.

    Notes
    -----
    The remaining time is divided by the shares of the stages that are
    left, so what early stages save is passed on to later ones.

    Examples
    --------
    >>> stages = [{"share": 0.5}, {"share": 0.25}, {"share": 0.25}]
    >>> stage_budget(stages, 0, 10.0, 0.0)
    5.0
    >>> stage_budget(stages, 1, 10.0, 2.0)
    4.0
    """
    even = 1.0 / len(stages)
    left = sum(stage.get("share", even) for stage in stages[index:])
    return (deadline - now) * stages[index].get("share", even) / left
