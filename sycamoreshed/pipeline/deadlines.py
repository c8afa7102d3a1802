"""Divide the remaining time of a request among its stages."""

from sycamoreshed.routing import estimates

__all__ = ["StageTimes", "stage_budget"]


def stage_budget(stages, index, deadline, now):
    """Return the seconds stage `index` may take by the configured shares.

    Parameters
    ----------
    stages : list of StageSpec
    index : int
    deadline, now : float
        Monotonic seconds.

    Returns
    -------
    float
        Zero or less once the deadline has passed.

    Notes
    -----
    The remaining time is divided by the shares of the remaining stages,
    so later stages get the time that earlier ones saved.

    Examples
    --------
    >>> stages = [{"share": 0.5}, {"share": 0.25}, {"share": 0.25}]
    >>> stage_budget(stages, 0, 10.0, 0.0)
    5.0
    >>> stage_budget(stages, 1, 10.0, 2.0)
    4.0
    """
    even = 1.0 / len(stages)
    remaining_shares = sum(
        stage.get("share", even) for stage in stages[index:]
    )
    return (
        (deadline - now) * stages[index].get("share", even) / remaining_shares
    )


class StageTimes:
    """Measured durations of stages, and the budgets they imply."""

    def __init__(self):
        self._times = {}

    def add(self, pipeline, stage, seconds, now):
        """Record the duration of a successful run of a stage."""
        key = (pipeline, stage)
        if key not in self._times:
            self._times[key] = estimates.Estimate()
        self._times[key].add(seconds, now)

    def budget(self, pipeline, stages, index, deadline, now):
        """Return the seconds stage `index` may take.

        Parameters
        ----------
        pipeline : str
        stages : list of StageSpec
        index : int
        deadline, now : float
            Monotonic seconds.

        Returns
        -------
        float
            Zero or less once the deadline has passed.

        Notes
        -----
        A stage may use all the time that later stages most likely do not
        need, so a slow early stage is not cut off while there is slack.
        It gets at least its share: otherwise it alone would pay when
        later stages become slow.
        """
        share_s = stage_budget(stages, index, deadline, now)
        later = [
            self._times.get((pipeline, stage["name"]))
            for stage in stages[index + 1 :]
        ]
        if None in later:
            return share_s
        needed_s = sum(times.upper_bound(now) for times in later)
        return max(share_s, deadline - now - needed_s)

    def cannot_finish(self, pipeline, stages, index, deadline, now):
        """Return whether the remaining stages will likely miss the deadline.

        Notes
        -----
        Uses lower bounds, which few runs stay under: abandoning a request
        wrongly wastes the work already done for it.
        """
        needed_s = 0.0
        for stage in stages[index:]:
            times = self._times.get((pipeline, stage["name"]))
            needed_s += times.lower_bound(now) if times else 0.0
        return now + needed_s > deadline
